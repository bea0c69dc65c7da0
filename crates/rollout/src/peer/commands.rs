//! Operators' commands for rollouts.

use super::RolloutPeer;
use crate::{HaltReason, OperatorCommand, Phase, Rollout, RolloutId, TableFull, Version};
use thiserror::Error;

/// The reason why an operator's command had no effect.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// The rollout can't start because too many are unfinished.
    #[error(transparent)]
    TableFull(#[from] TableFull),
    /// There is no rollout to which the command could apply.
    #[error("there is no rollout to which the command applies")]
    NoRollout,
    /// The rollout is in that phase already, or is rolling back.
    #[error("the rollout is in this phase already, or is rolling back")]
    PhaseUnchanged,
}

impl RolloutPeer {
    /// Applies an operator's command, and returns the rollout to which it applied.
    ///
    /// # Errors
    ///
    /// Returns an error if the command had no effect.
    pub fn apply_command(
        &mut self,
        now_ms: u64,
        command: &OperatorCommand,
    ) -> Result<RolloutId, CommandError> {
        match command {
            OperatorCommand::Start { target, previous } => self.start_rollout(now_ms, *target, *previous),
            OperatorCommand::Halt => self.change_phase(command, Phase::Halted(HaltReason::Operator)),
            OperatorCommand::Resume => self.change_phase(command, Phase::Forward),
            OperatorCommand::Undo => self.change_phase(command, Phase::RollingBack(HaltReason::Operator)),
        }
    }

    fn start_rollout(
        &mut self,
        now_ms: u64,
        target: Version,
        previous: Version,
    ) -> Result<RolloutId, CommandError> {
        let id = RolloutId { started_ms: now_ms, started_by: self.identity.rank };
        let is_primary = |id| self.primaries.contains(&id) || self.controller.is_primary(id);
        let members = self.inventory.upgrade_order(is_primary);
        let budget = self.inventory.budget().fleet as usize;
        self.rollouts.start(Rollout::new(id, target, previous, &members, budget))?;
        Ok(id)
    }

    /// Changes the phase of the newest rollout to which the command can apply.
    fn change_phase(&mut self, command: &OperatorCommand, phase: Phase) -> Result<RolloutId, CommandError> {
        // A finished rollout can still be undone.
        let is_eligible =
            |rollout: &&mut Rollout| !rollout.is_finished() || *command == OperatorCommand::Undo;
        let newest = self.rollouts.iter_mut().filter(is_eligible).last();
        let rollout = newest.ok_or(CommandError::NoRollout)?;
        if !rollout.set_phase(phase) {
            return Err(CommandError::PhaseUnchanged);
        }
        Ok(rollout.id)
    }
}
