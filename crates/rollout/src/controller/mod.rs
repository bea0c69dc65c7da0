//! The rollout controller: what the leader does next. Everything that another proxy needs to take over is in the
//! rollout's state, at the permit servers, or observed at the members. The state that is kept here only paces what is
//! repeated.

mod health_gate;
mod next_step;
mod permits;
mod work;

use crate::{
    HaltReason, Incarnation, Inventory, Micros, NodeId, NodeObservation, Permit, PermitRequest,
    PermitResponse, PermitReturn, PermitServerId, Phase, RejectReason, RestartOrder, Rollout, RolloutConfig,
    RolloutId, UpgradeState, Version,
};
use next_step::{next_step, NextStep};
use std::collections::BTreeMap;
use work::{HeldPermit, PendingReturn, RolloutWork};

/// How many members a rollback requests permits for at once, as a multiple of the fleet's budget. The newest go first.
const ROLLBACK_LOOKAHEAD: usize = 2;

/// What the controller wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControllerAction {
    /// Send a request to a permit server.
    RequestPermits(PermitServerId, PermitRequest),
    /// Return a permit to a permit server.
    ReturnPermit(PermitServerId, PermitReturn),
    /// Send an order to a member.
    Restart(RestartOrder),
    /// Hand this primary's group, at this incarnation of it, over to a healthy replica.
    HandOver(NodeId, Incarnation),
    /// For the log: a member advanced.
    Advanced(NodeId, UpgradeState),
    /// For the log: a wave begins.
    WaveStarted(usize),
    /// For the log: the phase changed.
    PhaseChanged(Phase),
}

/// A process that may lead rollouts.
#[derive(Clone, Debug)]
pub struct RolloutController {
    process: u64,
    inventory: Inventory,
    config: RolloutConfig,
    observations: BTreeMap<NodeId, NodeObservation>,
    work: BTreeMap<RolloutId, RolloutWork>,
    request_sequences: BTreeMap<PermitServerId, u64>,
}

