//! The interface of the router: settings, events, actions and ids.
//!
//! Times are in microseconds on the caller's clock. A log position is such a time as well: the member has
//! applied all commits up to it.

mod actions;
mod events;
mod settings;

pub use actions::{Action, MemberView, ProbePurpose, RejectReason, SlowStartSends, SlowStartView};
pub use events::{
    AttemptOutcome, AttemptResult, Endpoint, EndpointStatus, Event, LearnedTraits, ObservationSource,
    PeerObservation, ProbeResult, Request, Role, StreamedState,
};
pub use settings::{Class, Consistency, Idempotency, Settings, StaleReadPolicy};

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// The id of a request; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// The id of a member of a group, the same on all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// The id of a group: one primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// The id of a session, whose reads must see its own writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);

/// The index of a request class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// The number of an attempt of one request, counted from 0 in send order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);
