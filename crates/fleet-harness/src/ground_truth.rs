//! The members as they truly were through a run, sampled at the stand-ins: from it follows which requests any router
//! could have served.
//!
//! A request could have been served if, at any time that its client would still wait, some member of its group could
//! have answered it: reachable from its proxy's zone, running, the primary for a write, recent enough for a read. This
//! ignores capacity and takes an answer to need no time, so it is an upper bound that no router reaches where members
//! are busy.

use crate::relay::Links;
use wharfplank_lab::load::RequestRecord;
use wharfplank_lab::member_model::{MemberModel, Micros, CLASSES};

/// How often the members are sampled.
pub const SAMPLE_INTERVAL: Micros = 20_000;
/// The most samples that are kept: an hour's.
const MAX_SAMPLES: usize = 180_000;
/// How old the data of a bounded read may be.
const MAX_READ_AGE: Micros = 200_000;
const MICROS_PER_MS: Micros = 1000;

/// Where a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSite {
    /// Its group.
    pub group: usize,
    /// Its zone.
    pub zone: &'static str,
}

/// A member at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// Whether it accepts requests.
    pub is_serving: bool,
    /// Whether it is its group's primary.
    pub is_primary: bool,
    /// The position that it has replicated up to.
    pub position: Micros,
}

/// All members at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When.
    pub at: Micros,
    /// The zone that is cut off from the others, if any.
    pub cut_zone: Option<String>,
    /// The members, in the order of their sites.
    pub members: Vec<MemberState>,
}

impl Sample {
    /// Whether a proxy of one zone reaches a member of another.
    fn is_reachable(&self, proxy_zone: &str, member_zone: &str) -> bool {
        match self.cut_zone.as_deref() {
            Some(cut) => (member_zone == cut) == (proxy_zone == cut),
            None => true,
        }
    }
}

/// The members as they truly were through a run.
#[derive(Debug, Default)]
pub struct GroundTruth {
    sites: Vec<MemberSite>,
    samples: Vec<Sample>,
}

impl GroundTruth {
    /// The members of these sites, with samples in order of time.
    pub fn new(sites: Vec<MemberSite>, samples: Vec<Sample>) -> GroundTruth {
        GroundTruth { sites, samples }
    }

    /// Samples the members, if the last sample is long enough ago.
    pub fn sample(&mut self, now: Micros, model: &MemberModel, links: &Links) {
        let is_due = self.samples.last().is_none_or(|last| now - last.at >= SAMPLE_INTERVAL);
        if !is_due || self.samples.len() >= MAX_SAMPLES {
            return;
        }
        let members = model.members.iter();
        self.sites =
            members.clone().map(|member| MemberSite { group: member.group, zone: member.zone }).collect();
        let states = members.enumerate().map(|(index, member)| MemberState {
            is_serving: !member.is_unresponsive && !member.is_draining && !member.has_collapsed,
            is_primary: member.is_primary,
            position: model.position_ms(index) * MICROS_PER_MS,
        });
        let cut_zone = links.cut.borrow().clone();
        self.samples.push(Sample { at: now, cut_zone, members: states.collect() });
    }

    /// The first time at which some member could have answered a request of a proxy in `zone` while its client waited.
    pub fn earliest_answer(&self, request: &RequestRecord, zone: &str) -> Option<Micros> {
        let deadline = request.due_at + CLASSES[request.class].timeout;
        let first = self.samples.partition_point(|sample| sample.at + SAMPLE_INTERVAL < request.due_at);
        let mut while_waiting = self.samples[first..].iter().take_while(|sample| sample.at <= deadline);
        let answered = while_waiting.find(|sample| self.can_answer(sample, request, zone));
        answered.map(|sample| sample.at.max(request.due_at))
    }

    fn can_answer(&self, sample: &Sample, request: &RequestRecord, zone: &str) -> bool {
        let mut members = self.sites.iter().zip(&sample.members);
        members.any(|(site, member)| {
            site.group == request.group
                && member.is_serving
                && sample.is_reachable(zone, site.zone)
                && meets_consistency(member, sample.at, request)
        })
    }
}

/// Whether a member's data is recent enough for a request.
fn meets_consistency(member: &MemberState, now: Micros, request: &RequestRecord) -> bool {
    match (CLASSES[request.class].name, request.min_position_ms) {
        ("write", _) => member.is_primary,
        ("bounded-read", _) => member.is_primary || member.position >= now - MAX_READ_AGE,
        (_, Some(after_ms)) => member.is_primary || member.position >= after_ms * MICROS_PER_MS,
        _ => true,
    }
}
