//! Gathers the evidence from record stores, in one pass over their blocks.

mod error;
mod store;
mod summaries;
mod sums;

use crate::evidence::Evidence;
use error::GatherError;
use std::path::Path;
use std::thread::ScopedJoinHandle;
use store::StoreEvidence;
use wharfplank_records::reader::{StoreReader, StoreSet};
use wharfplank_records::Micros;

/// One second, in µs.
const SECOND: Micros = 1_000_000;
/// Bins of spans up to this length are [`FINE_BIN`] long, those of longer spans [`COARSE_BIN`].
const MAX_FINE_SPAN: Micros = 3_600 * SECOND;
const FINE_BIN: Micros = SECOND;
const COARSE_BIN: Micros = 10 * SECOND;

/// Gathers what the stores show of a span. What cannot be read is listed in [`Evidence::problems`]. Each
/// store is read by a thread of its own.
pub fn gather(set: &StoreSet, from: Micros, to: Micros) -> Evidence {
    let bin = if to - from <= MAX_FINE_SPAN { FINE_BIN } else { COARSE_BIN };
    let frame = Evidence { from, to, bin, ..Evidence::default() };
    let mut evidence = Evidence { problems: set.problem_texts(), ..frame.clone() };
    for (source, result) in set.stores.iter().zip(read_stores(set, &frame)) {
        let store = result.unwrap_or_else(|error| {
            evidence.problems.push(format!("{}: {error}", source.proxy));
            StoreEvidence::default()
        });
        add_store(&mut evidence, source, store);
    }
    evidence.stale_reads.sort_by_key(|read| read.at);
    evidence.stale_reads.truncate(Evidence::MAX_STALE_READS);
    evidence
}

/// Reads all stores at once; the results are in the order of the stores.
fn read_stores(set: &StoreSet, frame: &Evidence) -> Vec<Result<StoreEvidence, GatherError>> {
    std::thread::scope(|scope| {
        let spawn = |source: &StoreReader| {
            let path = source.path.clone();
            scope.spawn(move || read_store_at(&path, frame))
        };
        let threads: Vec<_> = set.stores.iter().map(spawn).collect();
        threads.into_iter().map(join).collect()
    })
}

fn read_store_at(path: &Path, frame: &Evidence) -> Result<StoreEvidence, GatherError> {
    let source = StoreReader::open(path)?;
    store::read_store(&source, frame)
}

fn join(
    thread: ScopedJoinHandle<'_, Result<StoreEvidence, GatherError>>,
) -> Result<StoreEvidence, GatherError> {
    thread.join().unwrap_or(Err(GatherError::Panicked))
}

/// Adds one store's part to the evidence, with the spans in which its proxy was alive and its gaps.
fn add_store(evidence: &mut Evidence, source: &StoreReader, store: StoreEvidence) {
    let from = evidence.from;
    let to = evidence.to;
    let mut proxy = store.proxy;
    proxy.alive = source.runs.iter().map(|run| (run.started_at, run.last_alive_at)).collect();
    proxy.alive.retain(|(start, end)| *start <= to && from <= *end);
    proxy.gaps.extend(source.gaps());
    proxy.gaps.retain(|gap| gap.from <= to && from <= gap.to);
    evidence.proxies.insert(source.proxy.clone(), proxy);
    evidence.zones.extend(store.zones);
    evidence.problems.extend(store.problems);
    evidence.stale_reads.extend(store.stale_reads);
    evidence.stale_read_count += store.stale_read_count;
}
