//! The health gates of a rollout: the canary analysis, the timeout for restarted members, and the
//! conditions for the start of the next wave.

use super::{RolloutController, Tick};
use crate::{CanaryVerdict, HaltReason, NodeId, Phase, UpgradeState};

impl RolloutController {
    /// Runs the canary analysis if it is due, and checks the upgraded members that are not healthy.
    pub(super) fn check_canaries(&self, tick: &mut Tick) {
        let is_due = tick.now - tick.local_state.last_analysis_at >= self.config.analysis_interval;
        if tick.rollout.phase() != Phase::Forward || !is_due {
            return;
        }
        tick.local_state.last_analysis_at = tick.now;
        self.analyze_canaries(tick);
        for id in upgraded_members(tick) {
            if self.is_healthy(id) {
                tick.local_state.transitions.remove(&id);
            } else {
                self.check_ready_timeout(tick, id);
            }
        }
    }

    fn analyze_canaries(&self, tick: &mut Tick) {
        let wave = tick.rollout.current_wave();
        let totals = tick.rollout.total_counts();
        tick.rollout.analysis.evaluate(wave, &totals);
        match tick.rollout.analysis.verdict() {
            CanaryVerdict::NotWorse => {}
            CanaryVerdict::MoreFailures => tick.halt(HaltReason::Failures, &self.config),
            CanaryVerdict::MoreLateAnswers => tick.halt(HaltReason::Latency, &self.config),
        }
    }

    /// Halts a rollout if a member takes too long to become healthy again or was restarted too often.
    pub(super) fn check_ready_timeout(&self, tick: &mut Tick, id: NodeId) {
        let incarnation = self.observations.get(&id).map_or(0, |observation| observation.incarnation);
        let now = tick.now;
        let transition = *tick.local_state.transition(id, now, incarnation);
        let is_late = now - transition.since >= self.config.ready_timeout;
        let has_too_many_attempts = transition.attempts > self.config.max_attempts;
        if tick.rollout.phase() == Phase::Forward && (is_late || has_too_many_attempts) {
            tick.halt(HaltReason::NotReady(id), &self.config);
        }
    }

    /// Returns whether a wave may start. It may if another controller has started it. Otherwise all
    /// members of the earlier waves must be healthy now, and either the soak time has passed or the
    /// canary analysis accepts them.
    pub(super) fn may_start_wave(&self, tick: &mut Tick, wave: usize) -> bool {
        tick.local_state.enter_wave(wave);
        if tick.local_state.is_wave_started || wave == 0 || is_any_touched(tick, wave) {
            return true;
        }
        if !self.are_earlier_waves_healthy(tick, wave) {
            tick.local_state.soaking_since = None;
            return false;
        }
        let soaking_since = *tick.local_state.soaking_since.get_or_insert(tick.now);
        let is_soaked = tick.now - soaking_since >= self.config.soak_time;
        let was_analyzed_since = tick.local_state.last_analysis_at > soaking_since;
        is_soaked || tick.rollout.analysis.is_wave_accepted() && was_analyzed_since
    }

    fn are_earlier_waves_healthy(&self, tick: &Tick, wave: usize) -> bool {
        let is_healthy_now = |id: &NodeId| {
            self.observations.get(id).is_some_and(|observation| {
                observation.healthy && tick.now - observation.at <= self.config.observation_ttl
            })
        };
        tick.rollout.waves.iter().take(wave).flatten().all(is_healthy_now)
    }
}

fn upgraded_members(tick: &Tick) -> Vec<NodeId> {
    let is_upgraded = |state: &UpgradeState| matches!(state, UpgradeState::Upgraded(_));
    tick.rollout.touched_members().filter(|(_, state)| is_upgraded(state)).map(|(id, _)| id).collect()
}

/// Returns whether any member of a wave is no longer pending.
fn is_any_touched(tick: &Tick, wave: usize) -> bool {
    let mut members = tick.rollout.waves.get(wave).into_iter().flatten();
    members.any(|id| tick.rollout.state_of(*id) != UpgradeState::Pending)
}
