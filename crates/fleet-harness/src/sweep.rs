//! Many runs of the rig, some beside each other, added up by scenario: what seeded runs show that one does not.

use crate::check::Report;
use crate::schedule::{Scenario, Schedule};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The most runs of a sweep.
pub const MAX_RUNS: usize = 10_000;
/// The most runs of a sweep at a time.
pub const MAX_PARALLEL_RUNS: usize = 64;

/// A run with a broken rule in which the rig itself was later than this is played again, so often at most.
pub const LATE_MS: u64 = 100;
const MAX_REPEATS: usize = 2;

/// What one run of a sweep came to: its report, or why it could not be played.
pub type Played = (Schedule, Result<Report, String>);

/// Plays the schedules, `beside` at a time, each as a process of its own (`lab fleet --replay`) in a directory of its own below `directory`; those without a broken
/// rule leave nothing behind. The reports come in the order of the schedules.
pub fn play_all(schedules: Vec<Schedule>, program: &Path, directory: &Path, beside: usize) -> Vec<Played> {
    let schedules: Vec<Schedule> = schedules.into_iter().take(MAX_RUNS).collect();
    let next = AtomicUsize::new(0);
    let reports: Mutex<Vec<Option<Result<Report, String>>>> = Mutex::new(vec![None; schedules.len()]);
    std::thread::scope(|scope| {
        for _ in 0..beside.clamp(1, MAX_PARALLEL_RUNS).min(schedules.len()) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(schedule) = schedules.get(number) else { return };
                let place = of(directory, schedule);
                let mut report = play_one(schedule, program, &place);
                // A run for which the machine had no time shows nothing of the program: it is played again.
                for _ in 0..MAX_REPEATS {
                    if !report.as_ref().is_ok_and(|r| r.broken > 0 && r.late_ms > LATE_MS) {
                        break;
                    }
                    report = play_one(schedule, program, &place).map(|r| Report { again_starved: true, ..r });
                }
                if report.as_ref().is_ok_and(|r| r.broken == 0) {
                    let _ = std::fs::remove_dir_all(&place);
                }
                if let Ok(mut reports) = reports.lock() {
                    reports[number] = Some(report);
                }
            });
        }
    });
    let reports = reports.into_inner().unwrap_or_default();
    let unplayed = || Err("not played".to_string());
    schedules.into_iter().zip(reports).map(|(s, r)| (s, r.unwrap_or_else(unplayed))).collect()
}

