//! The checks that decide whether a node may be taken out of service: those of the request, of the
//! disruption budget and of the group's roles.

use super::server::{Outage, PermitServer};
use crate::{Candidate, Node, NodeId, NodeKind, PermitLedger, PermitRequest, RejectReason};

/// The decision on one candidate.
pub(super) enum Admission {
    /// The permit is granted.
    Grant {
        /// Whether the permit is valid only while the node does not serve.
        only_if_down: bool,
    },
    /// The rollout already holds the permit.
    AlreadyGranted,
    /// The permit is not granted now.
    Reject(RejectReason),
}

impl PermitServer {
    /// Decides whether a candidate may be taken out of service.
    pub(super) fn admit(
        &mut self,
        outages: &[Outage],
        request: &PermitRequest,
        candidate: Candidate,
    ) -> Admission {
        self.check(outages, request, candidate).unwrap_or_else(Admission::Reject)
    }

    fn check(
        &mut self,
        outages: &[Outage],
        request: &PermitRequest,
        candidate: Candidate,
    ) -> Result<Admission, RejectReason> {
        let node = self.owned_node(candidate.id).ok_or(RejectReason::Closed)?;
        let ledger = self.ledger.as_mut().ok_or(RejectReason::Closed)?;
        if request.inventory_digest != self.inventory.digest() {
            return Err(RejectReason::InventoryMismatch);
        }
        let observation = self.observations.get(&candidate.id);
        let is_stale_phase = ledger.observe_phase_revision(request.rollout, request.phase_revision);
        let has_ended = observation.is_some_and(|seen| seen.incarnation > candidate.incarnation);
        if is_stale_phase || has_ended {
            return Err(RejectReason::Stale);
        }
        if is_already_granted(ledger, request, candidate)? {
            return Ok(Admission::AlreadyGranted);
        }
        // A node that is down already does not add to the outages, as long as the order has an effect
        // only while the node does not serve. Only the node's agent knows that, so a node that only the
        // broker suspects needs budget.
        if observation.is_some_and(|seen| seen.incarnation == candidate.incarnation && seen.down) {
            return Ok(Admission::Grant { only_if_down: true });
        }
        self.check_budget(outages, node)?;
        self.check_roles(outages, node)?;
        Ok(Admission::Grant { only_if_down: false })
    }

    /// Returns a node if this server owns its group.
    fn owned_node(&self, id: NodeId) -> Option<Node> {
        self.inventory.node(id).filter(|node| self.owns(node))
    }

    fn owns(&self, node: &Node) -> bool {
        self.inventory.server_of_group(node.group) == self.id
    }

    fn check_budget(&self, outages: &[Outage], node: Node) -> Result<(), RejectReason> {
        let others: Vec<Node> =
            outages.iter().map(|outage| outage.node).filter(|other| other.id != node.id).collect();
        let in_group = others.iter().filter(|other| other.group == node.group).count() as u32;
        if in_group + 1 > self.inventory.budget().per_group {
            return Err(RejectReason::GroupBudget);
        }
        let in_zone: Vec<Node> = others.iter().filter(|other| other.zone == node.zone).copied().collect();
        if !self.is_within_quota(&in_zone, self.inventory.zone_quota()) {
            return Err(RejectReason::ZoneBudget);
        }
        if !self.is_within_quota(&others, self.inventory.fleet_quota()) {
            return Err(RejectReason::FleetBudget);
        }
        Ok(())
    }

    /// Returns whether one more node may be taken out of service in addition to these. If more nodes of
    /// another server's groups are out than that server's quota, every other server deducts the excess
    /// from its own quota, since no server knows what the others may still grant.
    fn is_within_quota(&self, out: &[Node], quota: u32) -> bool {
        let out_of_server = |server| {
            out.iter().filter(|node| self.inventory.server_of_group(node.group) == server).count() as u32
        };
        let excess_of_others: u32 = (0..self.inventory.permit_servers())
            .filter(|server| *server != self.id)
            .map(|server| out_of_server(server).saturating_sub(quota))
            .sum();
        out_of_server(self.id) + 1 + excess_of_others <= quota
    }

    /// Checks what a group must keep regardless of its budget: its primary until that role has been
    /// handed over, and a replica for reads.
    fn check_roles(&self, outages: &[Outage], node: Node) -> Result<(), RejectReason> {
        if node.kind == NodeKind::Proxy {
            return Ok(());
        }
        if self.is_primary(&node) {
            return Err(RejectReason::IsPrimary);
        }
        let is_out = |other: &Node| outages.iter().any(|outage| outage.node.id == other.id);
        let others: Vec<&Node> =
            self.inventory.nodes().filter(|other| other.group == node.group && other.id != node.id).collect();
        let primaries = others.iter().filter(|other| !is_out(other) && self.is_primary(other)).count();
        if primaries == 0 {
            return Err(RejectReason::NoPrimary);
        }
        let replicas = others.iter().filter(|other| !is_out(other) && !self.is_primary(other)).count();
        // A group of two has no second replica, so its primary serves the reads in that case.
        if replicas == 0 && others.len() > 1 {
            return Err(RejectReason::LastReplica);
        }
        Ok(())
    }

    fn is_primary(&self, node: &Node) -> bool {
        self.observations.get(&node.id).is_some_and(|observation| observation.primary)
    }
}

/// Returns whether the request's rollout already holds the permit for the candidate.
fn is_already_granted(
    ledger: &PermitLedger,
    request: &PermitRequest,
    candidate: Candidate,
) -> Result<bool, RejectReason> {
    match ledger.grant(candidate.id) {
        Some(grant) if grant.rollout != request.rollout => Err(RejectReason::HeldByOtherRollout),
        Some(grant) if grant.permit.incarnation > candidate.incarnation => Err(RejectReason::Stale),
        Some(grant) => Ok(grant.permit.incarnation == candidate.incarnation),
        None => Ok(false),
    }
}
