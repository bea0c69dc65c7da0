//! The stand-in members as a model without I/O: its inputs are time and requests, its outputs are answers and
//! their times.
//!
//! A position is the time up to which a member has applied all commits. A primary's position is the present.
//! A replica receives the log a few milliseconds late and applies it with one thread, which a long-running
//! read blocks.
//!
//! - [`Member`]: the state of one member, and [`MemberBehavior`], which the agent on its machine sets.
//! - [`RequestClass`]: the classes of the load.
//! - `admission`: how a member admits or rejects a request.
//! - `advance`: what the passing of time does: faults, restarts, failovers and log replication.

mod admission;
mod advance;
mod member;
mod request_class;

pub use admission::{Admission, IncomingRequest};
pub use advance::ListChange;
pub use member::{Member, MemberBehavior, CORES};
pub use request_class::{ClassMix, RequestClass, CLASSES, USUAL_REPORTS_PER_MILLE};

use crate::timeline::Timeline;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::HashSet;

/// Microseconds of Unix time, or a span in microseconds.
pub type Micros = i64;

/// The fraction of its capacity that a member has when it starts. It grows to the whole over
/// [`WARM_UP_TIME`].
pub const WARM_UP_FLOOR: f64 = 0.24;
/// The time that a member takes to warm up.
pub const WARM_UP_TIME: Micros = 15_000_000;
/// A member that receives more than this multiple of what it can serve over [`COLLAPSE_WINDOW`] collapses.
pub const COLLAPSE_MULTIPLE: f64 = 3.0;
/// The time over which arrivals count for [`COLLAPSE_MULTIPLE`].
pub const COLLAPSE_WINDOW: Micros = 1_500_000;

/// All members of a run.
#[derive(Debug)]
pub struct MemberModel {
    /// The members, group by group.
    pub members: Vec<Member>,
    /// The number of reads served from data older than their class allows, which breaks a rule.
    pub stale_reads: u64,
    /// The number of writes that ran a second time, which breaks a rule.
    pub duplicate_writes: u64,
    /// The ids of the writes that ran. The number of requests in a run bounds them.
    applied_write_ids: HashSet<String>,
    script_start: Micros,
    now: Micros,
    timeline: Timeline,
    mix: ClassMix,
    rng: SmallRng,
}

impl MemberModel {
    /// Creates the members of a timeline that begins at `start`.
    pub fn new(timeline: &Timeline, start: Micros) -> MemberModel {
        let mut members = Vec::new();
        for group in 0..timeline.groups {
            for index in 0..timeline.members {
                members.push(Member::new(group, index, start));
            }
        }
        MemberModel {
            members,
            stale_reads: 0,
            duplicate_writes: 0,
            applied_write_ids: HashSet::new(),
            script_start: start,
            now: start,
            timeline: timeline.clone(),
            mix: ClassMix::with_reports(timeline.reports),
            rng: SmallRng::seed_from_u64(timeline.seed),
        }
    }

    /// Sets the time from which the seconds of the script count.
    pub fn start_script(&mut self, start: Micros) {
        self.script_start = start;
    }

    /// Returns a member's position in Unix milliseconds, rounded down.
    pub fn position_ms(&self, member: usize) -> i64 {
        self.members[member].applied_position as i64 / 1000
    }

    /// Returns a member's load report, as it answers `SHOW load`.
    pub fn load_report(&self, member: usize) -> String {
        let member = &self.members[member];
        let position = member.applied_position as i64;
        let seconds = position / 1_000_000;
        let micros = position % 1_000_000;
        let utilization = (member.in_flight as f64 / CORES as f64).min(1.0);
        format!(
            "x0={seconds}.{micros:06},x1={},inflight={},util={utilization:.2}",
            u8::from(member.is_primary),
            member.in_flight
        )
    }
}