/// Plays one schedule as a process; what it printed is in `run.txt`, and its report is read back.
fn play_one(schedule: &Schedule, program: &Path, place: &Path) -> Result<Report, String> {
    let fault = |e: std::io::Error| format!("{}: {e}", place.display());
    std::fs::create_dir_all(place).map_err(fault)?;
    let (drawn, report) = (place.join("drawn.json"), place.join("report.json"));
    let text = serde_json::to_string_pretty(schedule).map_err(|e| e.to_string())?;
    std::fs::write(&drawn, text).map_err(fault)?;
    let said = std::fs::File::create(place.join("run.txt")).map_err(fault)?;
    let mut command = Command::new(program);
    command.args(["lab", "fleet", "--replay"]).arg(&drawn).arg("--out").arg(place);
    let status = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(said).status().map_err(fault)?;
    let text = std::fs::read_to_string(&report)
        .map_err(|_| format!("the run ended with {status}; see {}", place.join("run.txt").display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", report.display()))
}

/// Where a schedule's run keeps its files.
fn of(directory: &Path, schedule: &Schedule) -> PathBuf {
    let talk = if schedule.peers { "" } else { "-alone" };
    let (name, proxies, seed) = (schedule.scenario.name(), schedule.proxies, schedule.seed);
    directory.join(format!("{name}-{proxies}-{seed}{talk}"))
}

/// The runs of one scenario, added up.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sum {
    /// The scenario.
    pub scenario: String,
    /// Runs that were played to their end, and those that could not be.
    pub runs: usize,
    /// See `runs`.
    pub failed: Vec<String>,
    /// Broken rules, and of them requests lost, reads too old, writes twice, members fallen, proxies crashed.
    pub broken: u64,
    /// See `broken`.
    pub lost: u64,
    /// See `broken`.
    pub stale: u64,
    /// See `broken`.
    pub twice: u64,
    /// See `broken`.
    pub fallen: u64,
    /// See `broken`.
    pub crashed: u64,
    /// See `broken`: proxies that held another state than most long after the load.
    pub diverged: u64,
    /// Runs that were played again, since the machine had no time for them.
    pub starved: usize,
    /// Writes sent again elsewhere after no success, by what their clients saw then.
    pub again: std::collections::BTreeMap<String, u64>,
    /// The seeds of runs in which a rule was broken.
    pub broken_seeds: Vec<u64>,
    /// The mean over runs and zone faults of the part of live proxies that held the zone left 1, 2, 5 s after it was
    /// lost, and that no longer did 1, 2, 5 s after it returned.
    pub left_after: [f64; 3],
    /// See `left_after`.
    pub back_after: [f64; 3],
    /// The most of any run: reads to far replicas in calm, load on a returning member as a part of what fells it.
    pub far_reads: f64,
    /// See `far_reads`.
    pub cold_peak: f64,
    /// Requests seen by clients, by what they saw, over all runs.
    pub requests: std::collections::BTreeMap<String, u64>,
    /// The mean of the bytes that a proxy sent its peers a second.
    pub udp_bytes_a_second: f64,
}

/// Adds the runs of each scenario up.
pub fn sums(played: &[Played]) -> Vec<Sum> {
    let of = |scenario: &Scenario| {
        let mine: Vec<&Played> = played.iter().filter(|(s, _)| s.scenario == *scenario).collect();
        (!mine.is_empty()).then(|| sum(*scenario, &mine))
    };
    Scenario::ALL.iter().filter_map(of).collect()
}

fn sum(scenario: Scenario, played: &[&Played]) -> Sum {
    let mut sum = Sum { scenario: scenario.name().to_string(), ..Sum::default() };
    let mut faults = 0.0;
    for (schedule, report) in played {
        let r = match report {
            Ok(report) => report,
            Err(what) => {
                sum.failed.push(format!("seed {}: {what}", schedule.seed));
                continue;
            }
        };
        sum.runs += 1;
        sum.broken += r.broken;
        sum.lost += r.lost;
        sum.stale += r.stale;
        sum.twice += r.twice;
        sum.fallen += r.fallen;
        sum.crashed += r.crashed;
        sum.diverged += r.diverged;
        sum.starved += usize::from(r.again_starved);
        r.again.iter().for_each(|(k, v)| *sum.again.entry(k.clone()).or_default() += v);
        if r.broken > 0 {
            sum.broken_seeds.push(schedule.seed);
        }
        for (left, back) in r.left_after.iter().zip(&r.back_after) {
            faults += 1.0;
            for i in 0..3 {
                sum.left_after[i] += left[i];
                sum.back_after[i] += back[i];
            }
        }
        sum.far_reads = sum.far_reads.max(r.far_reads);
        sum.cold_peak = sum.cold_peak.max(r.cold_peak);
        r.requests.iter().for_each(|(k, v)| *sum.requests.entry(k.clone()).or_default() += v);
        sum.udp_bytes_a_second += r.udp_bytes_a_second;
    }
    for part in sum.left_after.iter_mut().chain(&mut sum.back_after) {
        *part /= f64::max(faults, 1.0);
    }
    sum.udp_bytes_a_second /= sum.runs.max(1) as f64;
    sum
}

impl Sum {
    /// One line for people.
    pub fn render(&self) -> String {
        let three = |p: &[f64; 3]| format!("{:.2} {:.2} {:.2}", p[0], p[1], p[2]);
        let mut line = format!(
            "{:<10} {:>4} runs: broken {} (lost {}, stale {}, twice {}, fallen {}, crashed {}, diverged {}); left {}; back {}; far {:.4}; cold peak {:.2}; {:.0} B/s",
            self.scenario, self.runs, self.broken, self.lost, self.stale, self.twice, self.fallen, self.crashed, self.diverged,
            three(&self.left_after), three(&self.back_after), self.far_reads, self.cold_peak,
            self.udp_bytes_a_second
        );
        let again: Vec<String> = self.again.iter().map(|(k, v)| format!("{k} {v}")).collect();
        line.push_str(&format!("; {} played again; writes sent again: {}", self.starved, again.join(" ")));
        if !self.broken_seeds.is_empty() {
            line.push_str(&format!("; broken at seeds {:?}", self.broken_seeds));
        }
        self.failed.iter().for_each(|what| line.push_str(&format!("\n  not played: {what}")));
        line
    }
}
