//! `lab talking`: what the fleet's talk does to serving.

use super::{error::CommandError, lab};
use std::path::Path;
use wharfplank::lab::load::Seen;
use wharfplank::lab::timeline;

/// Seconds of load.
const SECONDS: u64 = 30;

/// Three proxies under the same load in one run: one that does not talk, one of the program `before` that talks with
/// all, and one of this program that does. The others that talk get no load.
pub fn talking(before: &Path, proxies: usize, rate: u64, directory: &Path) -> Result<(), CommandError> {
    let before =
        before.canonicalize().map_err(|e| CommandError::failed(format!("{}: {e}", before.display())))?;
    let mut timeline = lab::timeline(None, timeline::DEMO)?;
    (timeline.rate, timeline.seconds, timeline.proxies) = (rate, SECONDS, proxies.max(6) + 1);
    let ran = lab::played_with(&timeline, directory, |_| false, Some(before))?;
    let done = ran.load.done.borrow();
    println!(
        "{:<10} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10}",
        "talk", "served", "p50 ms", "p99 ms", "p99.9", "serving us", "all us"
    );
    for (number, name) in ["off", "before", "now"].iter().enumerate() {
        let own: Vec<_> = done.iter().filter(|d| d.proxy == number).collect();
        let served = own.iter().filter(|d| d.seen == Seen::Served);
        let mut times: Vec<i64> = served.map(|d| d.at - d.due).collect();
        times.sort_unstable();
        let part =
            |per_mille: usize| times.get(times.len() * per_mille / 1000).map_or(0.0, |t| *t as f64 / 1000.0);
        let used =
            ran.used.get(number).ok_or_else(|| CommandError::failed("the system tells no CPU time"))?;
        let each = |seconds: f64| seconds * 1e6 / own.len().max(1) as f64;
        println!(
            "{name:<10} {:>8} {:>8.2} {:>8.2} {:>8.2} {:>10.0} {:>10.0}",
            times.len(),
            part(500),
            part(990),
            part(999),
            each(used.serving),
            each(used.cpu)
        );
    }
    Ok(())
}
