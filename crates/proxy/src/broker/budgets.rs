//! The fleet's budgets on a request's way: what they do not allow is told to the router, whose call it stays.

use super::*;

/// What budgets did not allow.
#[derive(Default)]
pub(super) struct Barred {
    /// Whether the router was told that no attempt beyond the first may be sent.
    retries: bool,
    /// Members that were not probed; the router hears of them after the event in hand.
    pub(super) probes: VecDeque<HostId>,
}

impl Broker {
    /// Whether a budget has no room for one more request of this group.
    pub(super) fn denied(&mut self, group: GroupId) -> bool {
        let denied = self.shared.budgets.as_ref().is_some_and(|budgets| !budgets.request(group.0));
        if denied {
            self.counts.one("budget", "denied", "");
        }
        denied
    }

    /// Tells the router whether attempts beyond the first may be sent, where that has changed.
    pub(super) fn bar_retries(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let barred = self.shared.budgets.as_ref().is_some_and(|budgets| !budgets.could_retry());
        if barred != std::mem::replace(&mut self.barred.retries, barred) {
            self.router.handle(now, routing::Event::RetriesAllowed(!barred), actions);
        }
    }

    /// Tells the router of probes that no budget allowed: it decides without their reports, and no member is blamed.
    pub(super) fn settle_probes(&mut self) {
        while let Some(host) = self.barred.probes.pop_front() {
            self.counts.one("probed", "denied", "");
            let probed = ProbeResult { host, answered: false, role: None, position: None, queued: None };
            self.route(self.clock.now(), routing::Event::ProbeFinished(probed));
        }
    }

    /// Breaks attempts off whose connections must go since the fleet's budget has none for them any more, the oldest
    /// first; what is idle goes as pools are tended.
    pub(super) fn break_off(&mut self) {
        let over: Vec<(HostId, u64)> =
            self.members.iter().map(|(host, m)| (*host, m.excess().overdue)).collect();
        for (host, overdue) in over.into_iter().filter(|(_, overdue)| *overdue > 0) {
            let here = |f: &Flight| {
                f.host == host && matches!(f.stage.get(), AttemptStage::Writing | AttemptStage::Written)
            };
            let out = self.flights.iter().filter(|(_, f)| here(f)).map(|(key, f)| (f.sent, *key));
            let mut out: Vec<_> = out.collect();
            out.extend(self.passing.at(host));
            out.sort_unstable();
            for (_, (id, attempt)) in out.into_iter().take(overdue as usize) {
                self.counts.one("budget", "broken_off", "");
                match self.passing.has(&(id, attempt)) {
                    true => {
                        self.passed(id, attempt, AttemptReport::without_answer(AttemptOutcome::Cancelled))
                    }
                    false => self.end(id, attempt, AttemptOutcome::Cancelled),
                }
            }
        }
        self.settle();
    }
}
