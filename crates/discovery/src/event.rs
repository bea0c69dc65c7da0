//! The events that the tracker reports to its caller.

use wharfplank_protocol::endpoint_list::EndpointList;
use wharfplank_routing::Micros;

/// The reason why an answer is suspect and is not accepted until another answer confirms it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectReason {
    /// Its version is older than one already received from this address.
    OlderVersion,
    /// It is a complete list that lacks at least half of the active endpoints.
    MissingEndpoints,
}

impl SuspectReason {
    /// Returns the code used in the log and in records.
    pub fn as_str(self) -> &'static str {
        match self {
            SuspectReason::OlderVersion => "back",
            SuspectReason::MissingEndpoints => "short",
        }
    }
}

/// The staleness of the endpoint list, by the time since discovery last answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Staleness {
    /// Discovery has not answered since the start or a change of its address, and the list is not stale yet.
    Unconfirmed,
    /// Discovery answered in time.
    Fresh,
    /// An answer is overdue, but no change can have taken effect without being received.
    Overdue,
    /// Changes may have taken effect without being received. Listed endpoints remain in use: draining
    /// endpoints reject work themselves, and a proxy that used no endpoint could serve no request.
    Stale,
}

impl Staleness {
    /// Returns the code used in the log and in records.
    pub fn as_str(self) -> &'static str {
        match self {
            Staleness::Unconfirmed => "unheard",
            Staleness::Fresh => "fresh",
            Staleness::Overdue => "late",
            Staleness::Stale => "old",
        }
    }
}

/// The deadline for sending requests to an endpoint that a suspect answer removes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendDeadline {
    /// The endpoint's name.
    pub endpoint: String,
    /// The deadline, on the caller's clock.
    pub until: Micros,
}

/// The changes caused by an answer or an expired deadline. The default value states that nothing changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WatchEvent {
    /// The accepted change: the complete list, or the entries that changed.
    pub update: Option<EndpointList>,
    /// The deadlines of the endpoints that suspect answers remove.
    pub deadlines: Vec<SendDeadline>,
    /// The reason why the answer was not accepted.
    pub suspect: Option<SuspectReason>,
}

impl WatchEvent {
    /// Returns whether there is nothing to act on.
    pub fn is_empty(&self) -> bool {
        *self == WatchEvent::default()
    }
}
