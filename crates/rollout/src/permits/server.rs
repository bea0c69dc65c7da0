//! The permit server, which tracks the outages of the nodes and grants permits for the nodes of its
//! groups.

use super::admission::Admission;
use super::ledger::{NewPermit, PermitGrant};
use super::observation::{NodeObservation, OutageCause};
use crate::{
    Candidate, Inventory, Micros, Node, NodeId, PermitLedger, PermitRequest, PermitResponse, PermitReturn,
    PermitServerId, Rejection, RolloutConfig,
};
use std::collections::{BTreeMap, BTreeSet};

/// The number of holders whose last request is stored. Beyond that the one whose request is oldest is
/// dropped.
const MAX_HOLDERS: usize = 1024;
/// The number of candidates of one request that are considered.
const MAX_CANDIDATES: usize = 256;

/// The newest request of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LastRequest {
    sequence: u64,
    at: Micros,
}

/// A node that counts as out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The node.
    pub node: Node,
    /// The reason why it counts as out of service.
    pub cause: OutageCause,
}

/// A permit server: one of the few processes that grant permits. Each owns some of the groups and has a
/// fixed quota of the budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitServer {
    pub(super) id: PermitServerId,
    pub(super) inventory: Inventory,
    config: RolloutConfig,
    pub(super) ledger: Option<PermitLedger>,
    pub(super) observations: BTreeMap<NodeId, NodeObservation>,
    reported_outages: BTreeSet<(NodeId, OutageCause)>,
    last_requests: BTreeMap<u64, LastRequest>,
    /// The number of messages that had no effect because they were delayed, duplicated or meant for
    /// another server.
    pub ignored: u64,
}

impl PermitServer {
    /// Creates a server that has just started. Every node counts as out of service until it is observed
    /// to be healthy. Without the ledger of the previous process the server stays closed, since the
    /// permits that the process granted are unknown and do not expire.
    pub fn new(
        id: PermitServerId,
        inventory: Inventory,
        config: RolloutConfig,
        ledger: Option<PermitLedger>,
    ) -> PermitServer {
        PermitServer {
            id,
            inventory,
            config,
            ledger,
            observations: BTreeMap::new(),
            reported_outages: BTreeSet::new(),
            last_requests: BTreeMap::new(),
            ignored: 0,
        }
    }

    /// Returns the ledger, which is to be written to disk.
    pub fn ledger(&self) -> Option<&PermitLedger> {
        self.ledger.as_ref()
    }

    /// Opens a server that waits for a ledger. A server that already has a ledger keeps it.
    pub fn open(&mut self, ledger: PermitLedger) {
        self.ledger.get_or_insert(ledger);
    }

    /// Records an observation of a node. Ends the node's permit if the node is healthy at a later
    /// incarnation.
    pub fn on_observation(&mut self, now: Micros, id: NodeId, observation: NodeObservation) {
        let is_known = self.inventory.node(id).is_some();
        let is_newer = self.observations.get(&id).is_none_or(|earlier| observation.supersedes(earlier));
        if observation.at > now || !is_known || !is_newer {
            self.ignored += 1;
            return;
        }
        self.observations.insert(id, observation);
        let Some(ledger) = self.ledger.as_mut() else { return };
        if ledger.grant(id).is_some_and(|grant| ends_permit(&observation, grant)) {
            ledger.remove(id);
        }
    }

    /// Sets or clears an outage that service discovery or an operator reports and that needs no permit.
    pub fn report_outage(&mut self, id: NodeId, cause: OutageCause, is_out: bool) {
        if !is_out {
            self.reported_outages.remove(&(id, cause));
        } else if self.inventory.node(id).is_some() {
            self.reported_outages.insert((id, cause));
        }
    }

    /// Returns the cause for which a node counts as out of service now.
    pub fn outage_cause(&self, now: Micros, id: NodeId) -> Option<OutageCause> {
        if self.ledger.as_ref().is_some_and(|ledger| ledger.has_permit(id)) {
            return Some(OutageCause::Rollout);
        }
        let reported_outages = [OutageCause::Drain, OutageCause::Cordon]
            .into_iter()
            .find(|cause| self.reported_outages.contains(&(id, *cause)));
        reported_outages.or_else(|| self.observed_outage(now, id))
    }

