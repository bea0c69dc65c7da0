//! What is next for one member of a rollout, from how far it is, what was observed of it, and the phase.

use crate::{Incarnation, NodeObservation, Phase, Rollout, UpgradeState, Version};

/// What is next for one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Nothing, or nothing before something else happens.
    Nothing,
    /// The member is in transition.
    Await,
    /// This incarnation is to end and that version to start. It takes a permit for the incarnation, and is repeated until
    /// it is observed.
    Restart(Incarnation, Version),
    /// The member was observed to have reached this state.
    Reached(UpgradeState),
}

/// What is next for a member. `has_permit`: the rollout holds a permit for it.
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
        // Another controller restarted it, which is not known here yet.
        UpgradeState::Pending if runs_target => NextStep::Await,
        UpgradeState::Pending => NextStep::Restart(current, rollout.target),
        UpgradeState::Ordered(ordered) if current == ordered => NextStep::Restart(ordered, rollout.target),
        UpgradeState::Ordered(ordered) if current > ordered && observation.healthy && runs_target => {
            NextStep::Reached(UpgradeState::Upgraded(current))
        }
        // It ended by itself before the order arrived, and restarted with its old version: the order is void.
        UpgradeState::Ordered(ordered) if current > ordered && observation.healthy => {
            NextStep::Restart(current, rollout.target)
        }
        UpgradeState::Ordered(_) => NextStep::Await,
        _ => NextStep::Nothing,
    }
}

/// An order that may have been sent can't be revoked: it is repeated until it is followed.
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
        // A permit that others learned of can't be returned: it is used, to start the old version.
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