/// One tick of one rollout.
struct Tick<'a> {
    now: Micros,
    rollout: &'a mut Rollout,
    work: &'a mut RolloutWork,
    actions: Vec<ControllerAction>,
    /// The members that need a permit, the most wanted first.
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
            work: BTreeMap::new(),
            request_sequences: BTreeMap::new(),
        }
    }

    /// Takes in an observation of a member.
    pub fn on_observation(&mut self, id: NodeId, observation: NodeObservation) {
        let is_newer = self.observations.get(&id).is_none_or(|earlier| observation.supersedes(earlier));
        if self.inventory.node(id).is_some() && is_newer {
            self.observations.insert(id, observation);
        }
    }

    /// Whether a node was last observed as its group's primary.
    pub fn is_primary(&self, id: NodeId) -> bool {
        self.observations.get(&id).is_some_and(|observation| observation.primary)
    }

    fn is_healthy(&self, id: NodeId) -> bool {
        self.observations.get(&id).is_some_and(|observation| observation.healthy)
    }

    /// Takes in a permit server's response. One to another process, or older than one before it, is ignored.
    pub fn on_response(&mut self, server: PermitServerId, response: &PermitResponse) {
        if response.holder != self.process {
            return;
        }
        let Some(work) = self.work.get_mut(&response.rollout) else { return };
        let last = work.last_response.entry(server).or_default();
        if response.request <= *last {
            return;
        }
        *last = response.request;
        work.permits.retain(|_, held| held.server != server);
        for permit in &response.held {
            work.take_permit(server, *permit, self.process);
        }
        let primaries =
            response.rejected.iter().filter(|rejected| rejected.reason == RejectReason::IsPrimary);
        for rejected in primaries {
            work.handover_ordered_at.entry(rejected.id).or_insert(Micros::MIN);
        }
    }

    /// Does what is due now for a rollout that this process leads.
    pub fn on_tick(&mut self, now: Micros, rollout: &mut Rollout) -> Vec<ControllerAction> {
        let mut work = self.work.remove(&rollout.id).unwrap_or_default();
        work.reset_after_pause(now, self.config.observation_ttl);
        let id = rollout.id;
        let mut tick = Tick { now, rollout, work: &mut work, actions: Vec::new(), candidates: Vec::new() };
        self.check_canaries(&mut tick);
        for member in self.relevant_members(&mut tick) {
            self.drive_member(&mut tick, member);
        }
        self.hand_over_primaries(&mut tick);
        self.return_unused_permits(&mut tick);
        self.request_permits(&mut tick);
        let actions = tick.actions;
        self.work.insert(id, work);
        actions
    }

    /// Does what is next for one member.
    fn drive_member(&self, tick: &mut Tick, id: NodeId) {
        let permit = tick.work.permits.get(&id).map(|held| held.permit);
        let state = tick.rollout.state_of(id);
        match next_step(tick.rollout, state, self.observations.get(&id), permit.is_some()) {
            NextStep::Nothing => {}
            NextStep::Await => self.check_ready_timeout(tick, id),
            NextStep::Reached(state) => {
                tick.work.transitions.remove(&id);
                tick.work.handover_ordered_at.remove(&id);
                tick.rollout.advance(id, state);
                tick.actions.push(ControllerAction::Advanced(id, state));
            }
            NextStep::Restart(incarnation, version) => {
                let permit = permit.filter(|permit| permit.incarnation == incarnation);
                self.restart_member(tick, id, incarnation, version, permit);
            }
        }
    }

    /// Orders a member to restart if a permit for its incarnation is held, else requests one.
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
            tick.advance_to_ordered(id, incarnation);
        }
        // Whoever advanced the member held the permit for this incarnation, which is held until the incarnation is over.
        let was_ordered = [UpgradeState::Ordered(incarnation), UpgradeState::RollbackOrdered(incarnation)]
            .contains(&tick.rollout.state_of(id));
        if permit.is_none() && !was_ordered {
            return;
        }
        if tick.work.is_order_due(id, tick.now, self.config.retry_interval) {
            tick.work.last_order_at.insert(id, tick.now);
            let only_if_down = permit.is_none_or(|permit| permit.only_if_down);
            let order = RestartOrder { id, incarnation, version, only_if_down };
            tick.actions.push(ControllerAction::Restart(order));
        }
        self.check_ready_timeout(tick, id);
    }

    /// The members that may need something now, the first to go first.
    fn relevant_members(&self, tick: &mut Tick) -> Vec<NodeId> {
        match tick.rollout.phase() {
            Phase::Forward => self.members_of_wave(tick),
            Phase::Halted(_) => tick.rollout.touched_members().map(|(id, _)| id).collect(),
            Phase::RollingBack(_) => {
                let limit = ROLLBACK_LOOKAHEAD * self.inventory.budget().fleet as usize;
                let mut members = tick.work.shared_permits_of_pending(tick.rollout);
                members.extend(tick.rollout.touched_members().map(|(id, _)| id).take(limit));
                members
            }
        }
    }

    /// The members of the current wave once it may start, until then those that permits are held for.
    fn members_of_wave(&self, tick: &mut Tick) -> Vec<NodeId> {
        let wave = tick.rollout.current_wave();
        if !self.may_start_wave(tick, wave) {
            return tick.work.permits.keys().copied().collect();
        }
        let members = tick.rollout.waves.get(wave).cloned();
        let is_pending = |id: &NodeId| tick.rollout.state_of(*id) == UpgradeState::Pending;
        let was_started = std::mem::replace(&mut tick.work.is_wave_started, true);
        if !was_started && members.as_ref().is_some_and(|members| members.iter().all(is_pending)) {
            tick.actions.push(ControllerAction::WaveStarted(wave));
        }
        members.unwrap_or_default()
    }
}

impl Tick<'_> {
    /// Marks a member as ordered to restart, and counts the attempt if this is a new one.
    fn advance_to_ordered(&mut self, id: NodeId, incarnation: Incarnation) {
        let ordered = match self.rollout.phase() {
            Phase::RollingBack(_) => UpgradeState::RollbackOrdered(incarnation),
            _ => UpgradeState::Ordered(incarnation),
        };
        if self.rollout.advance(id, ordered) {
            self.actions.push(ControllerAction::Advanced(id, ordered));
            self.work.last_order_at.remove(&id);
            self.work.transition(id, self.now, incarnation).count_attempt(incarnation);
        }
    }

    fn change_phase(&mut self, phase: Phase) {
        if self.rollout.set_phase(phase) {
            self.actions.push(ControllerAction::PhaseChanged(phase));
        }
    }

    /// Halts the rollout, and rolls it back if that is configured.
    fn halt(&mut self, reason: HaltReason, config: &RolloutConfig) {
        self.change_phase(Phase::Halted(reason));
        if config.automatic_rollback {
            self.change_phase(Phase::RollingBack(reason));
        }
    }
}
