//! One proxy's role in rollouts: its permit server if it is one, the rollouts that it knows, the
//! controller, the leader election, and the encoded messages between proxies. It does no I/O.

mod commands;
mod election;
mod message;
mod response_queue;
mod tick;

pub use commands::CommandError;
pub use election::LeaderElection;
pub use message::{Destination, Effect, PeerIdentity};

use crate::{
    Inventory, Micros, NodeId, NodeObservation, OutageCause, PermitLedger, PermitRequest, PermitServer,
    RolloutConfig, RolloutController, RolloutId, RolloutTable,
};
use message::PeerMessage;
use response_queue::{QueuedResponse, ResponseQueue};
use std::collections::BTreeSet;

/// One proxy's role in rollouts.
#[derive(Clone, Debug)]
pub struct RolloutPeer {
    identity: PeerIdentity,
    inventory: Inventory,
    permit_server: Option<PermitServer>,
    controller: RolloutController,
    rollouts: RolloutTable,
    election: LeaderElection,
    is_leader: bool,
    /// The ranks of the other proxies.
    peers: Vec<u64>,
    gossip_round: usize,
    next_gossip_at: Micros,
    peer_timeout: Micros,
    next_heartbeat_at: Micros,
    primaries: BTreeSet<NodeId>,
    responses: ResponseQueue,
    durable_revision: u64,
    outbox: Vec<(Destination, Vec<u8>)>,
    effects: Vec<Effect>,
    /// The number of messages that could not be decoded.
    pub rejected: u64,
}

impl RolloutPeer {
    /// Creates the state of a process that has just started. `ledger` is the ledger of its permit server
    /// as last stored.
    pub fn new(
        identity: PeerIdentity,
        inventory: Inventory,
        config: RolloutConfig,
        ledger: Option<PermitLedger>,
        now: Micros,
    ) -> RolloutPeer {
        let durable_revision = ledger.as_ref().map_or(0, |ledger| ledger.revision);
        let server_id = identity.permit_server.filter(|server| *server < inventory.permit_servers());
        let permit_server =
            server_id.map(|id| PermitServer::new(id, inventory.clone(), config.clone(), ledger));
        RolloutPeer {
            identity,
            permit_server,
            controller: RolloutController::new(identity.process, inventory.clone(), config.clone()),
            rollouts: RolloutTable::default(),
            election: LeaderElection::new(identity.rank, config.peer_timeout, now),
            is_leader: false,
            inventory,
            peers: Vec::new(),
            gossip_round: identity.rank as usize,
            next_gossip_at: now,
            peer_timeout: config.peer_timeout,
            next_heartbeat_at: now,
            primaries: BTreeSet::new(),
            responses: ResponseQueue::default(),
            durable_revision,
            outbox: Vec::new(),
            effects: Vec::new(),
            rejected: 0,
        }
    }

    /// Sets the ranks of the other proxies.
    pub fn set_peers(&mut self, peers: Vec<u64>) {
        self.peers = peers;
    }

    /// Records this proxy's observation of a member.
    pub fn on_observation(&mut self, now: Micros, id: NodeId, observation: NodeObservation) {
        self.controller.on_observation(id, observation);
        if let Some(server) = &mut self.permit_server {
            server.on_observation(now, id, observation);
        }
    }

    /// Sets which nodes are out of service for a cause that needs no permit, as currently reported by
    /// service discovery or an operator.
    pub fn set_outages(&mut self, cause: OutageCause, out: &[NodeId]) {
        let Some(server) = &mut self.permit_server else { return };
        for node in self.inventory.nodes() {
            server.report_outage(node.id, cause, out.contains(&node.id));
        }
    }

    /// Sets which nodes are primaries. This determines the member order of a rollout that starts at this
    /// proxy.
    pub fn set_primaries(&mut self, primaries: impl IntoIterator<Item = NodeId>) {
        self.primaries = primaries.into_iter().collect();
    }

