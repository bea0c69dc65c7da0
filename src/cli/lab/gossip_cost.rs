//! `lab talking`: measures the cost of gossip between proxies for the serving thread.

use super::super::error::CommandError;
use super::play::{load_timeline, play_timeline_with};
use std::path::Path;
use wharfplank::lab::load::ClientOutcome;
use wharfplank::lab::timeline;

/// The duration of the load in seconds.
const SECONDS: u64 = 30;

/// Compares three proxies under the same load in one run: one without gossip, one that runs the program
/// `before` with gossip, and one that runs this program with gossip. The other proxies gossip but receive no
/// load.
pub fn gossip_cost(before: &Path, proxies: usize, rate: u64, directory: &Path) -> Result<(), CommandError> {
    let before =
        before.canonicalize().map_err(|e| CommandError::failed(format!("{}: {e}", before.display())))?;
    let mut timeline = load_timeline(None, timeline::DEMO)?;
    timeline.rate = rate;
    timeline.seconds = SECONDS;
    timeline.proxies = proxies.max(6) + 1;
    let result = play_timeline_with(&timeline, directory, |_| false, Some(before))?;
    let finished_requests = result.load.finished.borrow();
    println!(
        "{:<10} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10}",
        "talk", "served", "p50 ms", "p99 ms", "p99.9", "serving us", "all us"
    );
    for (number, name) in ["off", "before", "now"].iter().enumerate() {
        let requests: Vec<_> = finished_requests.iter().filter(|request| request.proxy == number).collect();
        let served = requests.iter().filter(|request| request.outcome == ClientOutcome::Served);
        let mut times: Vec<i64> = served.map(|request| request.finished_at - request.due_at).collect();
        times.sort_unstable();
        let percentile_ms =
            |per_mille: usize| times.get(times.len() * per_mille / 1000).map_or(0.0, |t| *t as f64 / 1000.0);
        let used = result
            .process_usage
            .get(number)
            .ok_or_else(|| CommandError::failed("cannot determine the CPU time of a proxy"))?;
        let micros_per_request = |seconds: f64| seconds * 1e6 / requests.len().max(1) as f64;
        println!(
            "{name:<10} {:>8} {:>8.2} {:>8.2} {:>8.2} {:>10.0} {:>10.0}",
            times.len(),
            percentile_ms(500),
            percentile_ms(990),
            percentile_ms(999),
            micros_per_request(used.serving_cpu_seconds),
            micros_per_request(used.cpu_seconds)
        );
    }
    Ok(())
}
