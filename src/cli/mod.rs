//! The sub-commands and the exit codes of the command line.
//!
//! | code | meaning |
//! | --- | --- |
//! | 0 | success |
//! | 1 | the command ran and failed |
//! | 2 | usage error |
//! | 3 | invalid settings or configuration; nothing was started |

mod arguments;
mod error;
mod lab;
mod records;

use arguments::{Arguments, Command};
use clap::{CommandFactory, Parser};
use error::CommandError;
use std::path::PathBuf;
use std::process::ExitCode;
use wharfplank::proxy::{
    config::{AddressOverrides, Config},
    log, run as run_proxy,
};
use wharfplank::settings::{self, Settings};

/// Parses the command line and runs its command.
pub fn run() -> ExitCode {
    let command = Arguments::parse().command.unwrap_or(Command::Serve { settings: None });
    match run_command(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report(),
    }
}

fn run_command(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve { settings } => serve(settings),
        Command::Check { schema: true, .. } => {
            print!("{}", settings::SCHEMA);
            Ok(())
        }
        Command::Check { settings, config, schema: false } => check(settings, config),
        Command::Records { paths } => records::records(&paths),
        Command::Console { paths } => wharfplank::console::run(&paths).map_err(CommandError::failed),
        Command::Report { paths, out, json, span } => {
            records::report(&paths, &span, out.as_deref(), json.as_deref())
        }
        Command::Lab(command) => lab::run(command),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "wharfplank", &mut std::io::stdout());
            Ok(())
        }
    }
}

/// Runs the proxy until the process is asked to shut down.
fn serve(settings: Option<PathBuf>) -> Result<(), CommandError> {
    let settings = match settings {
        Some(path) => settings::load(&path).map_err(CommandError::invalid_settings)?,
        None => Settings::default(),
    };
    let config = Config::from_environment().map_err(|error| CommandError::invalid_settings([error]))?;
    let _log = log::start(&settings.log).map_err(CommandError::failed)?;
    run_proxy(config, &settings).map_err(CommandError::failed)
}

/// Validates settings and a configuration without starting anything.
fn check(settings: Option<PathBuf>, config: Option<PathBuf>) -> Result<(), CommandError> {
    if settings.is_none() && config.is_none() {
        return Err(CommandError::usage("nothing to check: give --settings FILE, --config FILE or both"));
    }
    let mut messages = Vec::new();
    if let Some(path) = &settings {
        let errors = settings::load(path).err().unwrap_or_default();
        messages.extend(errors.iter().map(ToString::to_string));
    }
    if let Some(path) = &config {
        let error = Config::read(path, AddressOverrides::default()).err();
        messages.extend(error.map(|error| error.to_string()));
    }
    if !messages.is_empty() {
        return Err(CommandError::invalid_settings(messages));
    }
    println!("no fault found");
    Ok(())
}
