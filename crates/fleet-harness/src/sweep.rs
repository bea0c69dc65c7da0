//! Sweeps: many seeded runs, some in parallel, totalled by scenario.

use crate::check::Report;
use crate::schedule::{Scenario, Schedule};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The maximum number of runs of a sweep.
pub const MAX_RUNS: usize = 10_000;
/// The maximum number of runs in parallel.
pub const MAX_PARALLEL_RUNS: usize = 64;

/// The delay of the harness above which a run with rule violations is repeated, because the machine was
/// overloaded.
pub const MAX_HARNESS_DELAY_MS: u64 = 100;
/// The maximum number of repetitions of such a run.
const MAX_REPEATS: usize = 2;

/// A run of a sweep: its schedule, and its report or the reason why it did not complete.
pub type SweepRun = (Schedule, Result<Report, String>);

/// Runs the schedules, `parallel_runs` at a time, each as a separate process (`lab fleet --replay`) with a
/// directory of its own below `directory`. Directories of runs without rule violations are removed. The
/// reports are in the order of the schedules.
pub fn play_all(
    schedules: Vec<Schedule>,
    program: &Path,
    directory: &Path,
    parallel_runs: usize,
) -> Vec<SweepRun> {
    let schedules: Vec<Schedule> = schedules.into_iter().take(MAX_RUNS).collect();
    let next = AtomicUsize::new(0);
    let reports: Mutex<Vec<Option<Result<Report, String>>>> = Mutex::new(vec![None; schedules.len()]);
    std::thread::scope(|scope| {
        for _ in 0..parallel_runs.clamp(1, MAX_PARALLEL_RUNS).min(schedules.len()) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(schedule) = schedules.get(number) else { return };
                let run_directory = directory_of(directory, schedule);
                let mut report = play_one(schedule, program, &run_directory);
                // A run on an overloaded machine says nothing about the program, so it is repeated.
                for _ in 0..MAX_REPEATS {
                    if !report
                        .as_ref()
                        .is_ok_and(|r| r.violations > 0 && r.harness_delay_ms > MAX_HARNESS_DELAY_MS)
                    {
                        break;
                    }
                    report = play_one(schedule, program, &run_directory)
                        .map(|r| Report { was_repeated: true, ..r });
                }
                if report.as_ref().is_ok_and(|r| r.violations == 0) {
                    let _ = std::fs::remove_dir_all(&run_directory);
                }
                if let Ok(mut reports) = reports.lock() {
                    reports[number] = Some(report);
                }
            });
        }
    });
    let reports = reports.into_inner().unwrap_or_default();
    let no_result = || Err("the run has no result".to_string());
    schedules.into_iter().zip(reports).map(|(s, r)| (s, r.unwrap_or_else(no_result))).collect()
}

