//! The arguments of the command line.

use super::records;
use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Routes payroll database reads and writes over replicated groups.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Without a sub-command it serves, as the deploy file starts it.\n\
    Exit codes: 0 done, 1 failed while running, 2 usage, 3 bad settings or configuration."
)]
pub(super) struct Arguments {
    #[command(subcommand)]
    pub(super) command: Option<Command>,
}

#[derive(Subcommand)]
pub(super) enum Command {
    /// Serve until SIGTERM. `BALANCER_CONFIG` names the configuration.
    #[command(
        after_help = "Example: BALANCER_CONFIG=config.json wharfplank serve --settings deploy/settings.example.xml"
    )]
    Serve {
        /// The program's own settings; without them all that they stand for is off.
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Check settings and a configuration without starting anything, and name every fault.
    #[command(
        after_help = "Example: wharfplank check --settings deploy/settings.example.xml --config config.json"
    )]
    Check {
        /// The program's own settings.
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
        /// The configuration as the platform gives it.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Print the schema of the settings and end.
        #[arg(long)]
        schema: bool,
    },
    /// Say what stores of records hold: runs, sizes and what is not known.
    #[command(after_help = "Example: wharfplank records /var/lib/wharfplank")]
    Records {
        /// Directories with stores, or stores.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
    /// Watch records in the terminal, live beside running proxies and backwards.
    #[command(after_help = "Example: wharfplank console /var/lib/wharfplank")]
    Console {
        /// Directories with stores, or stores.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
    /// Write an incident report from records, also of several proxies and beside running ones.
    #[command(
        after_help = "Example: wharfplank report /var/lib/wharfplank -o report.html --json report.json --last 3600"
    )]
    Report {
        /// Directories with stores, or stores.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        /// The report as one HTML file.
        #[arg(short, long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// The same facts as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        #[command(flatten)]
        span: records::Span,
    },
    /// The laboratory: stand-in members and discovery, scripted troubles and a load, on loopback addresses.
    #[command(subcommand)]
    Lab(Lab),
    /// Print completions for a shell.
    #[command(after_help = "Example: wharfplank completions bash > /etc/bash_completion.d/wharfplank")]
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

#[derive(Subcommand)]
pub(super) enum Lab {
    /// Play a calm while and show answers and times by class.
    Demo {
        /// Where logs and records go [default: target/demo].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Compare a proxy that records with one that does not, side by side.
    Recording {
        /// Where logs and records go [default: target/recording].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Compare a proxy that talks with one that does not and one of another program, side by side.
    Talking {
        /// The other program: say, one in which the fleet's talk has no thread of its own.
        #[arg(long, value_name = "PROGRAM")]
        before: PathBuf,
        /// How many proxies talk.
        #[arg(long, default_value_t = 30)]
        proxies: usize,
        /// Requests a second at the three together.
        #[arg(long, default_value_t = 1800)]
        rate: u64,
        /// Where logs go [default: target/talking].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Write the records of a synthetic day of three proxies, and report on it.
    Day {
        /// Where the stores go [default: target/day].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// The length of the day in seconds.
        #[arg(long, default_value_t = 86_400)]
        seconds: u32,
    },
    /// Kill a recording process at random moments, and look for what it had said was flushed.
    Kills {
        /// Where the store goes [default: target/kills].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// How many times.
        #[arg(long, default_value_t = 200)]
        times: u64,
    },
    /// What `kills` starts.
    #[command(hide = true)]
    RecordUntilKilled {
        /// The directory of the store.
        directory: PathBuf,
    },
    /// Play many proxies as processes with faults between them, and count the broken rules.
    #[command(
        after_help = "Example: wharfplank lab fleet --scenario zone-loss --proxies 30 --seed 3 -o target/fleet\n\
        Scenarios: zone-loss, zone-cut, zone-flap, minority, pause, kill70, lossy, liar, restart, heal, skew, \
        old-snapshot, burst, doubts, calm, slow-member, slow-liar.\n\
        Exits 1 where a rule was broken. A run is played again with --replay DIR/schedule.json."
    )]
    Fleet {
        /// What goes wrong.
        #[arg(long, default_value = "zone-loss")]
        scenario: String,
        /// How many proxies, 3 to 200.
        #[arg(long, default_value_t = 5)]
        proxies: usize,
        /// The seed of the schedule.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Proxies do not talk: each decides alone, for comparison.
        #[arg(long)]
        alone: bool,
        /// Play a schedule that a run wrote out, instead of drawing one.
        #[arg(long, value_name = "FILE")]
        replay: Option<PathBuf>,
        /// Where logs, the schedule and the report go [default: target/fleet].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Play many seeded runs of the fleet's hard cases, some beside each other, and add them up by scenario.
    #[command(
        after_help = "Example: wharfplank lab sweep --runs 200 --proxies 3 --beside 16 -o target/sweep\n\
        Exits 1 where a rule was broken or a run could not be played. Runs with a broken rule keep their files."
    )]
    Sweep {
        /// The scenarios [default: all].
        #[arg(long = "scenario", value_name = "SCENARIO")]
        scenarios: Vec<String>,
        /// Runs of each scenario.
        #[arg(long, default_value_t = 10)]
        runs: u64,
        /// The first seed; the others follow it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many proxies in each run, 3 to 200.
        #[arg(long, default_value_t = 5)]
        proxies: usize,
        /// Runs beside each other.
        #[arg(long, default_value_t = 4)]
        beside: usize,
        /// Proxies do not talk: each decides alone, for comparison.
        #[arg(long)]
        alone: bool,
        /// Where the sums and the files of runs with broken rules go [default: target/sweep].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Add up what proxies did, from their logs: the `counts` lines of level debug and the ended connections.
    #[command(
        after_help = "Example: wharfplank lab tally logs/*.log --by-second refused. --by-second probe."
    )]
    Tally {
        /// Logs of proxies, or directories of them (every `*.log` in it).
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        /// Print the sum of the counters that begin so, second by second.
        #[arg(long, value_name = "PREFIX")]
        by_second: Vec<String>,
    },
    /// Play a scripted incident, write its report, and hold the report against the script.
    #[command(
        after_help = "Example: wharfplank lab incident crates/lab/timelines/incident.xml -o target/incident"
    )]
    Incident {
        /// The timeline; the built-in one if absent.
        timeline: Option<PathBuf>,
        /// Where logs, records and the report go [default: target/incident].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
}