    /// Gives a new ledger to a permit server that lost its own. By doing so, an operator confirms that no
    /// node is out of service under a permit of the lost ledger.
    pub fn open_permit_server(&mut self, ledger: PermitLedger) {
        if let Some(server) = &mut self.permit_server {
            server.open(ledger);
        }
    }

    /// Returns whether this proxy is a permit server that is in use.
    pub fn is_permit_server(&self) -> bool {
        self.permit_server.is_some()
    }

    /// Returns whether this proxy is a permit server that waits for a ledger.
    pub fn is_permit_server_closed(&self) -> bool {
        self.permit_server.as_ref().is_some_and(|server| server.ledger().is_none())
    }

    /// Returns whether this proxy needs observations of the members, either as a permit server or because
    /// it leads an unfinished rollout.
    pub fn needs_observations(&self) -> bool {
        self.permit_server.is_some()
            || self.is_leader && self.rollouts.iter().any(|rollout| !rollout.is_finished())
    }

    /// Returns whether this proxy led at the last tick.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Records this proxy's counts for a rollout.
    pub fn record_counts(&mut self, rollout: RolloutId, counts: &crate::CanaryCounts) {
        if let Some(rollout) = self.rollouts.get_mut(rollout) {
            rollout.record_counts(self.identity.rank, counts);
        }
    }

    /// Handles a message from the proxy with this rank.
    pub fn on_message(&mut self, now: Micros, from: u64, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes(bytes) else {
            self.rejected += 1;
            return;
        };
        match message {
            PeerMessage::PermitRequest(request) => self.on_permit_request(now, from, &request),
            PeerMessage::PermitResponse(server, response) => self.controller.on_response(server, &response),
            PeerMessage::PermitReturn(returned) => {
                if let Some(server) = &mut self.permit_server {
                    server.on_return(&returned);
                }
            }
            PeerMessage::Rollout(rollout) => {
                self.election.on_heartbeat(now, from);
                // If the table is full, this proxy continues without the rollout; the others send it
                // again.
                let _ = self.rollouts.merge(&rollout);
            }
            PeerMessage::Heartbeat => self.election.on_heartbeat(now, from),
        }
    }

    fn on_permit_request(&mut self, now: Micros, from: u64, request: &PermitRequest) {
        let Some(server) = &mut self.permit_server else { return };
        let Some(response) = server.on_request(now, request) else { return };
        let ledger_revision = server.ledger().map_or(0, |ledger| ledger.revision);
        self.responses.push(QueuedResponse { ledger_revision, destination: from, response });
        self.send_durable_responses();
    }

    /// Returns the permit server's ledger if it has changed since it was stored.
    pub fn ledger_to_store(&self) -> Option<&PermitLedger> {
        let ledger = self.permit_server.as_ref()?.ledger()?;
        (ledger.revision > self.durable_revision).then_some(ledger)
    }

    /// Records that the ledger is stored up to this revision.
    pub fn on_ledger_stored(&mut self, revision: u64) {
        self.durable_revision = self.durable_revision.max(revision);
        self.send_durable_responses();
    }

    /// Sends the responses that depend only on the stored part of the ledger.
    fn send_durable_responses(&mut self) {
        let Some(server) = self.identity.permit_server else { return };
        while let Some(queued) = self.responses.pop_durable(self.durable_revision) {
            let message = PeerMessage::PermitResponse(server, queued.response);
            self.send(Destination::Proxy(queued.destination), &message);
        }
    }

    fn send(&mut self, to: Destination, message: &PeerMessage) {
        self.outbox.extend(postcard::to_allocvec(message).map(|bytes| (to, bytes)));
    }

    /// Removes and returns the messages to be sent. A message to this proxy's own permit server or rank
    /// is to be passed to [`RolloutPeer::on_message`].
    pub fn take_outbox(&mut self) -> Vec<(Destination, Vec<u8>)> {
        std::mem::take(&mut self.outbox)
    }

    /// Removes and returns the effects that the caller is to perform.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the rollouts that this proxy knows.
    pub fn rollouts(&self) -> &RolloutTable {
        &self.rollouts
    }
}
