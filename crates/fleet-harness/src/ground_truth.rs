//! The actual state of the members during a run, sampled from the stand-in members. It determines which
//! requests a router could have served.
//!
//! A request could have been served if, at some time before its client's timeout, a member of its group could
//! have answered it: reachable from the proxy's zone, running, the primary for a write, recent enough for a
//! read. This ignores capacity and assumes that an answer takes no time, so it is an upper bound that no
//! router reaches where members are busy.

use crate::relay::Links;
use wharfplank_lab::load::RequestRecord;
use wharfplank_lab::member_model::{MemberModel, Micros, CLASSES};

/// The interval at which the members are sampled.
pub const SAMPLE_INTERVAL: Micros = 20_000;
/// The maximum number of samples kept, which cover an hour.
const MAX_SAMPLES: usize = 180_000;
/// The maximum age of the data that a bounded read may return.
const MAX_READ_AGE: Micros = 200_000;
const MICROS_PER_MS: Micros = 1000;

/// The group and zone of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSite {
    /// Its group.
    pub group: usize,
    /// Its zone.
    pub zone: &'static str,
}

/// The state of a member at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// Whether it accepts requests.
    pub is_serving: bool,
    /// Whether it is its group's primary.
    pub is_primary: bool,
    /// The log position up to which it has replicated.
    pub position: Micros,
}

/// The state of all members at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The time of the sample.
    pub at: Micros,
    /// The zone that is cut off from the others, if any.
    pub cut_zone: Option<String>,
    /// The members, in the order of their sites.
    pub members: Vec<MemberState>,
}

impl Sample {
    /// Returns whether a proxy in one zone can reach a member in another.
    fn is_reachable(&self, proxy_zone: &str, member_zone: &str) -> bool {
        match self.cut_zone.as_deref() {
            Some(cut) => (member_zone == cut) == (proxy_zone == cut),
            None => true,
        }
    }
}

/// The actual state of the members during a run.
#[derive(Debug, Default)]
pub struct GroundTruth {
    sites: Vec<MemberSite>,
    samples: Vec<Sample>,
}

impl GroundTruth {
    /// Creates the ground truth of members at these sites from samples in chronological order.
    pub fn new(sites: Vec<MemberSite>, samples: Vec<Sample>) -> GroundTruth {
        GroundTruth { sites, samples }
    }

    /// Samples the members if [`SAMPLE_INTERVAL`] has passed since the last sample.
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
        let cut_zone = links.cut_off_zone.borrow().clone();
        self.samples.push(Sample { at: now, cut_zone, members: states.collect() });
    }

    /// Returns the first time before the client's timeout at which some member could have answered the
    /// request from a proxy in `zone`.
    pub fn earliest_answer(&self, request: &RequestRecord, zone: &str) -> Option<Micros> {
        let deadline = request.due_at + CLASSES[request.class].timeout;
        let start = self.samples.partition_point(|sample| sample.at + SAMPLE_INTERVAL < request.due_at);
        let mut before_deadline = self.samples[start..].iter().take_while(|sample| sample.at <= deadline);
        let answering = before_deadline.find(|sample| self.can_answer(sample, request, zone));
        answering.map(|sample| sample.at.max(request.due_at))
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

/// Returns whether a member's data is recent enough for a request.
fn meets_consistency(member: &MemberState, now: Micros, request: &RequestRecord) -> bool {
    match (CLASSES[request.class].name, request.min_position_ms) {
        ("write", _) => member.is_primary,
        ("bounded-read", _) => member.is_primary || member.position >= now - MAX_READ_AGE,
        (_, Some(required_ms)) => member.is_primary || member.position >= required_ms * MICROS_PER_MS,
        _ => true,
    }
}
