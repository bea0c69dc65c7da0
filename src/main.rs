//! The command line of the proxy and of its operators' tools.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
