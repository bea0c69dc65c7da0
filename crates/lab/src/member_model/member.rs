//! One stand-in member and the faults that act on it.

use super::Micros;
use std::collections::VecDeque;

/// The number of requests that a member works on at a time.
pub const CORES: usize = 4;

/// A stand-in member.
#[derive(Debug)]
pub struct Member {
    /// The name, such as `g0m1`.
    pub name: String,
    /// The group that it belongs to.
    pub group: usize,
    /// Its zone.
    pub zone: &'static str,
    /// Whether it is its group's primary.
    pub is_primary: bool,
    /// Whether it is partitioned or down, and answers nothing.
    pub is_unresponsive: bool,
    /// Whether it is draining, and rejects new requests.
    pub is_draining: bool,
    /// The behavior that the agent on its machine gives it.
    pub behavior: MemberBehavior,
    /// The time up to which it has applied all commits, in µs.
    pub(super) applied_position: f64,
    /// The speed at which it applies the log; 1 is the usual one.
    pub(super) apply_rate: f64,
    /// The factor by which its requests take longer.
    pub(super) slowdown: f64,
    /// The long-running reads in flight; they block the thread that applies the log.
    pub(super) long_reads_in_flight: usize,
    /// The time at which each core has finished the work that is queued for it.
    pub core_free_at: [Micros; CORES],
    /// The requests in flight.
    pub(super) in_flight: usize,
    /// The number of writes that it has run.
    pub writes: u64,
    /// The time of its last start; 0 if it has been up since before the run.
    pub started_at: Micros,
    /// The arrivals within the last [`COLLAPSE_WINDOW`](super::COLLAPSE_WINDOW), with their work in requests
    /// of mean work.
    pub(super) recent_arrivals: VecDeque<(Micros, f64)>,
    /// Whether it collapsed under more requests than it could serve while warming up.
    pub has_collapsed: bool,
    /// The most work that arrived in a window while it warmed up, as a fraction of what makes it collapse.
    pub peak_overload: f64,
}

impl Member {
    /// Creates a healthy member that has applied all commits up to `start`. The first member of a group is
    /// its primary.
    pub(super) fn new(group: usize, index: usize, start: Micros) -> Member {
        const ZONES: [&str; 3] = ["a", "b", "c"];
        Member {
            name: format!("g{group}m{index}"),
            group,
            zone: ZONES[(group + index) % ZONES.len()],
            is_primary: index == 0,
            is_unresponsive: false,
            is_draining: false,
            behavior: MemberBehavior::default(),
            applied_position: start as f64,
            apply_rate: 1.0,
            slowdown: 1.0,
            long_reads_in_flight: 0,
            core_free_at: [0; CORES],
            in_flight: 0,
            writes: 0,
            started_at: 0,
            recent_arrivals: VecDeque::new(),
            has_collapsed: false,
            peak_overload: 0.0,
        }
    }

    /// Returns the role as service discovery and the member itself name it.
    pub fn role(&self) -> &'static str {
        if self.is_primary {
            "primary"
        } else {
            "replica"
        }
    }
}

/// The behavior of a member apart from the scripted faults. The agent on its machine sets this for a restart,
/// a drain or the version that the member runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberBehavior {
    /// Whether it is draining, and rejects new requests.
    pub is_draining: bool,
    /// Whether its process is down.
    pub is_down: bool,
    /// The fraction of its requests that it rejects.
    pub rejection_rate: f64,
    /// The factor by which its requests take longer.
    pub slowdown: f64,
}

impl Default for MemberBehavior {
    fn default() -> MemberBehavior {
        MemberBehavior { is_draining: false, is_down: false, rejection_rate: 0.0, slowdown: 1.0 }
    }
}
