//! The rollout controller, which decides the next actions of the leader. Everything that another proxy
//! needs to take over is in the rollout's state, at the permit servers, or observable at the members. The
//! state that is kept only here limits the rate of repeated messages and measures timeouts.

mod health_gate;
mod local_state;
mod next_step;
mod permits;

use crate::{
    HaltReason, Incarnation, Inventory, Micros, NodeId, NodeObservation, Permit, PermitRequest,
    PermitResponse, PermitReturn, PermitServerId, Phase, RejectReason, RestartOrder, Rollout, RolloutConfig,
    RolloutId, UpgradeState, Version,
};
use local_state::{HeldPermit, LocalRolloutState, PendingReturn};
use next_step::{next_step, NextStep};
use std::collections::BTreeMap;

/// The number of members for which a rollback requests permits at once, as a multiple of the fleet's
/// budget. The members that were upgraded last go first.
const ROLLBACK_LOOKAHEAD: usize = 2;

/// An action that the controller requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControllerAction {
    /// Send a request to a permit server.
    RequestPermits(PermitServerId, PermitRequest),
    /// Return a permit to a permit server.
    ReturnPermit(PermitServerId, PermitReturn),
    /// Send a restart order to a member.
    Restart(RestartOrder),
    /// Hand over the group of this primary, at this incarnation of it, to a healthy replica.
    HandOver(NodeId, Incarnation),
    /// For the log: a member reached a new state.
    Advanced(NodeId, UpgradeState),
    /// For the log: a wave started.
    WaveStarted(usize),
    /// For the log: the phase changed.
    PhaseChanged(Phase),
}

/// The rollout controller of one process, which may lead rollouts.
#[derive(Clone, Debug)]
pub struct RolloutController {
    process: u64,
    inventory: Inventory,
    config: RolloutConfig,
    observations: BTreeMap<NodeId, NodeObservation>,
    local_state: BTreeMap<RolloutId, LocalRolloutState>,
    request_sequences: BTreeMap<PermitServerId, u64>,
}

/// The context of one tick for one rollout.
struct Tick<'a> {
    now: Micros,
    rollout: &'a mut Rollout,
    local_state: &'a mut LocalRolloutState,
    actions: Vec<ControllerAction>,
    /// The members that need a permit, in order of priority.
    candidates: Vec<crate::Candidate>,
}

impl RolloutController {
    /// Creates the controller of a process. `process` is a number that no other process has or ever had.
    pub fn new(process: u64, inventory: Inventory, config: RolloutConfig) -> RolloutController {
        RolloutController {
            process,
            inventory,
            config,
            observations: BTreeMap::new(),
            local_state: BTreeMap::new(),
            request_sequences: BTreeMap::new(),
        }
    }

    /// Records an observation of a member.
    pub fn on_observation(&mut self, id: NodeId, observation: NodeObservation) {
        let is_newer = self.observations.get(&id).is_none_or(|earlier| observation.supersedes(earlier));
        if self.inventory.node(id).is_some() && is_newer {
            self.observations.insert(id, observation);
        }
    }

    /// Returns whether a node was the primary of its group when it was last observed.
    pub fn is_primary(&self, id: NodeId) -> bool {
        self.observations.get(&id).is_some_and(|observation| observation.primary)
    }

    fn is_healthy(&self, id: NodeId) -> bool {
        self.observations.get(&id).is_some_and(|observation| observation.healthy)
    }

    /// Handles a permit server's response. A response to another process, or one that is older than the
    /// last one handled, is ignored.
    pub fn on_response(&mut self, server: PermitServerId, response: &PermitResponse) {
        if response.holder != self.process {
            return;
        }
        let Some(local_state) = self.local_state.get_mut(&response.rollout) else { return };
        let last = local_state.last_response.entry(server).or_default();
        if response.request <= *last {
            return;
        }
        *last = response.request;
        local_state.permits.retain(|_, held| held.server != server);
        for permit in &response.held {
            local_state.record_permit(server, *permit, self.process);
        }
        let primaries =
            response.rejected.iter().filter(|rejected| rejected.reason == RejectReason::IsPrimary);
        for rejected in primaries {
            local_state.handover_ordered_at.entry(rejected.id).or_insert(Micros::MIN);
        }
    }

    /// Performs the actions that are due for a rollout that this process leads.
    pub fn on_tick(&mut self, now: Micros, rollout: &mut Rollout) -> Vec<ControllerAction> {
        let mut local_state = self.local_state.remove(&rollout.id).unwrap_or_default();
        local_state.reset_after_pause(now, self.config.observation_ttl);
        let id = rollout.id;
        let mut tick =
            Tick { now, rollout, local_state: &mut local_state, actions: Vec::new(), candidates: Vec::new() };
        self.check_canaries(&mut tick);
        for member in self.relevant_members(&mut tick) {
            self.reconcile_member(&mut tick, member);
        }
        self.hand_over_primaries(&mut tick);
        self.return_unused_permits(&mut tick);
        self.request_permits(&mut tick);
        let actions = tick.actions;
        self.local_state.insert(id, local_state);
        actions
    }