/// Runs a schedule as a process, with its standard error in `run.txt`, and reads its report.
fn play_one(schedule: &Schedule, program: &Path, run_directory: &Path) -> Result<Report, String> {
    let to_message = |e: std::io::Error| format!("{}: {e}", run_directory.display());
    std::fs::create_dir_all(run_directory).map_err(to_message)?;
    let (schedule_file, report) = (run_directory.join("drawn.json"), run_directory.join("report.json"));
    let text = serde_json::to_string_pretty(schedule).map_err(|e| e.to_string())?;
    std::fs::write(&schedule_file, text).map_err(to_message)?;
    let error_output = std::fs::File::create(run_directory.join("run.txt")).map_err(to_message)?;
    let mut command = Command::new(program);
    command.args(["lab", "fleet", "--replay"]).arg(&schedule_file).arg("--out").arg(run_directory);
    let status = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(error_output)
        .status()
        .map_err(to_message)?;
    let text = std::fs::read_to_string(&report)
        .map_err(|_| format!("run exited with {status}; see {}", run_directory.join("run.txt").display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", report.display()))
}

/// Returns the directory of a schedule's run.
fn directory_of(directory: &Path, schedule: &Schedule) -> PathBuf {
    let suffix = if schedule.peers { "" } else { "-alone" };
    let (name, proxies, seed) = (schedule.scenario.name(), schedule.proxies, schedule.seed);
    directory.join(format!("{name}-{proxies}-{seed}{suffix}"))
}

/// The totals of a scenario's runs. The encoded names are those of `sums.json`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sum {
    /// The scenario.
    pub scenario: String,
    /// The number of runs that completed, and the errors of those that did not.
    pub runs: usize,
    /// See `runs`.
    pub failed: Vec<String>,
    /// Rule violations, and of them lost requests, stale reads, duplicate writes, collapsed members and
    /// crashed proxies.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// See `violations`.
    pub lost: u64,
    /// See `violations`.
    #[serde(rename = "stale")]
    pub stale_reads: u64,
    /// See `violations`.
    #[serde(rename = "twice")]
    pub duplicate_writes: u64,
    /// See `violations`.
    #[serde(rename = "fallen")]
    pub collapsed_members: u64,
    /// See `violations`.
    pub crashed: u64,
    /// See `violations`: proxies whose replicated state still differed after the load.
    pub diverged: u64,
    /// Runs that were repeated because the machine was overloaded.
    #[serde(rename = "starved")]
    pub repeated_runs: usize,
    /// Failed writes that were retried at another proxy, by the outcome of the retry.
    #[serde(rename = "again")]
    pub write_retries: std::collections::BTreeMap<String, u64>,
    /// The seeds of runs with rule violations.
    #[serde(rename = "broken_seeds")]
    pub violation_seeds: Vec<u64>,
    /// The mean over runs and zone faults of the fraction of live proxies that had evacuated the zone 1, 2
    /// and 5 s after its loss, and that had returned to it 1, 2 and 5 s after the fault ended.
    #[serde(rename = "left_after")]
    pub evacuated_after: [f64; 3],
    /// See `evacuated_after`.
    #[serde(rename = "back_after")]
    pub returned_after: [f64; 3],
    /// The maxima over all runs: the fraction of reads to another zone's replica without a zone fault, and
    /// the load on a returning member as a fraction of its collapse load.
    #[serde(rename = "far_reads")]
    pub cross_zone_read_fraction: f64,
    /// See `cross_zone_read_fraction`.
    #[serde(rename = "cold_peak")]
    pub peak_cold_load: f64,
    /// The number of requests in all runs by the outcome that their clients saw.
    pub requests: std::collections::BTreeMap<String, u64>,
    /// The mean rate of bytes that a proxy sent to its peers.
    #[serde(rename = "udp_bytes_a_second")]
    pub udp_bytes_per_second: f64,
}

/// Totals the runs of each scenario.
pub fn sums(played: &[SweepRun]) -> Vec<Sum> {
    let sum_of = |scenario: &Scenario| {
        let scenario_runs: Vec<&SweepRun> = played.iter().filter(|(s, _)| s.scenario == *scenario).collect();
        (!scenario_runs.is_empty()).then(|| sum(*scenario, &scenario_runs))
    };
    Scenario::ALL.iter().filter_map(sum_of).collect()
}

fn sum(scenario: Scenario, played: &[&SweepRun]) -> Sum {
    let mut sum = Sum { scenario: scenario.name().to_string(), ..Sum::default() };
    let mut faults = 0.0;
    for (schedule, report) in played {
        let r = match report {
            Ok(report) => report,
            Err(error) => {
                sum.failed.push(format!("seed {}: {error}", schedule.seed));
                continue;
            }
        };
        sum.runs += 1;
        sum.violations += r.violations;
        sum.lost += r.lost;
        sum.stale_reads += r.stale_reads;
        sum.duplicate_writes += r.duplicate_writes;
        sum.collapsed_members += r.collapsed_members;
        sum.crashed += r.crashed;
        sum.diverged += r.diverged;
        sum.repeated_runs += usize::from(r.was_repeated);
        r.write_retries.iter().for_each(|(k, v)| *sum.write_retries.entry(k.clone()).or_default() += v);
        if r.violations > 0 {
            sum.violation_seeds.push(schedule.seed);
        }
        for (left, back) in r.evacuated_after.iter().zip(&r.returned_after) {
            faults += 1.0;
            for i in 0..3 {
                sum.evacuated_after[i] += left[i];
                sum.returned_after[i] += back[i];
            }
        }
        sum.cross_zone_read_fraction = sum.cross_zone_read_fraction.max(r.cross_zone_read_fraction);
        sum.peak_cold_load = sum.peak_cold_load.max(r.peak_cold_load);
        r.requests.iter().for_each(|(k, v)| *sum.requests.entry(k.clone()).or_default() += v);
        sum.udp_bytes_per_second += r.udp_bytes_per_second;
    }
    for part in sum.evacuated_after.iter_mut().chain(&mut sum.returned_after) {
        *part /= f64::max(faults, 1.0);
    }
    sum.udp_bytes_per_second /= sum.runs.max(1) as f64;
    sum
}

impl Sum {
    /// Formats the totals as text.
    pub fn render(&self) -> String {
        let fractions = |p: &[f64; 3]| format!("{:.2} {:.2} {:.2}", p[0], p[1], p[2]);
        let mut line = format!(
            "{:<10} {:>4} runs: violations {} (lost {}, stale {}, duplicate {}, collapsed {}, crashed {}, diverged {}); evacuated {}; returned {}; cross-zone {:.4}; peak cold load {:.2}; {:.0} B/s",
            self.scenario, self.runs, self.violations, self.lost, self.stale_reads, self.duplicate_writes, self.collapsed_members, self.crashed, self.diverged,
            fractions(&self.evacuated_after), fractions(&self.returned_after), self.cross_zone_read_fraction, self.peak_cold_load,
            self.udp_bytes_per_second
        );
        let again: Vec<String> = self.write_retries.iter().map(|(k, v)| format!("{k} {v}")).collect();
        line.push_str(&format!("; {} repeated; writes retried: {}", self.repeated_runs, again.join(" ")));
        if !self.violation_seeds.is_empty() {
            line.push_str(&format!("; violations at seeds {:?}", self.violation_seeds));
        }
        self.failed.iter().for_each(|error| line.push_str(&format!("\n  failed: {error}")));
        line
    }
}
