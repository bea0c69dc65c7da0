//! What a router is notified of.

use super::{AttemptNo, ClassId, GroupId, HostId, Micros, RequestId, SessionKey};

/// Whether a member may take work, as the endpoint list has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The member's process runs and takes work.
    #[default]
    Up,
    /// The member finishes what it has in flight and takes nothing new.
    Draining,
    /// The member has left the group.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The member.
    pub host: HostId,
    /// The member's group.
    pub group: GroupId,
    /// Whether the member may take work.
    pub status: EndpointStatus,
    /// Whether the endpoint list takes it for its group's primary.
    pub primary: bool,
    /// When its process started; `None` if that was long ago.
    pub started_at: Option<Micros>,
    /// Whether it is in the router's own zone.
    pub local: bool,
    /// A number for the member's zone, the same for all members of the zone; see [`Event::ZoneReadShares`].
    pub zone: u32,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The group whose data it concerns.
    pub group: GroupId,
    /// The client's session, if it has one.
    pub session: Option<SessionKey>,
    /// When the client stops waiting for the answer.
    pub deadline: Micros,
    /// How long ago the session last wrote, where clients carry session tokens.
    pub last_write_age: Option<Micros>,
    /// Whether an earlier router reported that this very request may have run.
    pub may_have_run: bool,
}

/// The role that a member claims in an answer or a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The member takes writes.
    Primary,
    /// The member follows the primary.
    Replica,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The member served it.
    Ok,
    /// The member answered with an error; the request may have run.
    Error,
    /// The member rejected it unseen, since it is at capacity or draining.
    Overloaded,
    /// No answer came in time; the request may have run, or may still run.
    Timeout,
    /// No connection could be had; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The router cancelled it; the request may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The member rejected it without running it: it is not the primary, or is too far behind.
    Misrouted,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The member that it was sent to.
    pub host: HostId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Whether the request is over as well.
    pub terminal: bool,
    /// Time since the send.
    pub latency: Micros,
    /// The member's role, if the answer names it.
    pub role: Option<Role>,
    /// The member's log position, or the commit time of a write.
    pub position: Option<Micros>,
}

/// The result of a probe.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// The member.
    pub host: HostId,
    /// Whether it answered.
    pub answered: bool,
    /// Its role at the time of the load report.
    pub role: Option<Role>,
    /// Its log position at the time of the load report.
    pub position: Option<Micros>,
    /// Requests of all routers that were queued at it at the time of the load report.
    pub queued: Option<f64>,
}

/// Something that happened, for [`Router::handle`](crate::Router::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete endpoint list; members that are absent have left.
    EndpointList(Vec<Endpoint>),
    /// The entries of the endpoint list that changed.
    EndpointsChanged(Vec<Endpoint>),
    /// The subscription to the endpoint list was lost.
    SubscriptionLost,
    /// A client sent a request.
    Request(Request),
    /// A client sent a request that exceeds a quota of the whole fleet: it is answered at once.
    RequestOverQuota(Request),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// A probe ended.
    ProbeFinished(ProbeResult),
    /// The timer that was set has expired.
    Timer,
    /// The client disconnected: the request needs no answer any more.
    ClientDisconnected(RequestId),
    /// The router's process shuts down: nothing is sent any more. [`Event::Shutdown`] follows once the
    /// attempts that were not completely written have been taken back.
    StopSending,
    /// The router's process shuts down: every request that is still open is given up now.
    Shutdown,
    /// The part, from 0 to 1, of the reads that members of each named zone may take, as the fleet decided in
    /// common; other zones take all. Writes, and reads that only the primary can serve, are not bound by it.
    ZoneReadShares(Vec<(u32, f64)>),
    /// Sessions of this router may have committed writes elsewhere until this time, at the process that it replaces or
    /// that replaces it. Counts only where clients do not carry session tokens.
    SessionsCommittedElsewhere(Micros),
    /// What other routers, or this router's predecessor, observed of members.
    PeerObservations(Vec<PeerObservation>),
    /// All members that the fleet considers outliers, with the factor by which their latency is multiplied
    /// when reads are routed; infinity for one that takes no reads. Replaces the previous set. Writes, and
    /// reads that only the primary can serve, are not bound by it.
    LatencyFactors(Vec<(HostId, f64)>),
    /// Whether the quota of the whole fleet admits retries now.
    RetriesAllowed(bool),
}

/// What another router observed of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerObservation {
    /// The member.
    pub host: HostId,
    /// A log position that the member reported since its last start; 0 for none.
    pub position: Micros,
    /// When a router began to suspect the member; 0 if none does.
    pub suspected_at: Micros,
    /// How the member answers, from the router that this one succeeds.
    pub traits: Option<LearnedTraits>,
}

/// What a router learned of a member from its answers; its successor starts from that.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedTraits {
    /// The limit of this router's concurrent requests at the member, at least 1.
    pub concurrency_limit: f64,
    /// The member's mean latency as a multiple of the usual latency of the requests' classes.
    pub relative_latency: f64,
    /// The rate of the member's answers to this router, per microsecond.
    pub answer_rate: f64,
    /// When it was last known to be its group's primary; 0 for never.
    pub primary_at: Micros,
    /// When it was last known to be a replica; 0 for never.
    pub replica_at: Micros,
}
