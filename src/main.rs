//! The command line: one program for the proxy and for the people who run it.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
