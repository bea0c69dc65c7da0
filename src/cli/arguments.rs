//! The arguments of the command line.

use super::records;
use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Proxy that routes payroll database reads and writes over replicated groups.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Without a sub-command, `serve` runs without settings, as in the deployment file.\n\
    Exit codes: 0 success, 1 run-time failure, 2 usage error, 3 invalid settings or configuration."
)]
pub(super) struct Arguments {
    #[command(subcommand)]
    pub(super) command: Option<Command>,
}

#[derive(Subcommand)]
pub(super) enum Command {
    /// Run the proxy until SIGTERM. `BALANCER_CONFIG` is the path of the configuration.
    #[command(
        after_help = "Example: BALANCER_CONFIG=config.json wharfplank serve --settings deploy/settings.example.xml"
    )]
    Serve {
        /// Settings of the proxy. Without them, all features that they configure are off.
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Validate settings and a configuration without starting anything, and report all errors.
    #[command(
        after_help = "Example: wharfplank check --settings deploy/settings.example.xml --config config.json"
    )]
    Check {
        /// Settings of the proxy.
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
        /// Configuration as the platform provides it.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Print the schema of the settings and exit.
        #[arg(long)]
        schema: bool,
    },
    /// List the runs, sizes and gaps of record stores.
    #[command(after_help = "Example: wharfplank records /var/lib/wharfplank")]
    Records {
        /// Store files, or directories with store files.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
    /// Show records in a terminal console, live while proxies run or from the past.
    #[command(after_help = "Example: wharfplank console /var/lib/wharfplank")]
    Console {
        /// Store files, or directories with store files.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
    /// Write an incident report from the records of one or more proxies, which may still be running.
    #[command(
        after_help = "Example: wharfplank report /var/lib/wharfplank -o report.html --json report.json --last 3600"
    )]
    Report {
        /// Store files, or directories with store files.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        /// Write the report to this file, as HTML.
        #[arg(short, long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// Write the same facts to this file, as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        #[command(flatten)]
        span: records::Span,
    },
    /// Test environment on loopback addresses: simulated members and discovery, scripted faults and a load.
    #[command(subcommand)]
    Lab(Lab),
    /// Print shell completions.
    #[command(after_help = "Example: wharfplank completions bash > /etc/bash_completion.d/wharfplank")]
    Completions {
        /// Shell to print completions for.
        shell: clap_complete::Shell,
    },
}

#[derive(Subcommand)]
pub(super) enum Lab {
    /// Run a load without faults, and print outcomes and latencies by class.
    Demo {
        /// Directory for logs and records [default: target/demo].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Compare a proxy that keeps records with one that does not, under the same load.
    Recording {
        /// Directory for logs and records [default: target/recording].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Compare a proxy with gossip to one without gossip and to one that runs another program, under the same
    /// load.
    Talking {
        /// Other program, for example a build in which gossip has no thread of its own.
        #[arg(long, value_name = "PROGRAM")]
        before: PathBuf,
        /// Number of proxies that gossip.
        #[arg(long, default_value_t = 30)]
        proxies: usize,
        /// Requests per second, in total for the three compared proxies.
        #[arg(long, default_value_t = 1800)]
        rate: u64,
        /// Directory for logs [default: target/talking].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Write records of three proxies for a synthetic day, and generate the report on them.
    Day {
        /// Directory for the stores [default: target/day].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Length of the day in seconds.
        #[arg(long, default_value_t = 86_400)]
        seconds: u32,
    },
    /// Kill a recording process at random times, and check that all records that it acknowledged are stored.
    Kills {
        /// Directory for the store [default: target/kills].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Number of kills.
        #[arg(long, default_value_t = 200)]
        times: u64,
    },
    /// Run the process that `kills` starts.
    #[command(hide = true)]
    RecordUntilKilled {
        /// Directory of the store.
        directory: PathBuf,
    },
    /// Run many proxies as processes with injected faults, and count rule violations.
    #[command(
        after_help = "Example: wharfplank lab fleet --scenario zone-loss --proxies 30 --seed 3 -o target/fleet\n\
        Scenarios: zone-loss, zone-cut, zone-flap, minority, pause, kill70, lossy, liar, restart, heal, skew, \
        old-snapshot, burst, doubts, calm, slow-member, slow-liar.\n\
        The exit code is 1 if a rule was violated. Repeat a run with --replay DIR/schedule.json."
    )]
    Fleet {
        /// Fault scenario.
        #[arg(long, default_value = "zone-loss")]
        scenario: String,
        /// Number of proxies, 3 to 200.
        #[arg(long, default_value_t = 5)]
        proxies: usize,
        /// Seed of the schedule.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Run the proxies without gossip, each deciding alone, for comparison.
        #[arg(long)]
        alone: bool,
        /// Run a schedule that an earlier run saved instead of generating one.
        #[arg(long, value_name = "FILE")]
        replay: Option<PathBuf>,
        /// Directory for logs, the schedule and the report [default: target/fleet].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Run fleet scenarios with many seeds, several runs in parallel, and print totals by scenario.
    #[command(
        after_help = "Example: wharfplank lab sweep --runs 200 --proxies 3 --beside 16 -o target/sweep\n\
        The exit code is 1 if a rule was violated or a run failed. Runs with a violated rule keep their files."
    )]
    Sweep {
        /// Scenarios to run [default: all].
        #[arg(long = "scenario", value_name = "SCENARIO")]
        scenarios: Vec<String>,
        /// Number of runs per scenario.
        #[arg(long, default_value_t = 10)]
        runs: u64,
        /// Seed of the first run; it increases by 1 for each further run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of proxies in each run, 3 to 200.
        #[arg(long, default_value_t = 5)]
        proxies: usize,
        /// Number of runs in parallel.
        #[arg(long, default_value_t = 4)]
        beside: usize,
        /// Run the proxies without gossip, each deciding alone, for comparison.
        #[arg(long)]
        alone: bool,
        /// Directory for the totals and the files of runs with violated rules [default: target/sweep].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Add up counters from proxy logs: the `counts` lines at level debug, and closed connections.
    #[command(
        after_help = "Example: wharfplank lab tally logs/*.log --by-second refused. --by-second probe."
    )]
    Tally {
        /// Proxy logs, or directories with `*.log` files.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        /// Print the total per second of the counters with this prefix.
        #[arg(long, value_name = "PREFIX")]
        by_second: Vec<String>,
    },
    /// Run a scripted incident, write its report, and compare the report with the script.
    #[command(
        after_help = "Example: wharfplank lab incident crates/lab/timelines/incident.xml -o target/incident"
    )]
    Incident {
        /// Timeline of the incident [default: built-in timeline].
        timeline: Option<PathBuf>,
        /// Directory for logs, records and the report [default: target/incident].
        #[arg(short, long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
}
