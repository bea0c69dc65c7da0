//! The status text for operators, which is written next to the signal file.

use super::RolloutService;
use crate::{AttemptCounts, CanaryCounts, HaltReason, Phase, Rollout, RolloutId, UpgradeState};
use std::fmt::Write;

/// Returns a rollout's name in the status, the log and the records.
pub fn rollout_name(rollout: RolloutId) -> String {
    format!("{}.{}", rollout.started_ms, rollout.started_by)
}

/// Returns the name of a halt reason.
pub fn reason_name(reason: HaltReason) -> String {
    match reason {
        HaltReason::Operator => String::from("operator"),
        HaltReason::Failures => String::from("refusals"),
        HaltReason::Latency => String::from("late"),
        HaltReason::NotReady(id) => format!("not_ready:{id:016x}"),
        HaltReason::OtherRollout(version) => format!("other_release:{version}"),
    }
}

/// Returns the name of a phase, and the name of its reason.
pub fn phase_names(phase: Phase) -> (&'static str, String) {
    match phase {
        Phase::Forward => ("forward", String::from("-")),
        Phase::Halted(reason) => ("halted", reason_name(reason)),
        Phase::RollingBack(reason) => ("back", reason_name(reason)),
    }
}

impl RolloutService {
    /// Returns the status: the result of the last command, the state of this proxy, and a line for each
    /// rollout that it knows, the newest first.
    pub fn status(&self) -> String {
        let mut text = format!("answer {}\n", self.last_answer);
        let leads = self.peer.is_leader();
        // Writing to a string can't fail.
        let _ = writeln!(text, "proxy drives={leads} bank={}", self.permit_server_state());
        let oldest_first: Vec<&Rollout> = self.peer.rollouts().iter().collect();
        for rollout in oldest_first.into_iter().rev() {
            write_rollout(&mut text, rollout);
        }
        text
    }

    fn permit_server_state(&self) -> &'static str {
        if !self.peer.is_permit_server() {
            "none"
        } else if self.peer.is_permit_server_closed() {
            "closed"
        } else {
            "open"
        }
    }
}

/// The number of members of a rollout in each state.
#[derive(Default)]
struct StateCounts {
    pending: usize,
    ordered: usize,
    upgraded: usize,
    rollback_ordered: usize,
    rolled_back: usize,
}

impl StateCounts {
    fn of(rollout: &Rollout) -> StateCounts {
        let mut counts = StateCounts::default();
        for id in rollout.members() {
            match rollout.state_of(*id) {
                UpgradeState::Pending => counts.pending += 1,
                UpgradeState::Ordered(_) => counts.ordered += 1,
                UpgradeState::Upgraded(_) => counts.upgraded += 1,
                UpgradeState::RollbackOrdered(_) => counts.rollback_ordered += 1,
                UpgradeState::RolledBack => counts.rolled_back += 1,
            }
        }
        counts
    }
}

fn write_rollout(text: &mut String, rollout: &Rollout) {
    let states = StateCounts::of(rollout);
    let (phase, reason) = phase_names(rollout.phase());
    let CanaryCounts { canary, baseline } = rollout.total_counts();
    let of_both = |field: fn(&AttemptCounts) -> u64| format!("{}/{}", field(&canary), field(&baseline));
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "release {} target={} back={} course={phase} reason={reason} over={} wave={}/{} waiting={} \
         ordered={} released={} ordered_back={} undone={} answers={} refused={} late={}",
        rollout_name(rollout.id),
        rollout.target,
        rollout.rollback_version(),
        rollout.is_finished(),
        rollout.current_wave(),
        rollout.waves.len(),
        states.pending,
        states.ordered,
        states.upgraded,
        states.rollback_ordered,
        states.rolled_back,
        of_both(|counts| counts.answered),
        of_both(|counts| counts.failed),
        of_both(|counts| counts.late),
    );
}
