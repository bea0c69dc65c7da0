//! What a router does, and why; and what it shows of itself.

use super::{AttemptNo, GroupId, HostId, Micros, RequestId, Traits};

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A read that no replica was new enough for, and that the primary did not take.
    TooStale {
        /// The position that it needed.
        needed: Micros,
        /// The newest position of a replica that was known.
        known: Micros,
    },
    /// The group has no primary that can be used.
    NoPrimary,
    /// The group has no members.
    NoMember,
    /// Shed, since answers come late.
    Shed,
    /// No member has seen it by a part of its client's wait.
    HeldTooLong,
    /// Its time is over, or the rest of it too short.
    OutOfTime,
    /// All attempts are spent.
    AttemptsSpent,
    /// An attempt may have run and must not be repeated.
    MayHaveRun,
    /// The process ends.
    Closing,
    /// Its class is unknown.
    Unusable,
    /// A budget of the whole fleet is spent: its own, or that of repeated attempts.
    OverBudget,
}

/// A member as the router sees it, for records.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The member.
    pub host: HostId,
    /// Its group.
    pub group: GroupId,
    /// Whether it is taken for the primary.
    pub primary: bool,
    /// Whether the list has it take work.
    pub active: bool,
    /// The newest position known, and when it was heard; 0 where none was.
    pub position: Micros,
    /// When it was heard.
    pub heard: Micros,
    /// Since when it is suspected.
    pub suspected: Option<Micros>,
    /// Own requests in flight there.
    pub in_flight: usize,
    /// What a router that goes on in this one's place is to start from.
    pub traits: Traits,
}

/// What a probe is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// A read needs the member's position.
    Read,
    /// Whether a suspect's position moves on.
    Suspect,
    /// Which member of a group is its primary.
    Search,
}

/// Something that a router does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// To whom.
        host: HostId,
        /// Its time-out.
        timeout: Micros,
        /// The send's last byte must be out by then, or the member may be too far behind for it, or may not
        /// recognise it any more as a repeat of what has run.
        holds_until: Option<Micros>,
    },
    /// Final answer: a further try is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back; 0: no advice.
        retry_after: Micros,
        /// Why.
        reason: Reason,
    },
    /// Final answer: nothing is promised.
    Fail(RequestId, Reason),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// Ask a member for its report.
    Probe(HostId, Why),
    /// Call back with [`Event::Timer`] after this span.
    Timer(Micros),
    /// Subscribe to the list.
    Follow,
}
