//! Starts the proxy.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use wharfplank::program::{config::Config, run};

fn main() -> ExitCode {
    match Config::from_environment().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("wharfplank: {message}");
            ExitCode::FAILURE
        }
    }
}
