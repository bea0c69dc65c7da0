//! A router's actions, its reasons for giving up requests, and its views of members.

use super::{AttemptNo, GroupId, HostId, LearnedTraits, Micros, RequestId};

/// The reason for giving up a request, whether by [`Action::Reject`] or by [`Action::Fail`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// No replica was fresh enough for the read, and the primary could not take it.
    TooStale {
        /// The log position that the read required.
        needed: Micros,
        /// The newest known log position of any replica.
        known: Micros,
    },
    /// The group has no usable primary.
    NoPrimary,
    /// The group has no members.
    NoMember,
    /// The request was shed because answers are late.
    LoadShed,
    /// The request was queued for too large a fraction of the time to its deadline without reaching a member.
    QueuedTooLong,
    /// The deadline has passed, or is too close for an answer in time.
    DeadlineExceeded,
    /// The maximum number of attempts has been made.
    AttemptsExhausted,
    /// An attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// The other proxies did not confirm in time that they have not sent the write.
    ClaimUnavailable,
    /// The router's process is shutting down.
    ShuttingDown,
    /// The settings have no such request class.
    UnknownClass,
    /// A fleet-wide quota is exhausted, for requests or for retries.
    OverQuota,
}

/// A member as the router sees it, for records and for the fleet's health decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The member.
    pub host: HostId,
    /// The member's group.
    pub group: GroupId,
    /// Whether the router considers it the group's primary.
    pub primary: bool,
    /// Whether the endpoint list reports it as up.
    pub active: bool,
    /// The newest known log position; 0 if none is known.
    pub position: Micros,
    /// When a log position was last received from it; 0 if never.
    pub position_seen_at: Micros,
    /// The time since which the router suspects it to be down; `None` if it does not.
    pub suspected_since: Option<Micros>,
    /// The number of this router's requests in flight at the member.
    pub in_flight: usize,
    /// The traits that a successor of this router starts from.
    pub traits: LearnedTraits,
}

/// A member in slow start as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartView {
    /// The member.
    pub host: HostId,
    /// The time since the start of its process.
    pub age: Micros,
    /// The minimum fraction of its capacity that it has by now, below 1.
    pub capacity: f64,
    /// The rate at which this router may send it requests of mean work, per second.
    pub sends_per_second: f64,
    /// The attempts that this router has sent it since the router was notified of the start.
    pub sent: SlowStartSends,
}

/// The attempts that a router has sent a member during slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartSends {
    /// The number of attempts.
    pub attempts: u64,
    /// The work of the attempts, in requests of mean work.
    pub work: f64,
}

/// The purpose of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePurpose {
    /// A read requires the member's log position.
    ReadPosition,
    /// Find out whether a suspect's log position is advancing.
    SuspectRecovery,
    /// Find out which member of a group is the primary.
    PrimarySearch,
}

/// An action that the router's caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The member to send it to.
        host: HostId,
        /// The maximum time to wait for the answer.
        timeout: Micros,
        /// The last byte must be sent by this time. After it the member may be too far behind for the read,
        /// or may no longer recognise the attempt as a repeat of one that has run.
        send_deadline: Option<Micros>,
    },
    /// Send the client the final answer that the request was rejected: it has not run, or a retry is
    /// harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// The Retry-After span to send; 0 for none.
        retry_after: Micros,
        /// The reason for giving the request up.
        reason: RejectReason,
    },
    /// Send the client the final answer that the request failed: it may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// The reason for giving the request up.
        reason: RejectReason,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Request a load report from a member.
    Probe {
        /// The member.
        host: HostId,
        /// The purpose of the probe.
        purpose: ProbePurpose,
    },
    /// Deliver [`Event::Timer`](super::Event::Timer) after this span, and not before. Timers that were set
    /// earlier remain set.
    SetTimer(Micros),
    /// Subscribe to the endpoint list.
    Subscribe,
}