    /// Performs the next step for one member.
    fn reconcile_member(&self, tick: &mut Tick, id: NodeId) {
        let permit = tick.local_state.permits.get(&id).map(|held| held.permit);
        let state = tick.rollout.state_of(id);
        match next_step(tick.rollout, state, self.observations.get(&id), permit.is_some()) {
            NextStep::Nothing => {}
            NextStep::Await => self.check_ready_timeout(tick, id),
            NextStep::Reached(state) => {
                tick.local_state.transitions.remove(&id);
                tick.local_state.handover_ordered_at.remove(&id);
                tick.rollout.advance(id, state);
                tick.actions.push(ControllerAction::Advanced(id, state));
            }
            NextStep::Restart(incarnation, version) => {
                let permit = permit.filter(|permit| permit.incarnation == incarnation);
                self.restart_member(tick, id, incarnation, version, permit);
            }
        }
    }

    /// Orders a member to restart if a permit for its incarnation is held. Otherwise requests a permit.
    fn restart_member(
        &self,
        tick: &mut Tick,
        id: NodeId,
        incarnation: Incarnation,
        version: Version,
        permit: Option<Permit>,
    ) {
        if permit.is_none() {
            tick.candidates.push(crate::Candidate { id, incarnation });
        } else {
            tick.mark_ordered(id, incarnation);
        }
        // The process that advanced the member to this state held the permit for this incarnation, and
        // the permit is held until the incarnation has ended.
        let was_ordered = [UpgradeState::Ordered(incarnation), UpgradeState::RollbackOrdered(incarnation)]
            .contains(&tick.rollout.state_of(id));
        if permit.is_none() && !was_ordered {
            return;
        }
        if tick.local_state.is_order_due(id, tick.now, self.config.retry_interval) {
            tick.local_state.last_order_at.insert(id, tick.now);
            let only_if_down = permit.is_none_or(|permit| permit.only_if_down);
            let order = RestartOrder { id, incarnation, version, only_if_down };
            tick.actions.push(ControllerAction::Restart(order));
        }
        self.check_ready_timeout(tick, id);
    }

    /// Returns the members that may need an action now, in order of priority.
    fn relevant_members(&self, tick: &mut Tick) -> Vec<NodeId> {
        match tick.rollout.phase() {
            Phase::Forward => self.members_of_wave(tick),
            Phase::Halted(_) => tick.rollout.touched_members().map(|(id, _)| id).collect(),
            Phase::RollingBack(_) => {
                let limit = ROLLBACK_LOOKAHEAD * self.inventory.budget().fleet as usize;
                let mut members = tick.local_state.shared_permits_of_pending(tick.rollout);
                members.extend(tick.rollout.touched_members().map(|(id, _)| id).take(limit));
                members
            }
        }
    }

    /// Returns the members of the current wave once it may start. Until then, returns the members for
    /// which permits are held.
    fn members_of_wave(&self, tick: &mut Tick) -> Vec<NodeId> {
        let wave = tick.rollout.current_wave();
        if !self.may_start_wave(tick, wave) {
            return tick.local_state.permits.keys().copied().collect();
        }
        let members = tick.rollout.waves.get(wave).cloned();
        let is_pending = |id: &NodeId| tick.rollout.state_of(*id) == UpgradeState::Pending;
        let was_started = std::mem::replace(&mut tick.local_state.is_wave_started, true);
        if !was_started && members.as_ref().is_some_and(|members| members.iter().all(is_pending)) {
            tick.actions.push(ControllerAction::WaveStarted(wave));
        }
        members.unwrap_or_default()
    }
}

impl Tick<'_> {
    /// Marks a member as ordered to restart. Counts an attempt if it was not marked for this incarnation
    /// yet.
    fn mark_ordered(&mut self, id: NodeId, incarnation: Incarnation) {
        let ordered = match self.rollout.phase() {
            Phase::RollingBack(_) => UpgradeState::RollbackOrdered(incarnation),
            _ => UpgradeState::Ordered(incarnation),
        };
        if self.rollout.advance(id, ordered) {
            self.actions.push(ControllerAction::Advanced(id, ordered));
            self.local_state.last_order_at.remove(&id);
            self.local_state.transition(id, self.now, incarnation).count_attempt(incarnation);
        }
    }

    fn change_phase(&mut self, phase: Phase) {
        if self.rollout.set_phase(phase) {
            self.actions.push(ControllerAction::PhaseChanged(phase));
        }
    }

    /// Halts the rollout, and rolls it back if automatic rollback is configured.
    fn halt(&mut self, reason: HaltReason, config: &RolloutConfig) {
        self.change_phase(Phase::Halted(reason));
        if config.automatic_rollback {
            self.change_phase(Phase::RollingBack(reason));
        }
    }
}
