//! The settings of a router, fixed for its lifetime.

use super::Micros;

/// The required freshness of the data that serves a request, and the members that may serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Any member may answer.
    Any,
    /// The data may be this old when the request is sent.
    BoundedStaleness(Micros),
    /// The session's own writes must be visible.
    Session,
    /// All writes made before the request arrived must be visible.
    Strong,
    /// The request is a write: only the primary takes it.
    Write,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// The request carries an idempotency key. A repeat within `window` of the first send that may have run
    /// is recognised and not run again.
    Keyed {
        /// The time for which a repeat is recognised.
        window: Micros,
        /// Whether members of every group recognise it, or only those of the request's own group.
        all_groups: bool,
    },
    /// The request must not run twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The required freshness of the data.
    pub consistency: Consistency,
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
    /// Answers within this time of the arrival have their full value.
    pub latency_objective: Micros,
    /// The value of one answer within the latency objective, relative to the other classes.
    pub priority_weight: f64,
    /// The fraction of [`priority_weight`](Class::priority_weight) that a later answer is worth.
    pub late_weight: f64,
}

/// The treatment of a read by a member whose log position is older than the read requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// The member serves stale data, so only the router prevents stale reads.
    #[default]
    Serve,
    /// The member rejects the read without running it, at once or after a short wait.
    Reject,
}

/// The settings of a router.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Seed of the router's random choices.
    pub seed: u64,
    /// The number of routers in the fleet.
    pub routers: u32,
    /// The classes of requests; [`ClassId`](super::ClassId) is an index here.
    pub classes: Vec<Class>,
    /// The maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether members may be probed.
    pub may_probe: bool,
    /// Whether the endpoint list is sent only to subscribers.
    pub must_subscribe: bool,
    /// The maximum Retry-After span that clients respect; 0 if rejections carry none.
    pub max_retry_after: Micros,
    /// The minimum fraction of its capacity that a member has when it starts.
    pub slow_start_from: f64,
    /// The maximum time that a member needs to reach its full capacity.
    pub slow_start_span: Micros,
    /// The multiple of its current capacity that overloads a member that is warming up.
    pub overload_multiple: f64,
    /// The time for which a member must be sent that multiple to fail.
    pub overload_span: Micros,
    /// How members handle reads that they are too far behind for.
    pub stale_reads: StaleReadPolicy,
    /// Whether a member that the endpoint list drops or reports as removed may still be used. A draining one
    /// may not, in either case.
    pub removal_is_advisory: bool,
    /// Whether sessions carry the age of their last write; otherwise the router tracks it.
    pub sessions_carry_tokens: bool,
}
