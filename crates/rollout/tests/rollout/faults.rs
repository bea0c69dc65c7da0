//! The faults that the hard cases inject.

use crate::fleet::SECOND;
use crate::simulation::{LogEntry, Simulation};
use rand::Rng;
use wharfplank_rollout::{
    ControllerAction, HaltReason, Micros, OperatorCommand, Phase, RolloutId, UpgradeState, Version,
};

/// The time after which no more faults are injected.
const FAULTS_UNTIL: Micros = 150 * SECOND;

/// Returns the kind of a controller's action, as the number that [`Run::after_kind`] uses.
fn kind_of(action: &ControllerAction) -> usize {
    match action {
        ControllerAction::WaveStarted(_) => 0,
        ControllerAction::Advanced(_, UpgradeState::Ordered(_)) => 1,
        ControllerAction::Advanced(_, UpgradeState::Upgraded(_)) => 2,
        ControllerAction::PhaseChanged(_) => 3,
        ControllerAction::Advanced(_, UpgradeState::RollbackOrdered(_)) => 4,
        _ => 5,
    }
}

/// Returns whether a leader performed an action of this kind in the current step.
fn has_just_performed(simulation: &Simulation, kind: usize) -> bool {
    let is_now = |entry: &&LogEntry| entry.at == simulation.now;
    simulation.log.iter().rev().take_while(is_now).any(|entry| kind_of(&entry.action) == kind)
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Case {
    NoFaults,
    TwoRollouts,
    LeaderKilled,
    LeaderPaused,
    Partition,
    PermitServerKilled,
    LedgerLost,
    NeverReady,
    HaltedAndResumed,
    RolledBack,
    CrashesDuringOutages,
    Drains,
    HourDelay,
}

pub const CASES: [Case; 13] = [
    Case::NoFaults,
    Case::TwoRollouts,
    Case::LeaderKilled,
    Case::LeaderPaused,
    Case::Partition,
    Case::PermitServerKilled,
    Case::LedgerLost,
    Case::NeverReady,
    Case::HaltedAndResumed,
    Case::RolledBack,
    Case::CrashesDuringOutages,
    Case::Drains,
    Case::HourDelay,
];

/// Returns the proxy that leads, which is the last one that logged an action.
fn leader(simulation: &Simulation) -> usize {
    simulation.log.last().map_or(0, |entry| entry.proxy)
}

pub struct Run {
    pub simulation: Simulation,
    pub case: Case,
    pub rollout: RolloutId,
    pub target: Version,
    /// The time at which the next fault is injected.
    pub next_fault_at: Micros,
    /// The kind of action after which the leader is killed or paused. `None` means at any time.
    pub after_kind: Option<usize>,
    /// Whether an operator's command was issued.
    pub command_issued: bool,
}

impl Run {
    pub fn inject_fault(&mut self) {
        let now = self.simulation.now;
        let simulation = &mut self.simulation;
        let later = now + simulation.rng.random_range(3 * SECOND..10 * SECOND);
        if now < self.next_fault_at || now > FAULTS_UNTIL {
            return;
        }
        let targets_leader = matches!(self.case, Case::LeaderKilled | Case::LeaderPaused);
        if targets_leader && !self.after_kind.is_none_or(|kind| has_just_performed(simulation, kind)) {
            return;
        }
        self.next_fault_at = later;
        let leader = leader(simulation);
        let any_member = simulation.rng.random_range(0..simulation.fleet.members.len());
        let out = simulation.fleet.out_by_order(now);
        match self.case {
            Case::TwoRollouts => simulation.proxies.iter_mut().for_each(|proxy| proxy.side = false),
            Case::LeaderKilled => simulation.proxies[leader].alive = false,
            Case::LeaderPaused => {
                let pause = simulation.rng.random_range(2 * SECOND..15 * SECOND);
                simulation.proxies[leader].paused_until = now + pause;
            }
            Case::PermitServerKilled | Case::LedgerLost => self.kill_permit_server(),
            Case::Partition => self.toggle_partition(),
            Case::HaltedAndResumed | Case::RolledBack | Case::HourDelay => self.issue_command(),
            Case::CrashesDuringOutages if out < 3 => self.next_fault_at = now,
            Case::CrashesDuringOutages => {
                simulation.fleet.members[any_member].crash(now, now + 12 * SECOND);
            }
            Case::Drains => {
                let member = &mut simulation.fleet.members[any_member];
                member.drained_at = member.drained_at.is_none().then_some(now);
            }
            _ => {}
        }
    }

    fn kill_permit_server(&mut self) {
        let simulation = &mut self.simulation;
        let server = simulation.rng.random_range(0..simulation.inventory.permit_servers() as usize);
        simulation.proxies[server].alive = false;
        if self.case == Case::LedgerLost {
            simulation.proxies[server].disk = None;
        }
    }

    /// Starts or ends a partition between the first two proxies and the others. At random, the members
    /// are partitioned as well or stay reachable by all proxies.
    fn toggle_partition(&mut self) {
        let simulation = &mut self.simulation;
        let is_partitioned = !simulation.proxies[0].side;
        let with_members: bool = simulation.rng.random();
        for proxy in &mut simulation.proxies[..2] {
            proxy.side = is_partitioned;
        }
        for member in &mut simulation.fleet.members {
            member.side = (is_partitioned && with_members).then_some(member.node.zone == 0);
        }
    }

    /// Issues an operator's command at a random proxy.
    fn issue_command(&mut self) {
        let any_proxy = self.simulation.rng.random_range(0..self.simulation.proxies.len());
        let peer = &mut self.simulation.proxies[any_proxy].peer;
        let is_halted = peer.rollouts().iter().any(|rollout| matches!(rollout.phase(), Phase::Halted(_)));
        let command = if self.case == Case::RolledBack && self.command_issued {
            OperatorCommand::Undo
        } else if is_halted {
            OperatorCommand::Resume
        } else {
            OperatorCommand::Halt
        };
        // The rollout may be finished or halted already.
        let _ = peer.apply_command(0, &command);
        self.command_issued = true;
    }

    /// Restarts killed proxies. After the last fault it repairs everything.
    pub fn repair(&mut self) {
        let simulation = &mut self.simulation;
        let faults_are_over = simulation.now > FAULTS_UNTIL;
        for index in 0..simulation.proxies.len() {
            let is_dead = !simulation.proxies[index].alive;
            if is_dead && (faults_are_over || simulation.rng.random::<f64>() < 0.02) {
                simulation.start_proxy(index);
            }
            simulation.proxies[index].side &= !faults_are_over;
        }
        if faults_are_over {
            self.repair_members();
            self.resume_halted();
        }
    }

    fn repair_members(&mut self) {
        for member in &mut self.simulation.fleet.members {
            member.side = None;
            member.drained_at = None;
        }
    }

    fn resume_halted(&mut self) {
        let halted = Phase::Halted(HaltReason::Operator);
        for proxy in &mut self.simulation.proxies {
            if proxy.peer.rollouts().iter().any(|rollout| rollout.phase() == halted) {
                // The rollout may be rolling back already.
                let _ = proxy.peer.apply_command(0, &OperatorCommand::Resume);
            }
        }
    }
}
