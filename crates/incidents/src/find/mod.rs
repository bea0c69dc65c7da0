//! Decides, without I/O, what happened.
//!
//! Each detector computes, for one kind of incident and each subject, a series of bins in which the condition
//! holds, does not hold or is unknown. A run of bins in which it holds is an incident of that kind and
//! subject (see [`runs`]). Incidents of different kinds or subjects never merge. Rejections and late answers
//! are then attributed to each incident by time, group and reason (see [`attribution`]).

mod attribution;
mod drain;
mod incident;
mod no_primary;
mod partition;
mod restart_wave;
mod runs;
mod slow_apply;
mod slow_member;
mod surge;

pub use incident::{Confidence, Incident, Kind};

use crate::evidence::Evidence;
use crate::explanation;
use wharfplank_records::Micros;

/// One second, in µs.
const SECOND: Micros = 1_000_000;

/// Finds all incidents in the evidence, ordered by their start, kind and subject.
pub fn find(evidence: &Evidence) -> Vec<Incident> {
    let primaries = no_primary::observed_primaries(evidence);
    let partitions = partition::partitioned_zones(evidence);
    let mut incidents = no_primary::detect(evidence, &primaries);
    incidents.extend(slow_apply::detect(evidence, &primaries, &partitions));
    incidents.extend(slow_member::detect(evidence));
    incidents.extend(partition::detect(evidence, &partitions));
    incidents.extend(restart_wave::detect(evidence));
    incidents.extend(drain::detect(evidence));
    incidents.extend(surge::detect(evidence));
    for incident in &mut incidents {
        explanation::explain(evidence, incident);
    }
    incidents.sort_by(|a, b| (a.from, a.kind, &a.subject).cmp(&(b.from, b.kind, &b.subject)));
    incidents
}
