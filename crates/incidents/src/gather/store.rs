//! Reads one store's records of a span.

use super::error::GatherError;
use super::sums::{RunNames, RunSums};
use crate::evidence::{Evidence, ListedHealth, MemberObservation, ProxyEvidence, StaleRead};
use std::collections::BTreeMap;
use wharfplank_records::reader::{BlockFilter, NameKind, StoreReader};
use wharfplank_records::{Micros, Outcome, Record};

/// The evidence in one store.
#[derive(Default)]
pub(super) struct StoreEvidence {
    /// The evidence of the store's proxy.
    pub proxy: ProxyEvidence,
    /// The zones of members.
    pub zones: BTreeMap<String, String>,
    /// The first reads that were rejected as too stale.
    pub stale_reads: Vec<StaleRead>,
    /// The number of all reads that were rejected as too stale.
    pub stale_read_count: u64,
    /// Records that the evidence lacks, described in sentences for people.
    pub problems: Vec<String>,
}

/// Reads the records of a span, which the frame gives together with the length of a bin.
pub(super) fn read_store(source: &StoreReader, frame: &Evidence) -> Result<StoreEvidence, GatherError> {
    let mut store = StoreEvidence::default();
    store.proxy.zone = proxy_zone(source);
    let mut runs: BTreeMap<i64, RunSums> = BTreeMap::new();
    let gaps = source.records(frame.from..=frame.to, BlockFilter::All, |run, at, record| {
        let names = RunNames { source, run };
        store.add_record(runs.entry(run).or_default(), frame, names, at, record);
    })?;
    store.proxy.gaps.extend(gaps);
    for (run, sums) in runs {
        sums.add_to(&mut store.proxy, RunNames { source, run });
    }
    super::summaries::add_summaries(source, frame, &mut store)?;
    Ok(store)
}

/// Returns the zone that the proxy had in its last run.
fn proxy_zone(source: &StoreReader) -> Option<String> {
    let names = source.runs.iter().filter_map(|run| source.name(run.id, NameKind::Proxy, 0));
    names.last().map(|name| name.detail.clone())
}

impl StoreEvidence {
    /// Adds one record to the sums of its run.
    fn add_record(
        &mut self,
        sums: &mut RunSums,
        frame: &Evidence,
        names: RunNames,
        at: Micros,
        record: Record,
    ) {
        let bin = frame.bin_of(at);
        match record {
            Record::Member { name, zone, .. } => {
                self.zones.insert(name, zone);
            }
            Record::Answer { class, group, member, attempts, took, outcome, staleness } => {
                let attempts = u64::from(attempts);
                sums.answers.entry((bin, class, outcome)).or_default().add(attempts, took);
                if outcome != Outcome::Served {
                    *sums.not_served.entry((bin, group, outcome)).or_default() += 1;
                }
                if let Some(member) = member {
                    // A latency describes the member at the time of the request, not of the answer.
                    let request_bin = frame.bin_of(at - took);
                    sums.served.entry((request_bin, member, class)).or_default().add(attempts, took);
                }
                if let Some(staleness) = staleness {
                    self.add_stale_read(|| StaleRead {
                        at,
                        proxy: names.source.proxy.clone(),
                        class: names.class(class),
                        group,
                        needed: staleness.needed,
                        known: staleness.known,
                    });
                }
            }
            Record::MemberState(seen) => {
                let observation = MemberObservation {
                    at,
                    group: seen.group,
                    primary: seen.primary,
                    active: seen.active,
                    position: seen.position,
                    position_seen_at: seen.position_seen_at,
                    suspected: seen.suspected_since.is_some(),
                    in_flight: seen.in_flight,
                };
                sums.add_observation(frame, seen.member, observation);
            }
            Record::EndpointListed { member, health, .. } => {
                sums.listed_health.entry(member).or_default().push(ListedHealth { at, health });
            }
            _ => {}
        }
    }

    /// Counts a stale read, and keeps it if it is one of the first.
    fn add_stale_read(&mut self, read: impl FnOnce() -> StaleRead) {
        self.stale_read_count += 1;
        if self.stale_reads.len() < Evidence::MAX_STALE_READS {
            self.stale_reads.push(read());
        }
    }
}
