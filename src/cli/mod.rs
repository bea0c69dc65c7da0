//! Sub-commands and exit codes.
//!
//! | code | meaning |
//! | --- | --- |
//! | 0 | done |
//! | 1 | it ran and failed |
//! | 2 | the command line cannot be understood |
//! | 3 | settings or a configuration cannot be used; nothing was started |

mod lab;
mod line;
mod records;
mod talking;

use clap::{CommandFactory, Parser};
use line::{Command, Lab, Line};
use std::path::PathBuf;
use std::process::ExitCode;
use wharfplank::program::{
    config::{AddressOverrides, Config},
    log, run as serve,
};
use wharfplank::settings::{self, Settings};

const FAILED: u8 = 1;
const BAD_SETTINGS: u8 = 3;

/// Why a command ends early: what to say, and the exit code.
pub struct Stop(Vec<String>, u8);

impl Stop {
    fn failed(what: impl ToString) -> Self {
        Stop(vec![what.to_string()], FAILED)
    }

    fn settings(what: Vec<String>) -> Self {
        Stop(what, BAD_SETTINGS)
    }
}

/// Runs what the command line says.
pub fn run() -> ExitCode {
    let done = match Line::parse().command {
        None => serving(None),
        Some(Command::Serve { settings }) => serving(settings),
        Some(Command::Check { settings, config, schema }) => check(settings, config, schema),
        Some(Command::Records { paths }) => records::records(&paths),
        Some(Command::Console { paths }) => wharfplank::console::run(&paths).map_err(Stop::failed),
        Some(Command::Report { paths, out, json, span }) => {
            records::report(&paths, &span, out.as_deref(), json.as_deref())
        }
        Some(Command::Lab(Lab::Demo { out })) => lab::demo(&lab::place(out, "demo")),
        Some(Command::Lab(Lab::Recording { out })) => lab::recording(&lab::place(out, "recording")),
        Some(Command::Lab(Lab::Talking { before, proxies, rate, out })) => {
            talking::talking(&before, proxies, rate, &lab::place(out, "talking"))
        }
        Some(Command::Lab(Lab::Day { out, seconds })) => lab::day(&lab::place(out, "day"), seconds),
        Some(Command::Lab(Lab::Kills { out, times })) => lab::kills(&lab::place(out, "kills"), times),
        Some(Command::Lab(Lab::RecordUntilKilled { directory })) => {
            wharfplank::lab::trials::record_until_killed(&directory).map_err(Stop::failed)
        }
        Some(Command::Lab(Lab::Tally { paths, by_second })) => lab::tally(&paths, &by_second),
        Some(Command::Lab(Lab::Fleet { scenario, proxies, seed, alone, replay, out })) => {
            lab::fleet(&scenario, proxies, seed, !alone, replay.as_deref(), &lab::place(out, "fleet"))
        }
        Some(Command::Lab(Lab::Sweep { scenarios, runs, seed, proxies, beside, alone, out })) => {
            let place = lab::place(out, "sweep");
            lab::sweep(&scenarios, seed..seed.saturating_add(runs), proxies, beside, !alone, &place)
        }
        Some(Command::Lab(Lab::Incident { timeline, out })) => {
            lab::incident(timeline.as_deref(), &lab::place(out, "incident"))
        }
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Line::command(), "wharfplank", &mut std::io::stdout());
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Stop(what, code)) => {
            what.iter().for_each(|what| eprintln!("wharfplank: {what}"));
            ExitCode::from(code)
        }
    }
}

fn load(settings: Option<PathBuf>) -> Result<Settings, Stop> {
    settings.map_or(Ok(Settings::default()), |path| settings::load(&path)).map_err(Stop::settings)
}

fn serving(settings: Option<PathBuf>) -> Result<(), Stop> {
    let settings = load(settings)?;
    let config = Config::from_environment().map_err(|error| Stop::settings(vec![error.to_string()]))?;
    let _log = log::start(&settings.log).map_err(Stop::failed)?;
    serve(config, &settings).map_err(Stop::failed)
}

fn check(settings: Option<PathBuf>, config: Option<PathBuf>, schema: bool) -> Result<(), Stop> {
    if schema {
        print!("{}", settings::SCHEMA);
        return Ok(());
    }
    let mut faults = Vec::new();
    if let Some(path) = &settings {
        faults.extend(settings::load(path).err().unwrap_or_default());
    }
    if let Some(path) = &config {
        faults.extend(Config::read(path, AddressOverrides::default()).err().map(|error| error.to_string()));
    }
    if settings.is_none() && config.is_none() {
        return Err(Stop(
            vec!["nothing to check: give --settings FILE, --config FILE or both".to_string()],
            2,
        ));
    }
    match faults.is_empty() {
        true => {
            println!("no fault found");
            Ok(())
        }
        false => Err(Stop::settings(faults)),
    }
}
