//! What the tracker reports to its caller.

use wharfplank_protocol::endpoint_list::EndpointList;
use wharfplank_routing::Micros;

/// Why an answer is suspect and has to be confirmed by another one before it is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectReason {
    /// Its version is older than one already received from this address.
    OlderVersion,
    /// It is a complete list that lacks half of the active endpoints or more.
    MissingEndpoints,
}

impl SuspectReason {
    /// The reason's code in the log and in records.
    pub fn as_str(self) -> &'static str {
        match self {
            SuspectReason::OlderVersion => "back",
            SuspectReason::MissingEndpoints => "short",
        }
    }
}

/// How stale the endpoint list is, by the time since discovery last answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Staleness {
    /// Discovery has not answered since the start or since its address changed.
    Unconfirmed,
    /// Discovery answered in time.
    Fresh,
    /// A poll is overdue, but no change can have taken effect unseen.
    Overdue,
    /// Changes may have taken effect unseen. Listed endpoints are still used: they reject work themselves while they
    /// drain, and a proxy that stopped using all of them would serve nobody.
    Stale,
}

impl Staleness {
    /// The code in the log and in records.
    pub fn as_str(self) -> &'static str {
        match self {
            Staleness::Unconfirmed => "unheard",
            Staleness::Fresh => "fresh",
            Staleness::Overdue => "late",
            Staleness::Stale => "old",
        }
    }
}

/// Until when an endpoint that a suspect answer takes out of use may still be sent requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendDeadline {
    /// The endpoint's name.
    pub endpoint: String,
    /// The deadline, on the caller's clock.
    pub until: Micros,
}

/// What an answer or the passing of time changed. The default value says that nothing did.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WatchEvent {
    /// The accepted change: the complete list, or the entries that changed.
    pub update: Option<EndpointList>,
    /// The deadlines of the endpoints that suspect answers take out of use.
    pub deadlines: Vec<SendDeadline>,
    /// Why the newest answer was not accepted.
    pub suspect: Option<SuspectReason>,
}

impl WatchEvent {
    /// Whether there is nothing to act on.
    pub fn is_empty(&self) -> bool {
        *self == WatchEvent::default()
    }
}
