//! The settings of a router, fixed for its lifetime.

use super::Micros;

/// How fresh the data that serves a request must be, and which members may serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Any member may answer.
    Any,
    /// The data may be this old at the time of the send.
    BoundedStaleness(Micros),
    /// The session's own writes must be visible.
    Session,
    /// Every write made before the request arrived must be visible.
    Strong,
    /// The request is a write: only the primary takes it.
    Write,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// The request carries an idempotency key: a repeat within `window` of the first send that may have run
    /// is recognised and not run again.
    Keyed {
        /// How long a repeat is recognised.
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
    /// How fresh the data must be.
    pub consistency: Consistency,
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
    /// Answers within this span of the arrival count in full.
    pub latency_objective: Micros,
    /// The value of one answer within the latency objective, relative to the other classes.
    pub priority_weight: f64,
    /// The part of [`priority_weight`](Class::priority_weight) that a later answer is worth.
    pub late_weight: f64,
}

/// What a member does with a read that needs a newer log position than it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// The member serves stale data: only the router keeps reads from being stale.
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
    /// The longest Retry-After span that clients obey; 0 if rejections carry none.
    pub max_retry_after: Micros,
    /// The least part of its capacity that a member has when it starts.
    pub slow_start_from: f64,
    /// The longest time that a member needs to reach its full capacity.
    pub slow_start_span: Micros,
    /// The multiple of its present capacity that overloads a member which is warming up.
    pub overload_multiple: f64,
    /// For how long a member must be sent that multiple to fail.
    pub overload_span: Micros,
    /// What members do with reads that they are too far behind for.
    pub stale_reads: StaleReadPolicy,
    /// Whether a member that the endpoint list drops or reports as removed may still be used; only draining
    /// binds.
    pub removal_is_advisory: bool,
    /// Whether sessions carry the age of their last write; otherwise the router remembers it.
    pub sessions_carry_tokens: bool,
}