    fn observed_outage(&self, now: Micros, id: NodeId) -> Option<OutageCause> {
        match self.observations.get(&id) {
            Some(observation) if now - observation.at <= self.config.observation_ttl => {
                (!observation.healthy).then_some(OutageCause::Failed)
            }
            _ => Some(OutageCause::Unobserved),
        }
    }

    /// Returns all nodes that count as out of service now.
    pub fn outages(&self, now: Micros) -> Vec<Outage> {
        let outage = |node: &Node| {
            let cause = self.outage_cause(now, node.id)?;
            Some(Outage { node: *node, cause })
        };
        self.inventory.nodes().filter_map(outage).collect()
    }

    /// Handles a request. A delayed or duplicated request gets no response.
    pub fn on_request(&mut self, now: Micros, request: &PermitRequest) -> Option<PermitResponse> {
        if !self.accept_sequence(now, request) {
            self.ignored += 1;
            return None;
        }
        let rejected = self.grant_permits(now, request);
        let held = match self.ledger.as_mut() {
            Some(ledger) => ledger.share_permits(request.rollout, request.holder),
            None => Vec::new(),
        };
        Some(PermitResponse {
            rollout: request.rollout,
            holder: request.holder,
            request: request.sequence,
            held,
            rejected,
        })
    }

    /// Records a holder's request. Returns whether it is newer than all earlier ones. A delayed or
    /// duplicated request could otherwise request a permit again that was returned since.
    fn accept_sequence(&mut self, now: Micros, request: &PermitRequest) -> bool {
        let last = self.last_requests.get(&request.holder).map_or(0, |last| last.sequence);
        if request.sequence <= last {
            return false;
        }
        if self.last_requests.len() >= MAX_HOLDERS && last == 0 {
            self.forget_oldest_holder();
        }
        self.last_requests.insert(request.holder, LastRequest { sequence: request.sequence, at: now });
        true
    }

    fn forget_oldest_holder(&mut self) {
        let oldest = self.last_requests.iter().min_by_key(|(_, last)| last.at).map(|(holder, _)| *holder);
        if let Some(holder) = oldest {
            self.last_requests.remove(&holder);
        }
    }

    /// Grants the permits that the checks allow, and returns the candidates that were rejected.
    fn grant_permits(&mut self, now: Micros, request: &PermitRequest) -> Vec<Rejection> {
        let mut outages = self.outages(now);
        let mut rejected = Vec::new();
        for candidate in request.candidates.iter().take(MAX_CANDIDATES) {
            match self.admit(&outages, request, *candidate) {
                Admission::Grant { only_if_down } => {
                    self.grant(request, *candidate, only_if_down);
                    outages.retain(|outage| outage.node.id != candidate.id);
                    let node = self.inventory.node(candidate.id);
                    outages.extend(node.map(|node| Outage { node, cause: OutageCause::Rollout }));
                }
                Admission::AlreadyGranted => {}
                Admission::Reject(reason) => rejected.push(Rejection { id: candidate.id, reason }),
            }
        }
        rejected
    }

    fn grant(&mut self, request: &PermitRequest, candidate: Candidate, only_if_down: bool) {
        let Some(ledger) = self.ledger.as_mut() else { return };
        let Candidate { id, incarnation } = candidate;
        ledger.insert(request.rollout, request.holder, NewPermit { id, incarnation, only_if_down });
    }

    /// Ends an unused permit. Only its holder may return it, and only while no other process knows it,
    /// since that process may have ordered a restart under it. A repeated or delayed return names a
    /// permit that has already ended.
    pub fn on_return(&mut self, returned: &PermitReturn) {
        let Some(ledger) = self.ledger.as_mut() else { return };
        let can_return = |grant: &PermitGrant| {
            grant.holder == returned.holder
                && grant.permit.sequence == returned.sequence
                && !grant.permit.shared
        };
        if ledger.grant(returned.id).is_some_and(can_return) {
            ledger.remove(returned.id);
        } else {
            self.ignored += 1;
        }
    }
}

/// Returns whether an observation ends a permit, which is the case if the node is healthy at a later
/// incarnation. A permit for a node that was down also ends when the node serves again at the same
/// incarnation, healthy or not, since from then on no order under that permit has an effect.
fn ends_permit(observation: &NodeObservation, grant: &PermitGrant) -> bool {
    let permit = &grant.permit;
    let serves_again =
        permit.only_if_down && observation.incarnation == permit.incarnation && !observation.down;
    let restarted = observation.healthy && observation.incarnation > permit.incarnation;
    serves_again || restarted
}
