//! A poll of discovery and its time limits.

use wharfplank_routing::Micros;

/// The kind of a poll, by what it requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// The complete endpoint list, answered at once.
    FullList,
    /// A long poll for changes after a version, answered when there are changes or the wait is over.
    Watch {
        /// The last version that the caller has received.
        version: u64,
    },
}

/// A poll to make. Times are on the caller's clock; all durations are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The kind of the poll.
    pub kind: PollKind,
    /// The long-poll wait to request; 0 for the full list.
    pub wait: Micros,
    /// The start time.
    pub start_at: Micros,
    /// The limit for opening a new connection.
    pub connect_timeout: Micros,
    /// The limit from the start to the first byte of the response. Once the response has begun, the gap
    /// between two bytes may not exceed this limit minus [`PollRequest::wait`].
    pub response_timeout: Micros,
    /// The second poll, made on a separate connection if the first one gets no response.
    pub hedge: HedgedPoll,
    /// The limit from the start for both polls while bytes of a response keep arriving.
    pub total_timeout: Micros,
}

/// The hedged poll for a [`PollRequest`] that gets no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgedPoll {
    /// The time without a response to the first poll after which this one starts.
    pub after: Micros,
    /// The kind of the hedged poll.
    pub kind: PollKind,
    /// The long-poll wait to request.
    pub wait: Micros,
    /// The limit from the start of the hedged poll to the first byte of its response, including the connect.
    pub timeout: Micros,
}
