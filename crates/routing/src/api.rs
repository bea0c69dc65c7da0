//! The interface of the decision module: settings, events, actions and ids.
//!
//! Times are microseconds on the caller's clock; a log position is such a time too: every commit
//! up to it has been applied.

mod actions;
mod events;
mod settings;

pub use actions::{Action, MemberView, ProbePurpose, RejectReason, SlowStartSends, SlowStartView};
pub use events::{
    AttemptOutcome, AttemptResult, Endpoint, EndpointStatus, Event, LearnedTraits, PeerObservation,
    ProbeResult, Request, Role,
};
pub use settings::{Class, Consistency, Idempotency, Settings, StaleReadPolicy};

/// A time or a span of time, in microseconds.
pub type Micros = i64;

/// Identifies a request; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// Identifies a member of a group, on all routers alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// Identifies a group: one primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// Identifies a session, whose reads must see its own writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);

/// The index of a request class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// The number of an attempt of one request, from 0 in the order of the sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);
