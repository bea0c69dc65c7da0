//! Tests of record stores: synthetic stores of a long span, and a recording process that is killed at random
//! moments.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;
use wharfplank_records::reader::{BlockFilter, StoreReader};
use wharfplank_records::store::{self, Store, StoreLimits};
use wharfplank_records::{
    FailureReason, MemberState, Micros, Outcome, Record, Recorder, RecorderConfig, Staleness,
};

const SECOND: Micros = 1_000_000;
const LIMITS: StoreLimits = StoreLimits {
    max_bytes: 16 << 30,
    block_retention: 30 * 86_400 * SECOND,
    summary_retention: 400 * 86_400 * SECOND,
};

/// Writes synthetic stores of a span of `seconds`: one for each proxy, with `rate` answers per second over
/// all proxies, from twelve members. From a third to half of the span most replicas lag behind and some
/// bounded reads are rejected as too stale. Returns the number of answers written.
pub fn write_synthetic_stores(
    directory: &Path,
    seconds: i64,
    proxies: u64,
    rate: u64,
    seed: u64,
) -> Result<u64, String> {
    let start = 1_800_000_000 * SECOND;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut answer_count = 0;
    for proxy in 0..proxies {
        let name = format!("n{proxy}");
        let mut store = Store::open(directory, &name, LIMITS, start).map_err(|e| e.to_string())?.store;
        let mut records =
            vec![(start, Record::Proxy { zone: ["a", "b", "c"][proxy as usize % 3].to_string() })];
        for (class, name) in ["bounded-read", "session-read", "report", "write"].iter().enumerate() {
            let record =
                Record::Class { class: class as u16, name: name.to_string(), latency_objective: 300_000 };
            records.push((start, record));
        }
        for member in 0..12_u32 {
            let zone = ["a", "b", "c"][member as usize % 3].to_string();
            records.push((
                start,
                Record::Member { member, name: format!("g{}m{}", member / 4, member % 4), zone },
            ));
        }
        let rate_per_proxy = (rate / proxies).max(1);
        for second in 0..seconds {
            let at = start + second * SECOND;
            let lag =
                (second * 3 > seconds && second * 2 < seconds).then_some((second * 3 - seconds) * SECOND / 3);
            for member in 0..12_u32 {
                let primary = member % 4 == 0;
                let position = at - lag.filter(|_| !primary && member % 4 != 3).unwrap_or(8_000);
                let state = MemberState {
                    member,
                    group: u64::from(member / 4),
                    primary,
                    active: true,
                    position,
                    position_seen_at: at,
                    suspected_since: None,
                    in_flight: 1,
                    relative_latency_percent: 100,
                };
                records.push((at, Record::MemberState(state)));
            }
            for i in 0..rate_per_proxy {
                let at = at + (i * 1_000_000 / rate_per_proxy) as Micros;
                let class = [0, 0, 0, 0, 1, 1, 1, 1, 3, 2][rng.random_range(0..10)];
                let took = rng.random_range(2_000..60_000);
                let is_rejected = lag.is_some() && class == 0 && rng.random_range(0..20) == 0;
                let outcome =
                    if is_rejected { Outcome::Rejected(FailureReason::TooStale) } else { Outcome::Served };
                let staleness =
                    is_rejected.then_some(Staleness { needed: at - 200_000, known: at - 900_000 });
                let member = (!is_rejected).then(|| rng.random_range(0..12));
                let record =
                    Record::Answer { class, group: i % 3, member, attempts: 1, took, outcome, staleness };
                records.push((at, record));
                answer_count += 1;
            }
            if records.len() > 4096 {
                store.append(&records, at + SECOND).map_err(|e| e.to_string())?;
                records.clear();
            }
        }
        store.append(&records, start + seconds * SECOND).map_err(|e| e.to_string())?;
        store.end_run(start + seconds * SECOND).map_err(|e| e.to_string())?;
    }
    Ok(answer_count)
}

fn now() -> Micros {
    crate::clock::now()
}

/// Records answers as one run and prints to standard output how many records are stored. The process is meant
/// to be killed while it records; otherwise it ends after ten seconds.
pub fn record_until_killed(directory: &Path) -> Result<(), String> {
    let config = RecorderConfig {
        directory: directory.into(),
        proxy: "n0".to_string(),
        queue_capacity: 16_384,
        flush_interval: Duration::from_millis(3),
        limits: LIMITS,
    };
    let recorder = Recorder::start(config, now, |_| {}).map_err(|e| e.to_string())?;
    let end = now() + 10 * SECOND;
    let mut reported = 0;
    while now() < end {
        for _ in 0..20 {
            let (class, group, member, attempts, took) = (0, 1, Some(2), 1, 10);
            let (outcome, staleness) = (Outcome::Served, None);
            recorder.record(Record::Answer { class, group, member, attempts, took, outcome, staleness });
        }
        recorder.submit();
        let stored = recorder.stored_count();
        if stored > reported {
            reported = stored;
            let mut out = std::io::stdout();
            if writeln!(out, "{stored}").and_then(|()| out.flush()).is_err() {
                break;
            }
        }
        std::thread::sleep(Duration::from_micros(300));
    }
    Ok(())
}

/// The results of a durability test.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct KillResults {
    /// The number of processes killed.
    pub kills: u64,
    /// The number of records that the processes had reported as stored.
    pub acknowledged: u64,
    /// The number of reported records that were found in the store.
    pub found: u64,
    /// The number of checks in which the store did not open or had a damaged block.
    pub damaged: u64,
}

/// Kills a recording process at a random moment, `times` times with the same store, and checks the store
/// after each.
pub fn kill_while_recording(
    program: &Path,
    directory: &Path,
    times: u64,
    seed: u64,
) -> Result<KillResults, String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut results = KillResults::default();
    for _ in 0..times {
        let mut command = Command::new(program);
        command
            .args(["lab", "record-until-killed"])
            .arg(directory)
            .stdout(Stdio::piped())
            .stdin(Stdio::null());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
        let lines =
            BufReader::new(child.stdout.take().ok_or("the recording process has no standard output")?);
        // The first line shows that the process records; it is then killed after a random delay.
        let (sender, reported) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let numbers = lines.lines().map_while(Result::ok).filter_map(|line| line.parse::<u64>().ok());
            let _ = numbers.map(|number| sender.send(number)).take_while(Result::is_ok).count();
        });
        let first = reported
            .recv_timeout(Duration::from_secs(20))
            .map_err(|_| "the recording process stored no record within 20 s")?;
        std::thread::sleep(Duration::from_micros(rng.random_range(0..40_000)));
        child.kill().map_err(|e| e.to_string())?;
        let _ = child.wait();
        let acknowledged = reported.iter().last().unwrap_or(first);
        results.kills += 1;
        results.acknowledged += acknowledged;
        let Ok(source) = StoreReader::open(&store::path(directory, "n0")) else {
            results.damaged += 1;
            continue;
        };
        let last = source.runs.last().map_or(0, |run| run.id);
        let mut found = 0;
        let gaps = source.records(0..=Micros::MAX, BlockFilter::All, |run, _, record| {
            found += u64::from(run == last && matches!(record, Record::Answer { .. }));
        });
        results.damaged += u64::from(gaps.is_err());
        results.found += found.min(acknowledged);
    }
    Ok(results)
}
