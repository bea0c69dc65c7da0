//! The controller's side of permits: it requests them, returns those that it does not need, and orders
//! the handover of primaries that are to be restarted.

use super::{ControllerAction, HeldPermit, PendingReturn, RolloutController, Tick};
use crate::{Candidate, Micros, NodeId, PermitRequest, PermitReturn, PermitServerId, Phase};
use std::cmp::Reverse;
use std::collections::BTreeMap;

impl RolloutController {
    /// Orders the handover of groups whose primaries are to be restarted, once no replica of the same
    /// group is a candidate.
    pub(super) fn hand_over_primaries(&self, tick: &mut Tick) {
        for Candidate { id, incarnation } in &tick.candidates {
            if !self.is_primary(*id) || self.has_replica_candidate(&tick.candidates, *id) {
                continue;
            }
            let Some(ordered_at) = tick.local_state.handover_ordered_at.get_mut(id) else { continue };
            if tick.now.saturating_sub(*ordered_at) >= self.config.retry_interval {
                *ordered_at = tick.now;
                tick.actions.push(ControllerAction::HandOver(*id, *incarnation));
            }
        }
    }

    /// Returns whether a replica of the same group is a candidate.
    fn has_replica_candidate(&self, candidates: &[Candidate], id: NodeId) -> bool {
        let group_of = |id: NodeId| self.inventory.node(id).map(|node| node.group);
        candidates
            .iter()
            .any(|other| other.id != id && group_of(other.id) == group_of(id) && !self.is_primary(other.id))
    }

    /// Returns the permits that are no longer needed in the current phase to their servers, unless an
    /// order was sent under the permit or another process knows the permit.
    pub(super) fn return_unused_permits(&self, tick: &mut Tick) {
        let unused: Vec<(NodeId, HeldPermit)> = tick
            .local_state
            .permits
            .iter()
            .filter(|(id, held)| is_unused(tick, **id, held))
            .map(|(id, held)| (*id, *held))
            .collect();
        for PendingReturn { server, permit } in tick.local_state.pending_returns.drain(..) {
            tick.actions.push(ControllerAction::ReturnPermit(server, permit));
        }
        for (id, HeldPermit { server, permit }) in unused {
            let sequence = permit.sequence;
            tick.local_state.permits.remove(&id);
            tick.local_state.returned.insert(id, sequence);
            let returned = PermitReturn { id, sequence, holder: self.process };
            tick.actions.push(ControllerAction::ReturnPermit(server, returned));
        }
    }

    /// Sends requests to the permit servers that are due. A response also lists all permits that the
    /// rollout holds at that server.
    pub(super) fn request_permits(&mut self, tick: &mut Tick) {
        for server in 0..self.inventory.permit_servers() {
            let next_request_at = *tick.local_state.next_request_at.entry(server).or_insert(tick.now);
            if tick.now < next_request_at {
                continue;
            }
            let candidates = self.candidates_of(server, tick);
            let next_request_at = tick.now + self.request_interval(&candidates);
            tick.local_state.next_request_at.insert(server, next_request_at);
            let sequence = self.request_sequences.entry(server).or_default();
            *sequence += 1;
            let request = PermitRequest {
                rollout: tick.rollout.id,
                phase_revision: tick.rollout.phase_revision.number,
                inventory_digest: self.inventory.digest(),
                holder: self.process,
                sequence: *sequence,
                candidates,
            };
            tick.actions.push(ControllerAction::RequestPermits(server, request));
        }
    }

    /// Returns the interval until the next request. A server from which no permit is needed is polled
    /// less often, only to find permits that other controllers requested there.
    fn request_interval(&self, candidates: &[Candidate]) -> Micros {
        let interval = self.config.retry_interval / 4;
        if candidates.is_empty() {
            self.config.retry_interval + interval
        } else {
            interval
        }
    }

    /// Returns the candidates whose groups a server owns.
    fn candidates_of(&self, server: PermitServerId, tick: &Tick) -> Vec<Candidate> {
        let is_owned = |candidate: &Candidate| {
            self.inventory
                .node(candidate.id)
                .is_some_and(|node| self.inventory.server_of_group(node.group) == server)
        };
        let mut candidates: Vec<Candidate> =
            tick.candidates.iter().copied().filter(|candidate| is_owned(candidate)).collect();
        if tick.rollout.phase() == Phase::Forward {
            self.sort_by_zone_backlog(&mut candidates);
        }
        candidates
    }

    /// Orders the candidates so that zones with the most candidates come first. A zone whose nodes remain
    /// until the end can use only its own budget then.
    fn sort_by_zone_backlog(&self, candidates: &mut [Candidate]) {
        let zone_of = |candidate: &Candidate| self.inventory.node(candidate.id).map(|node| node.zone);
        let mut backlog = BTreeMap::<Option<u32>, usize>::new();
        for candidate in candidates.iter() {
            *backlog.entry(zone_of(candidate)).or_default() += 1;
        }
        candidates.sort_by_key(|candidate| Reverse(backlog.get(&zone_of(candidate)).copied()));
    }
}

/// Returns whether a permit is to be returned.
fn is_unused(tick: &Tick, id: NodeId, held: &HeldPermit) -> bool {
    let was_ordered = tick.local_state.last_order_at.contains_key(&id);
    let is_wanted =
        tick.rollout.phase() == Phase::Forward && tick.rollout.members().any(|member| *member == id);
    !was_ordered && !is_wanted && tick.rollout.state_of(id).is_untouched() && !held.permit.shared
}
