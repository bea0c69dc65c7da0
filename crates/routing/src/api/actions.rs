//! What a router asks its caller to do, why it gives requests up, and how it presents its members.

use super::{AttemptNo, GroupId, HostId, LearnedTraits, Micros, RequestId};

/// Why a request is given up, whether by [`Action::Reject`] or by [`Action::Fail`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// No replica was fresh enough for the read, and the primary did not take it.
    TooStale {
        /// The log position that the read needed.
        needed: Micros,
        /// The newest log position known of any replica.
        known: Micros,
    },
    /// The group has no usable primary.
    NoPrimary,
    /// The group has no members.
    NoMember,
    /// Load was shed because answers come late.
    LoadShed,
    /// The request waited in the queue for too large a part of its client's patience without having reached a
    /// member.
    QueuedTooLong,
    /// The deadline has passed, or is too close for an answer in time.
    DeadlineExceeded,
    /// All permitted attempts have been made.
    AttemptsExhausted,
    /// An attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// The router's process is shutting down.
    ShuttingDown,
    /// The settings have no such request class.
    UnknownClass,
    /// A quota of the whole fleet is exhausted, for requests or for retries.
    OverQuota,
}

/// A member as the router sees it, for records and for health decisions of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The member.
    pub host: HostId,
    /// The member's group.
    pub group: GroupId,
    /// Whether the router takes it for the group's primary.
    pub primary: bool,
    /// Whether the endpoint list lets it take work.
    pub active: bool,
    /// The newest log position known; 0 if none is.
    pub position: Micros,
    /// When a log position was last received from it; 0 if never.
    pub position_seen_at: Micros,
    /// Since when the router suspects it to be down.
    pub suspected_since: Option<Micros>,
    /// This router's own requests in flight there.
    pub in_flight: usize,
    /// What a successor of this router should start from.
    pub traits: LearnedTraits,
}

/// A member in slow start as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartView {
    /// The member.
    pub host: HostId,
    /// The time since the start of its process.
    pub age: Micros,
    /// The least part of its capacity that it may have by now, below 1.
    pub capacity: f64,
    /// The requests of mean work that this router may send it, per second.
    pub sends_per_second: f64,
    /// What this router has sent it since it was notified of the start.
    pub sent: SlowStartSends,
}

/// What a router has sent a member during slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartSends {
    /// Attempts.
    pub attempts: u64,
    /// Their work, in requests of mean work.
    pub work: f64,
}

/// What a position probe is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePurpose {
    /// A read needs to know the member's log position.
    ReadPosition,
    /// Find out whether a suspect's log position still advances.
    SuspectRecovery,
    /// Find out which member of a group is the primary.
    PrimarySearch,
}

/// Something that the router's caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The member to send it to.
        host: HostId,
        /// How long to wait for the answer.
        timeout: Micros,
        /// The last byte must be sent by this time. Later the member may be too far behind for the read, or
        /// may no longer recognise the attempt as a repeat of one that has run.
        holds_until: Option<Micros>,
    },
    /// Answer the client finally: nothing has run, or a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// The Retry-After span to advise; 0 for no advice.
        retry_after: Micros,
        /// Why the request is given up.
        reason: RejectReason,
    },
    /// Answer the client finally: the request may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// Why the request is given up.
        reason: RejectReason,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Ask a member for its load report.
    Probe {
        /// The member.
        host: HostId,
        /// What the answer is needed for.
        purpose: ProbePurpose,
    },
    /// Call back with [`Event::Timer`](super::Event::Timer) after this span, and not before. Timers that were set
    /// earlier stay set.
    SetTimer(Micros),
    /// Subscribe to the endpoint list.
    Subscribe,
}
