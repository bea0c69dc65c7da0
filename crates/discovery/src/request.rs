//! A poll of discovery and its time limits.

use wharfplank_routing::Micros;

/// What a poll requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// The complete endpoint list, answered at once.
    FullList,
    /// A long poll for changes after a version, answered as soon as there are any or the wait is over.
    Watch {
        /// The last version that the caller has seen.
        version: u64,
    },
}

/// The next poll. Points in time are on the caller's clock; all spans are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// What to request.
    pub kind: PollKind,
    /// The long-poll wait to request; 0 for the full list.
    pub wait: Micros,
    /// When to start.
    pub start_at: Micros,
    /// The limit for opening a new connection.
    pub connect_timeout: Micros,
    /// The limit from the start to the first byte of the response. Once the response has begun, the gap between two of
    /// its bytes may not exceed this less [`PollRequest::wait`].
    pub response_timeout: Micros,
    /// The second poll, made on a connection of its own if the first one stays silent.
    pub hedge: HedgedPoll,
    /// The limit from the start for both polls together while bytes of a response keep arriving.
    pub total_timeout: Micros,
}

/// The hedged poll beside a [`PollRequest`] that stays silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgedPoll {
    /// How long the first poll may stay silent before this one starts.
    pub after: Micros,
    /// What to request.
    pub kind: PollKind,
    /// The long-poll wait to request.
    pub wait: Micros,
    /// The limit from its own start to the first byte of the response, including the connect.
    pub timeout: Micros,
}
