//! What may happen to a router, for tests that draw it.

use wharfplank::routing::{AttemptOutcome, Micros};

/// How an attempt may end before its time is over.
pub const ENDINGS: [AttemptOutcome; 7] = [
    AttemptOutcome::Ok,
    AttemptOutcome::Error,
    AttemptOutcome::Overloaded,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Misrouted,
    AttemptOutcome::NotSent,
];

/// Something that happens.
#[derive(Clone, Debug)]
pub enum Step {
    /// A request, which is waited for by a part of the class's deadline.
    Ask { class: usize, group: u64, part: f64, key: u64, age: Option<Micros> },
    /// The end of one of the attempts that are out.
    End(proptest::sample::Index, usize, u8),
    /// Time passes.
    Pass(Micros),
    /// A member is listed as up, draining or removed, perhaps as the primary.
    List(u32, u8, bool),
    /// A load report of a member, this far behind.
    LoadReport(u32, u8, Micros),
    /// A client leaves.
    Leave(proptest::sample::Index),
}
