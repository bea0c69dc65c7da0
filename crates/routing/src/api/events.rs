//! What a router hears.

use super::{AttemptNo, ClassId, GroupId, HostId, Micros, RequestId, SessionKey};

/// Health of a member as the list has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    /// Its process runs.
    #[default]
    Up,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is gone.
    Removed,
}

/// An entry of the list of members.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The member.
    pub host: HostId,
    /// Its group.
    pub group: GroupId,
    /// Its health.
    pub listed: Listed,
    /// Whether the list takes it for its group's primary.
    pub primary: bool,
    /// When it last started; `None`: a long time back.
    pub launched: Option<Micros>,
    /// Whether it stands in the router's own zone.
    pub local: bool,
    /// Its zone, as a number that all members of the zone share, for [`Event::Shares`].
    pub zone: u32,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its group.
    pub group: GroupId,
    /// Its session, if it has one.
    pub key: Option<SessionKey>,
    /// When the client gives up.
    pub give_up_at: Micros,
    /// For session reads with carried tokens: the age of the session's last write.
    pub write_age: Option<Micros>,
    /// Whether a router said that this very request may have run before.
    pub doubted: bool,
}

/// The role that a member's answer or report tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows the primary.
    Replica,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Ok,
    /// An error; it may have run.
    Error,
    /// Turned away unseen: the member is full or drains.
    Full,
    /// No answer in time; it may have run or run yet.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// Turned away untouched: not the primary, or too far behind.
    Miss,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// The member it was sent to.
    pub host: HostId,
    /// How it ended.
    pub ending: Ending,
    /// Whether the request is over.
    pub terminal: bool,
    /// Time since the send.
    pub latency: Micros,
    /// The member's role, where the answer tells it.
    pub role: Option<Role>,
    /// The member's position, or a write's commit time.
    pub position: Option<Micros>,
}

/// What a probe found.
#[derive(Clone, Debug)]
pub struct Probed {
    /// The member.
    pub host: HostId,
    /// Whether it answered.
    pub ok: bool,
    /// Its role at the time of the report.
    pub role: Option<Role>,
    /// Its position at the time of the report.
    pub position: Option<Micros>,
    /// Requests waiting at it at the time of the report, from all routers.
    pub queue: Option<f64>,
}

/// Something that a router hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list; members that are absent have left.
    List(Vec<Entry>),
    /// Entries of the list that changed.
    ListChange(Vec<Entry>),
    /// The subscription to the list broke.
    ListBroken,
    /// A client's request.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A probe came back.
    Probed(Probed),
    /// The timer asked for has come due.
    Timer,
    /// The client is gone; nothing more is owed.
    Gone(RequestId),
    /// The router's process ends: nothing is sent any more. [`Event::Close`] follows once what was
    /// not written whole has been taken back.
    Closing,
    /// The router's process ends: what is still open is given up now.
    Close,
    /// The part of the reads that members of each zone named may take, from 0 to 1, as the fleet decided in common;
    /// zones not named take all. Writes and what only the primary may serve are not bound by it.
    Shares(Vec<(u32, f64)>),
    /// What other routers learned of members, or the one in whose place this one goes on.
    Told(Vec<Told>),
    /// The members that the fleet does not hold sound, all of them anew each time: the latency of each counts so many
    /// times for reads; infinite: it takes none. Writes and what only the primary may serve are not bound by it.
    Factors(Vec<(HostId, f64)>),
    /// A client's request that is over a budget of the whole fleet: it is answered at once.
    Denied(Request),
    /// Whether attempts beyond the first may be sent now, as a budget of the whole fleet has it.
    Retries(bool),
}

/// What other routers learned of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// The member.
    pub host: HostId,
    /// A position that it has told itself since it last started; 0: none.
    pub position: Micros,
    /// When a router came to suspect it; 0: none did.
    pub suspected_at: Micros,
    /// From the router in whose place this one goes on: how it answers.
    pub traits: Option<Traits>,
}

/// What a router learned of a member by its answers; one that goes on in its place starts from that.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traits {
    /// Own requests in flight that it may hold; 1 at least.
    pub limit: f64,
    /// The mean time of its answers, in usual times.
    pub slowness: f64,
    /// Its answers to this router, each µs.
    pub rate: f64,
    /// When it was last known to be its group's primary; 0: never.
    pub primary_at: Micros,
    /// When it was last known to be a replica; 0: never.
    pub replica_at: Micros,
}
