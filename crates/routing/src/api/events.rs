//! The events that a router handles.

use super::{AttemptNo, ClassId, GroupId, HostId, Micros, RequestId, SessionKey};

/// The status of a member in the endpoint list: whether it may take work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The member is running and takes work.
    #[default]
    Up,
    /// The member finishes its requests in flight and takes no new ones.
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
    /// Whether the endpoint list names it as its group's primary.
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
    /// The group that holds its data.
    pub group: GroupId,
    /// The client's session, if it has one.
    pub session: Option<SessionKey>,
    /// The time at which the client stops waiting for the answer.
    pub deadline: Micros,
    /// The time since the session's last write, where clients carry session tokens.
    pub last_write_age: Option<Micros>,
    /// Whether an earlier router reported that this request may have run.
    pub may_have_run: bool,
}

/// The role that a member claims in an answer or a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The member accepts writes.
    Primary,
    /// The member replicates from the primary.
    Replica,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The member served the request.
    Ok,
    /// The member answered with an error; the request may have run.
    Error,
    /// The member rejected it without running it, because it is at capacity or draining.
    Overloaded,
    /// No answer arrived in time; the request may have run, or may still run.
    Timeout,
    /// No connection could be established; the request did not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The router cancelled it; the request may have run.
    Cancelled,
    /// It was not sent.
    NotSent,
    /// The member rejected it without running it, because it is not the primary or is too far behind.
    Misrouted,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The member that it was sent to.
    pub host: HostId,
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// Whether the request is finished as well.
    pub terminal: bool,
    /// The time since the send.
    pub latency: Micros,
    /// The member's role, if the answer states it.
    pub role: Option<Role>,
    /// The member's log position, or the commit time of a write.
    pub position: Option<Micros>,
}

/// What a member stated about itself in a streamed answer. Its attempt ended when the answer started.
#[derive(Clone, Debug)]
pub struct StreamedState {
    /// The member.
    pub host: HostId,
    /// The class of the request.
    pub class: ClassId,
    /// The client's session, if it has one.
    pub session: Option<SessionKey>,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// When the answer started.
    pub started_at: Micros,
    /// The member's role, if the answer states it.
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
    /// The number of requests, of all routers, queued at the member at the time of the load report.
    pub queued: Option<f64>,
}

/// An event, passed to [`Router::handle`](crate::Router::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete endpoint list. Members that are absent have left.
    EndpointList(Vec<Endpoint>),
    /// The entries of the endpoint list that changed.
    EndpointsChanged(Vec<Endpoint>),
    /// The subscription to the endpoint list was lost.
    SubscriptionLost,
    /// A client sent a request.
    Request(Request),
    /// A client sent a request that exceeds a fleet-wide quota; it is answered immediately.
    RequestOverQuota(Request),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// The answer to an attempt that has already ended was streamed completely.
    StreamFinished(StreamedState),
    /// A probe ended.
    ProbeFinished(ProbeResult),
    /// A timer has expired.
    Timer,
    /// The client disconnected; the request no longer needs an answer.
    ClientDisconnected(RequestId),
    /// The router's process is shutting down and sends nothing more. [`Event::Shutdown`] follows once the
    /// attempts that were not completely written have been withdrawn.
    StopSending,
    /// The router's process is shutting down and gives up all pending requests.
    Shutdown,
    /// The fraction, from 0 to 1, of the reads that members of each listed zone may take, as agreed by the
    /// fleet. Zones that are not listed take all. Does not apply to writes, nor to reads that only the
    /// primary can serve.
    ZoneReadShares(Vec<(u32, f64)>),
    /// Sessions of this router may have committed writes through another process until this time: the one
    /// that it replaces or that replaces it. Has an effect only where clients do not carry session tokens.
    SessionsCommittedElsewhere(Micros),
    /// Observations of members by other routers, or by this router's predecessor.
    PeerObservations(Vec<PeerObservation>),
    /// All members that the fleet considers outliers, with the factor by which their latency is multiplied
    /// when reads are routed; infinity if the member takes no reads. Replaces the previous set. Does not
    /// apply to writes, nor to reads that only the primary can serve.
    LatencyFactors(Vec<(HostId, f64)>),
    /// Whether the fleet-wide quota currently allows retries.
    RetriesAllowed(bool),
}

/// The router that made an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationSource {
    /// Another router of the fleet, which may be wrong.
    Peer,
    /// The router that this one succeeds.
    Predecessor,
}

/// An observation of a member by another router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerObservation {
    /// The router that made it.
    pub source: ObservationSource,
    /// The member.
    pub host: HostId,
    /// A log position that the member has reported since its last start; 0 for none.
    pub position: Micros,
    /// When a router began to suspect the member; 0 if none does.
    pub suspected_at: Micros,
    /// The member's traits; only from a predecessor.
    pub traits: Option<LearnedTraits>,
}

/// The traits of a member that a router learned from its answers, from which its successor starts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedTraits {
    /// The limit on this router's concurrent requests at the member, at least 1.
    pub concurrency_limit: f64,
    /// The member's mean latency as a multiple of the typical latency of the requests' classes.
    pub relative_latency: f64,
    /// The rate of the member's answers to this router, per microsecond.
    pub answer_rate: f64,
    /// When it was last known to be its group's primary; 0 for never.
    pub primary_at: Micros,
    /// When it was last known to be a replica; 0 for never.
    pub replica_at: Micros,
}
