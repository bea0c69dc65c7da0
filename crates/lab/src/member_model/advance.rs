//! The changes of members over time: faults, restarts, failovers and log replication.

use super::{Member, MemberModel, Micros};
use crate::timeline::{FaultKind, ScriptedFault, Timeline};

/// The delay after which a replica receives the log.
const REPLICATION_DELAY: Micros = 8_000;
/// The speed at which a replica applies the log that it lags behind, as a multiple of real time.
const CATCH_UP_SPEED: f64 = 3.0;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// Whether a change concerns the endpoint list of service discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// The endpoint list stays as it was.
    Unchanged,
    /// The endpoint list has a new version.
    Changed,
}

impl MemberModel {
    /// Advances the model to `now`: faults start and end, failed members restart, groups fail over, and
    /// replicas apply the log.
    pub fn advance(&mut self, now: Micros) -> ListChange {
        let elapsed = (now - self.now).max(0) as f64;
        self.now = now;
        let second = self.script_second();
        let mut is_list_changed = false;
        for member in &mut self.members {
            let was_draining = member.is_draining;
            member.apply_faults(&self.timeline, second);
            is_list_changed |= member.is_draining != was_draining;
            is_list_changed |= member.restart_if_recovered(&self.timeline, self.script_start, now);
        }
        is_list_changed |= self.fail_over();
        self.replicate(elapsed);
        if is_list_changed {
            ListChange::Changed
        } else {
            ListChange::Unchanged
        }
    }

    /// Returns the seconds since the script began; negative before.
    fn script_second(&self) -> f64 {
        (self.now - self.script_start) as f64 / 1e6
    }

    /// Completes the failovers that are due: the most advanced replica becomes the primary, and the old
    /// primary comes back as a replica. Returns whether there was one.
    fn fail_over(&mut self) -> bool {
        let mut is_changed = false;
        for group in self.groups_to_fail_over() {
            // This happens once for each group: its first member is the primary until then.
            let Some(old_primary) = self.initial_primary(group) else { continue };
            let Some(new_primary) = self.most_advanced_replica(group, old_primary) else { continue };
            self.members[old_primary].is_primary = false;
            self.members[new_primary].is_primary = true;
            is_changed = true;
        }
        is_changed
    }

    fn groups_to_fail_over(&self) -> Vec<usize> {
        let second = self.script_second();
        let faults = self.timeline.scripted_faults.iter();
        faults
            .filter(|fault| fault.kind == FaultKind::Failover && second >= (fault.at + fault.duration) as f64)
            .filter_map(|fault| fault.targets.trim_start_matches('g').parse().ok())
            .collect()
    }

    /// Returns the first member of a group, while it is the primary.
    fn initial_primary(&self, group: usize) -> Option<usize> {
        let first =
            self.members.iter().position(|member| member.group == group && member.name.ends_with("m0"))?;
        self.members[first].is_primary.then_some(first)
    }

    fn most_advanced_replica(&self, group: usize, primary: usize) -> Option<usize> {
        let candidates =
            self.members.iter().enumerate().filter(|(index, member)| {
                member.group == group && *index != primary && !member.is_unresponsive
            });
        let most_advanced =
            candidates.max_by(|(_, a), (_, b)| a.applied_position.total_cmp(&b.applied_position));
        most_advanced.map(|(index, _)| index)
    }

    /// Advances the positions of all members.
    fn replicate(&mut self, elapsed: f64) {
        for index in 0..self.members.len() {
            let has_primary = self.has_responsive_primary(self.members[index].group);
            self.members[index].replicate(self.now, elapsed, has_primary);
        }
    }

    fn has_responsive_primary(&self, group: usize) -> bool {
        self.members
            .iter()
            .any(|member| member.group == group && member.is_primary && !member.is_unresponsive)
    }
}

impl Member {
    /// Sets the member's state from its behavior and the faults that are active at a second of the script.
    fn apply_faults(&mut self, timeline: &Timeline, second: f64) {
        self.apply_rate = 1.0;
        self.slowdown = self.behavior.slowdown;
        self.is_unresponsive = self.behavior.is_down;
        self.is_draining = self.behavior.is_draining;
        for fault in timeline.scripted_faults.iter().filter(|fault| fault.is_active_at(second)) {
            self.apply_fault(fault);
        }
    }

    fn apply_fault(&mut self, fault: &ScriptedFault) {
        let factor = fault.percent as f64 / 100.0;
        let is_named = fault.has_target(&self.name);
        match fault.kind {
            FaultKind::SlowApply if is_named => self.apply_rate = factor,
            FaultKind::SlowMember if is_named => self.slowdown = factor,
            FaultKind::Drain => self.is_draining |= is_named,
            FaultKind::Partition | FaultKind::ZoneLoss => self.is_unresponsive |= fault.has_target(self.zone),
            FaultKind::Failover => {
                self.is_unresponsive |= self.is_primary && fault.has_target(&format!("g{}", self.group));
            }
            FaultKind::SlowApply | FaultKind::SlowMember | FaultKind::KillProxy => {}
        }
    }

    /// Restarts a member whose zone failed, when the fault has ended: it keeps its position, and warms up
    /// again. Returns whether it restarted.
    fn restart_if_recovered(&mut self, timeline: &Timeline, script_start: Micros, now: Micros) -> bool {
        let faults = timeline.scripted_faults.iter();
        let losses = faults.filter(|fault| fault.kind == FaultKind::ZoneLoss && fault.has_target(self.zone));
        let ends =
            losses.map(|fault| script_start + (fault.at + fault.duration) as Micros * MICROS_PER_SECOND);
        let Some(recovered_at) = ends.filter(|end| *end <= now).max() else { return false };
        if recovered_at <= self.started_at {
            return false;
        }
        self.started_at = recovered_at;
        true
    }

    /// Advances the member's position by the log that it applied in the elapsed time, in µs. A replica
    /// without a primary or with a long read in flight applies nothing.
    fn replicate(&mut self, now: Micros, elapsed: f64, has_primary: bool) {
        if self.is_unresponsive {
            return;
        }
        if self.is_primary {
            self.applied_position = now as f64;
            return;
        }
        if !has_primary || self.long_reads_in_flight > 0 {
            return;
        }
        let received = (now - REPLICATION_DELAY) as f64;
        let speed = if self.apply_rate < 1.0 { self.apply_rate } else { CATCH_UP_SPEED };
        let applied = (self.applied_position + elapsed * speed).min(received);
        self.applied_position = applied.max(self.applied_position);
    }
}
