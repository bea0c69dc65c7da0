//! Runs routers for the simulator: reads one message per line from standard input, and writes the routers'
//! actions to standard output at the end of each batch.
#![forbid(unsafe_code)]

mod adapter;
mod error;
mod instance;
mod message;
mod reply;

use adapter::{Adapter, BatchState};
use error::RunError;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn run() -> Result<(), RunError> {
    let mut stdin = io::stdin().lock();
    let mut stdout = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut line = String::new();
    for number in 1.. {
        line.clear();
        let length = stdin.read_line(&mut line).map_err(|error| RunError::Unreadable { number, error })?;
        if length == 0 {
            break;
        }
        let state = adapter
            .handle_line(line.trim_end_matches(['\n', '\r']))
            .map_err(|error| RunError::Line { number, error })?;
        if state == BatchState::Complete {
            stdout.write_all(adapter.take_reply().as_bytes()).map_err(RunError::Output)?;
            stdout.flush().map_err(RunError::Output)?;
        }
    }
    if adapter.is_batch_open() {
        return Err(RunError::UnfinishedBatch);
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wharfplank-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
