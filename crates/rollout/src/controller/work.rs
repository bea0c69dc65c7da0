//! The controller's own state of a rollout. It paces what is repeated, and is lost when the process ends.

use crate::{Incarnation, Micros, NodeId, Permit, PermitReturn, PermitServerId, Rollout, UpgradeState};
use std::collections::BTreeMap;

/// A permit, and the server that granted it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldPermit {
    pub(super) server: PermitServerId,
    pub(super) permit: Permit,
}

/// A return that is to be sent again.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingReturn {
    pub(super) server: PermitServerId,
    pub(super) permit: PermitReturn,
}

/// A member that is on its way out or back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transition {
    pub(super) since: Micros,
    pub(super) attempts: u32,
    last_incarnation: Incarnation,
}

impl Transition {
    /// Counts a restart, unless this incarnation's was counted already.
    pub(super) fn count_attempt(&mut self, incarnation: Incarnation) {
        if self.attempts == 0 || self.last_incarnation != incarnation {
            self.attempts += 1;
        }
        self.last_incarnation = incarnation;
    }
}

/// The controller's own state of a rollout.
#[derive(Clone, Debug, Default)]
pub(super) struct RolloutWork {
    pub(super) permits: BTreeMap<NodeId, HeldPermit>,
    /// The newest request that each server answered.
    pub(super) last_response: BTreeMap<PermitServerId, u64>,
    /// The sequence numbers of permits that were returned: a delayed response may still name them.
    pub(super) returned: BTreeMap<NodeId, u64>,
    pub(super) repeated_returns: Vec<PendingReturn>,
    pub(super) next_request_at: BTreeMap<PermitServerId, Micros>,
    pub(super) last_order_at: BTreeMap<NodeId, Micros>,
    pub(super) transitions: BTreeMap<NodeId, Transition>,
    /// Primaries that are to be handed over, and when that was last ordered.
    pub(super) handover_ordered_at: BTreeMap<NodeId, Micros>,
    /// The wave that the two fields below are about.
    pub(super) wave: usize,
    pub(super) is_wave_started: bool,
    /// Since when all members of the waves before are healthy.
    pub(super) soaking_since: Option<Micros>,
    pub(super) last_analysis_at: Micros,
    last_tick_at: Micros,
}

impl RolloutWork {
    /// Starts the watches anew if the process stood still, or did not lead: nobody was watched meanwhile.
    pub(super) fn reset_after_pause(&mut self, now: Micros, longest_pause: Micros) {
        let last_tick_at = std::mem::replace(&mut self.last_tick_at, now);
        if now - last_tick_at > longest_pause {
            self.transitions.clear();
            self.soaking_since = None;
        }
    }

    /// Switches to another wave.
    pub(super) fn enter_wave(&mut self, wave: usize) {
        if self.wave != wave {
            self.wave = wave;
            self.is_wave_started = false;
            self.soaking_since = None;
        }
    }

    /// Takes in a permit that a server says is held. One that was returned and is still held there is returned again,
    /// since the return was lost - unless the permit was shared before it was returned: then it stays held, and a return
    /// has no effect.
    pub(super) fn take_permit(&mut self, server: PermitServerId, permit: Permit, process: u64) {
        let was_returned = self.returned.get(&permit.id).is_some_and(|returned| permit.sequence <= *returned);
        if permit.shared || !was_returned {
            self.permits.insert(permit.id, HeldPermit { server, permit });
        } else {
            let permit = PermitReturn { id: permit.id, sequence: permit.sequence, holder: process };
            self.repeated_returns.push(PendingReturn { server, permit });
        }
    }

    /// The pending members that a shared permit is held for.
    pub(super) fn shared_permits_of_pending(&self, rollout: &Rollout) -> Vec<NodeId> {
        let is_pending = |id: &NodeId| rollout.state_of(*id) == UpgradeState::Pending;
        let shared = self.permits.iter().filter(|(_, held)| held.permit.shared);
        shared.map(|(id, _)| *id).filter(is_pending).collect()
    }

    /// Whether the order to a member is to be sent, or sent again.
    pub(super) fn is_order_due(&self, id: NodeId, now: Micros, interval: Micros) -> bool {
        self.last_order_at.get(&id).is_none_or(|at| now - *at >= interval)
    }

    /// A member's transition, which starts now if there is none.
    pub(super) fn transition(
        &mut self,
        id: NodeId,
        now: Micros,
        incarnation: Incarnation,
    ) -> &mut Transition {
        let new = Transition { since: now, attempts: 0, last_incarnation: incarnation };
        self.transitions.entry(id).or_insert(new)
    }
}
