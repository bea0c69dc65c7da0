//! The next step for one member of a rollout, derived from its upgrade state, its last observation and
//! the rollout's phase.

use crate::{Incarnation, NodeObservation, Phase, Rollout, UpgradeState, Version};

/// The next step for one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// No step, or none until something else happens.
    Nothing,
    /// The member is restarting; wait for it.
    Await,
    /// End this incarnation and start that version. This requires a permit for the incarnation, and is
    /// repeated until the restart is observed.
    Restart(Incarnation, Version),
    /// The member was observed to have reached this state.
    Reached(UpgradeState),
}

/// Returns the next step for a member. `has_permit` is whether the rollout holds a permit for it.
pub(super) fn next_step(
    rollout: &Rollout,
    state: UpgradeState,
    observation: Option<&NodeObservation>,
    has_permit: bool,
) -> NextStep {
    let Some(observation) = observation else { return NextStep::Nothing };
    match rollout.phase() {
        Phase::Forward => next_forward(rollout, state, observation),
        Phase::Halted(_) => next_halted(rollout, state, observation),
        Phase::RollingBack(_) => next_rolling_back(rollout, state, observation, has_permit),
    }
}

fn next_forward(rollout: &Rollout, state: UpgradeState, observation: &NodeObservation) -> NextStep {
    let current = observation.incarnation;
    let runs_target = observation.version == rollout.target;
    match state {
        UpgradeState::Pending if runs_target && observation.healthy => {
            NextStep::Reached(UpgradeState::Upgraded(current))
        }
        // Another controller restarted it, and this one has not received that state yet.
        UpgradeState::Pending if runs_target => NextStep::Await,
        UpgradeState::Pending => NextStep::Restart(current, rollout.target),
        UpgradeState::Ordered(ordered) if current == ordered => NextStep::Restart(ordered, rollout.target),
        UpgradeState::Ordered(ordered) if current > ordered && observation.healthy && runs_target => {
            NextStep::Reached(UpgradeState::Upgraded(current))
        }
        // The process ended for another reason before the order arrived, and restarted with its old
        // version, so the order has no effect.
        UpgradeState::Ordered(ordered) if current > ordered && observation.healthy => {
            NextStep::Restart(current, rollout.target)
        }
        UpgradeState::Ordered(_) => NextStep::Await,
        _ => NextStep::Nothing,
    }
}

/// Returns the next step in a halted rollout. An order that may have been sent can't be revoked, so it is
/// repeated until the member has followed it.
fn next_halted(rollout: &Rollout, state: UpgradeState, observation: &NodeObservation) -> NextStep {
    let current = observation.incarnation;
    let is_upgraded = observation.healthy && observation.version == rollout.target;
    match state {
        UpgradeState::Ordered(ordered) if current == ordered => NextStep::Restart(ordered, rollout.target),
        UpgradeState::Ordered(ordered) if current > ordered && is_upgraded => {
            NextStep::Reached(UpgradeState::Upgraded(current))
        }
        UpgradeState::Ordered(_) => NextStep::Await,
        _ => NextStep::Nothing,
    }
}

fn next_rolling_back(
    rollout: &Rollout,
    state: UpgradeState,
    observation: &NodeObservation,
    has_permit: bool,
) -> NextStep {
    let current = observation.incarnation;
    let restart = NextStep::Restart(current, rollout.rollback_version());
    let runs_other_version = observation.version != rollout.target;
    match state {
        // A shared permit can't be returned, so it is used to start the old version.
        UpgradeState::Pending | UpgradeState::RolledBack if has_permit => restart,
        UpgradeState::Pending | UpgradeState::RolledBack => NextStep::Nothing,
        UpgradeState::Ordered(ordered) | UpgradeState::RollbackOrdered(ordered) if current == ordered => {
            restart
        }
        UpgradeState::Ordered(ordered) | UpgradeState::RollbackOrdered(ordered) if current < ordered => {
            NextStep::Await
        }
        _ if runs_other_version && observation.healthy => NextStep::Reached(UpgradeState::RolledBack),
        _ if runs_other_version => NextStep::Await,
        _ => restart,
    }
}
