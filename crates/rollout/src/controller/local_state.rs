//! The controller's local state of a rollout. It limits the rate of repeated messages and measures
//! timeouts, and it is lost when the process ends.

use crate::{Incarnation, Micros, NodeId, Permit, PermitReturn, PermitServerId, Rollout, UpgradeState};
use std::collections::BTreeMap;

/// A permit, and the server that granted it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldPermit {
    pub(super) server: PermitServerId,
    pub(super) permit: Permit,
}

/// A permit return that is to be sent again.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingReturn {
    pub(super) server: PermitServerId,
    pub(super) permit: PermitReturn,
}

/// The transition of a member that is being restarted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transition {
    pub(super) since: Micros,
    pub(super) attempts: u32,
    last_incarnation: Incarnation,
}

impl Transition {
    /// Counts a restart, unless one of this incarnation was counted already.
    pub(super) fn count_attempt(&mut self, incarnation: Incarnation) {
        if self.attempts == 0 || self.last_incarnation != incarnation {
            self.attempts += 1;
        }
        self.last_incarnation = incarnation;
    }
}

/// The controller's local state of a rollout.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalRolloutState {
    pub(super) permits: BTreeMap<NodeId, HeldPermit>,
    /// The sequence number of the newest request that each server answered.
    pub(super) last_response: BTreeMap<PermitServerId, u64>,
    /// The sequence numbers of returned permits, since a delayed response may still list them.
    pub(super) returned: BTreeMap<NodeId, u64>,
    pub(super) pending_returns: Vec<PendingReturn>,
    pub(super) next_request_at: BTreeMap<PermitServerId, Micros>,
    pub(super) last_order_at: BTreeMap<NodeId, Micros>,
    pub(super) transitions: BTreeMap<NodeId, Transition>,
    /// The primaries that are to be handed over, and when the handover was last ordered.
    pub(super) handover_ordered_at: BTreeMap<NodeId, Micros>,
    /// The wave to which the next two fields apply.
    pub(super) wave: usize,
    pub(super) is_wave_started: bool,
    /// The time since which all members of the earlier waves have been healthy.
    pub(super) soaking_since: Option<Micros>,
    pub(super) last_analysis_at: Micros,
    last_tick_at: Micros,
}

impl LocalRolloutState {
    /// Restarts the timers if the process was paused or did not lead, since the members were not observed
    /// during that time.
    pub(super) fn reset_after_pause(&mut self, now: Micros, longest_pause: Micros) {
        let last_tick_at = std::mem::replace(&mut self.last_tick_at, now);
        if now - last_tick_at > longest_pause {
            self.transitions.clear();
            self.soaking_since = None;
        }
    }

    /// Resets the state of the wave if the current wave has changed.
    pub(super) fn enter_wave(&mut self, wave: usize) {
        if self.wave != wave {
            self.wave = wave;
            self.is_wave_started = false;
            self.soaking_since = None;
        }
    }

    /// Records a permit that a server reports as held. If this process has returned the permit, the
    /// return was lost and is sent again. The exception is a permit that was shared before the return
    /// arrived: it stays held, and the return has no effect.
    pub(super) fn record_permit(&mut self, server: PermitServerId, permit: Permit, process: u64) {
        let was_returned = self.returned.get(&permit.id).is_some_and(|returned| permit.sequence <= *returned);
        if permit.shared || !was_returned {
            self.permits.insert(permit.id, HeldPermit { server, permit });
        } else {
            let permit = PermitReturn { id: permit.id, sequence: permit.sequence, holder: process };
            self.pending_returns.push(PendingReturn { server, permit });
        }
    }

    /// Returns the pending members for which a shared permit is held.
    pub(super) fn shared_permits_of_pending(&self, rollout: &Rollout) -> Vec<NodeId> {
        let is_pending = |id: &NodeId| rollout.state_of(*id) == UpgradeState::Pending;
        let shared = self.permits.iter().filter(|(_, held)| held.permit.shared);
        shared.map(|(id, _)| *id).filter(is_pending).collect()
    }

    /// Returns whether the order to a member is to be sent or repeated.
    pub(super) fn is_order_due(&self, id: NodeId, now: Micros, interval: Micros) -> bool {
        self.last_order_at.get(&id).is_none_or(|at| now - *at >= interval)
    }

    /// Returns a member's transition. A new one that starts now is created if there is none.
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
