//! Events that the I/O tasks send to the broker.

use crate::request::ClientRequest;
use crate::{handover, member_pool};
use wharfplank_discovery::{Staleness, WatchEvent};
use wharfplank_protocol::pipeline::RequestNumber;
use wharfplank_routing::{HostId, RequestId};
use wharfplank_shared_state::{ClaimDecision, StateUpdate};

/// An event that the broker has to handle.
#[derive(Debug)]
pub enum ProxyEvent {
    /// A client sent a request.
    RequestReceived(Box<ClientRequest>),
    /// A client disconnected while its request was open.
    ClientDisconnected(RequestNumber),
    /// A client cancelled a request, which has already been completed with a response that says so.
    RequestCancelled(RequestNumber),
    /// An attempt finished, or its streamed response started.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// The number of the attempt within the request.
        attempt: u32,
        /// The result of the attempt.
        report: member_pool::AttemptReport,
    },
    /// An attempt was not sent, because the claim of its write was not granted.
    ClaimRefused {
        /// The request.
        id: RequestId,
        /// The number of the attempt within the request.
        attempt: u32,
        /// The decision on the claim.
        decision: ClaimDecision,
    },
    /// A streamed response ended.
    StreamFinished {
        /// The request.
        id: RequestId,
        /// The number of the attempt within the request.
        attempt: u32,
        /// The result at the end of the stream.
        report: member_pool::AttemptReport,
    },
    /// A health check of a member finished.
    ProbeFinished {
        /// The member.
        host: HostId,
        /// The member's load report; `None` if the health check failed.
        report: Option<String>,
    },
    /// The endpoint list or its staleness changed.
    EndpointsChanged {
        /// The changes.
        event: WatchEvent,
        /// The staleness of the list, if it changed.
        staleness: Option<Staleness>,
    },
    /// The share of reads that each listed zone may receive, as agreed by the fleet. Zones not listed have no
    /// limit.
    ZoneShares(Vec<(String, f64)>),
    /// The latency factors of the members that the fleet considers unhealthy.
    MemberFactors(Vec<(u64, f64)>),
    /// Observations shared by other proxies.
    StateUpdates(Vec<StateUpdate>),
    /// An event on the handover link to the process that replaces this one, or that this one replaces.
    Handover(handover::HandoverEvent),
    /// The process was asked to reload its configuration.
    ReloadRequested,
    /// The process was asked to shut down.
    ShutdownRequested,
}
