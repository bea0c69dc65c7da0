//! Disruption budgets and progressive rollouts. The crate does no I/O: it takes messages, observations of
//! members and the time, and returns messages, orders and log events.
//!
//! Drains by service discovery, operators' cordons, rollouts and failures all count against one
//! [`DisruptionBudget`]. It limits how many nodes may be out of service at the same time in each group,
//! in each zone and in the fleet. Each of a few permit servers owns some of the groups and has a fixed
//! quota of the budget, so that no server depends on another. A [`Permit`] covers one incarnation of one
//! member and does not expire. It ends when the member is observed healthy at a later incarnation,
//! however long that takes, or when its holder returns it unused. A [`RestartOrder`] names the
//! incarnation that it ends and has no effect on any other incarnation, so a delayed or duplicated order
//! does nothing.
//!
//! - [`Inventory`]: the nodes, their budget, and the assignment of groups to permit servers.
//! - [`PermitServer`]: grants and ends permits, and keeps them in a durable [`PermitLedger`].
//! - [`Rollout`], [`RolloutTable`]: replicated rollout state whose copies merge, so that any proxy can
//!   take over.
//! - [`RolloutController`]: decides the next actions of a rollout on the proxy that leads it.
//! - [`CanaryAnalysis`], [`AttemptCounter`]: a sequential test of whether the upgraded members answer
//!   worse than the others, and the counts that it needs.
//! - [`AgentPoller`], [`FleetView`]: observations of members by their agents and the broker.
//! - [`LeaderElection`], [`RolloutPeer`]: one proxy's role in rollouts, with encoded messages.
//! - [`RolloutService`]: combines all of this for a caller that provides a socket, a file and a clock.
//!
//! ```
//! use wharfplank_rollout::{
//!     Candidate, DisruptionBudget, Inventory, Node, NodeKind, NodeObservation, PermitLedger, PermitRequest,
//!     PermitServer, RolloutConfig, RolloutId,
//! };
//!
//! let nodes = (0..3).map(|id| Node { id, group: 0, zone: id as u32, kind: NodeKind::Member }).collect();
//! let budget = DisruptionBudget { per_group: 1, per_zone: 1, fleet: 1, permit_servers: 1 };
//! let inventory = Inventory::new(nodes, budget);
//! let inventory_digest = inventory.digest();
//! let ledger = Some(PermitLedger::default());
//! let mut server = PermitServer::new(0, inventory, RolloutConfig::default(), ledger);
//! for id in 0..3 {
//!     let (version, primary) = (1, id == 0);
//!     let healthy =
//!         NodeObservation { incarnation: 10, version, healthy: true, down: false, primary, at: 0 };
//!     server.on_observation(0, id, healthy);
//! }
//! let rollout = RolloutId { started_ms: 1, started_by: 9 };
//! let request = |sequence, id| PermitRequest {
//!     rollout,
//!     phase_revision: 0,
//!     inventory_digest,
//!     holder: 9,
//!     sequence,
//!     candidates: vec![Candidate { id, incarnation: 10 }],
//! };
//! assert_eq!(server.on_request(1, &request(1, 1)).unwrap().held.len(), 1);
//! // No second permit is granted, not even an hour later: the first member was not observed healthy again.
//! assert_eq!(server.on_request(3_600_000_000, &request(2, 2)).unwrap().held.len(), 1);
//! ```

mod agent;
mod budget;
mod canary;
mod config;
mod controller;
mod operator;
mod peer;
mod permits;
mod plan;
mod service;
mod view;

pub use agent::{AgentCommand, AgentPoller, AgentRequest, AgentStatus, InvalidDatagram};
pub use budget::{DisruptionBudget, Inventory, Node, NodeKind};
pub use canary::{AttemptCounter, AttemptCounts, CanaryAnalysis, CanaryCounts, CanaryVerdict};
pub use config::RolloutConfig;
pub use controller::{ControllerAction, RolloutController};
pub use operator::{FileStamp, OperatorCommand, ParseCommandError, SignalFileWatcher};
pub use peer::{CommandError, Destination, Effect, LeaderElection, PeerIdentity, RolloutPeer};
pub use permits::{
    decode_ledger, encode_ledger, Candidate, LedgerFileError, NodeObservation, Outage, OutageCause, Permit,
    PermitLedger, PermitRequest, PermitResponse, PermitReturn, PermitServer, RejectReason, Rejection,
    RestartOrder,
};
pub use plan::{
    HaltReason, Phase, PhaseRevision, Rollout, RolloutId, RolloutTable, TableFull, UpgradeState, MAX_ROLLOUTS,
};
pub use service::{status, CommandFailure, OutgoingDatagram, RolloutService, ServiceEvent, ServiceSetup};
pub use view::{FleetView, MemberView};

/// A point in time or a duration, in microseconds.
pub type Micros = i64;
/// Identifies a member, or a proxy that is to be restarted. All proxies use the same id for it.
pub type NodeId = u64;
/// An incarnation of a member's process (`born_ms`). It increases with each start.
pub type Incarnation = u64;
/// A version of the program that members run.
pub type Version = u64;
/// Identifies a permit server. Permit servers are numbered from 0.
pub type PermitServerId = u32;
