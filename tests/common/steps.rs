//! Random steps for property tests of the router.

use wharfplank::routing::{AttemptOutcome, Micros};

/// The outcomes of attempts that end before their time-out.
pub const OUTCOMES: [AttemptOutcome; 7] = [
    AttemptOutcome::Ok,
    AttemptOutcome::Error,
    AttemptOutcome::Overloaded,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Misrouted,
    AttemptOutcome::NotSent,
];

/// A step of a test run.
#[derive(Clone, Debug)]
pub enum Step {
    /// A request whose deadline is a fraction of its class's longest one.
    Submit { class: usize, group: u64, deadline_fraction: f64, session: u64, write_age: Option<Micros> },
    /// The end of an attempt in flight: its index, its outcome and the reported role.
    FinishAttempt(proptest::sample::Index, usize, u8),
    /// Time passes.
    Advance(Micros),
    /// Discovery lists a member as up, draining or removed, and possibly as the primary.
    ChangeEndpoint(u32, u8, bool),
    /// A load report of a member: its role and its replication lag.
    LoadReport(u32, u8, Micros),
    /// A client disconnects.
    Disconnect(proptest::sample::Index),
}
