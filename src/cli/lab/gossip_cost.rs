//! `lab talking`: what gossip between proxies costs the serving thread.

use super::super::error::CommandError;
use super::play::{load_timeline, play_timeline_with};
use std::path::Path;
use wharfplank::lab::load::ClientOutcome;
use wharfplank::lab::timeline;

/// Seconds of load.
const SECONDS: u64 = 30;

/// Three proxies under the same load in one run: one without gossip, one of the program `before`
/// that gossips with all, and one of this program that does. The other proxies get no load.
pub fn gossip_cost(before: &Path, proxies: usize, rate: u64, directory: &Path) -> Result<(), CommandError> {
    let before =
        before.canonicalize().map_err(|e| CommandError::failed(format!("{}: {e}", before.display())))?;
    let mut timeline = load_timeline(None, timeline::DEMO)?;
    timeline.rate = rate;
    timeline.seconds = SECONDS;
    timeline.proxies = proxies.max(6) + 1;
    let ran = play_timeline_with(&timeline, directory, |_| false, Some(before))?;
    let done = ran.load.finished.borrow();
    println!(
        "{:<10} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10}",
        "talk", "served", "p50 ms", "p99 ms", "p99.9", "serving us", "all us"
    );
    for (number, name) in ["off", "before", "now"].iter().enumerate() {
        let own: Vec<_> = done.iter().filter(|d| d.proxy == number).collect();
        let served = own.iter().filter(|d| d.outcome == ClientOutcome::Served);
        let mut times: Vec<i64> = served.map(|d| d.finished_at - d.due_at).collect();
        times.sort_unstable();
        let part =
            |per_mille: usize| times.get(times.len() * per_mille / 1000).map_or(0.0, |t| *t as f64 / 1000.0);
        let used = ran
            .process_usage
            .get(number)
            .ok_or_else(|| CommandError::failed("the system tells no CPU time"))?;
        let each = |seconds: f64| seconds * 1e6 / own.len().max(1) as f64;
        println!(
            "{name:<10} {:>8} {:>8.2} {:>8.2} {:>8.2} {:>10.0} {:>10.0}",
            times.len(),
            part(500),
            part(990),
            part(999),
            each(used.serving_cpu_seconds),
            each(used.cpu_seconds)
        );
    }
    Ok(())
}
