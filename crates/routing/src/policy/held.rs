//! Requests from their arrival to their end: sent, held and tried again, or given up.

use super::*;

/// Weight of an arrival in the usual worth.
const DENSITY_WEIGHT: f64 = 0.05;
/// The part of its client's wait that a request may be held for without having reached a member.
const HELD_MOST: f64 = 0.47;
/// When a refused client is told to come back: overload and failovers last longer than a retry takes.
const RETRY_AFTER: Micros = 2_000_000;

impl Router {
    pub(super) fn request(&mut self, asked: Request, within: bool) {
        let (id, now) = (asked.id, self.now);
        let Some(class) = self.settings.classes.get(asked.class.0) else {
            return self.out.push(Action::Reject { id, retry_after: 0, reason: RejectReason::UnknownClass });
        };
        let worthless =
            if class.late_weight > 0.0 { Micros::MAX } else { now.saturating_add(class.latency_objective) };
        let density = class.priority_weight / self.usual[asked.class.0];
        let weight = if self.density == 0.0 { 1.0 } else { DENSITY_WEIGHT };
        self.density += weight * (density - self.density);
        let pending = Pending {
            arrived: now,
            until: asked.deadline.min(worthless),
            attempts: 0,
            flying: None,
            ran_at: asked.may_have_run.then_some(now),
            shunned: BTreeSet::new(),
            probed: None,
            reached: false,
            asked,
        };
        self.pending.insert(id, pending);
        if !within {
            return self.give_up(id, RejectReason::OverQuota);
        }
        self.dispatch(id);
    }

    /// Sends a request that is not out, holds it, or gives it up where it cannot be served in time.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        let Some(p) = self.pending.get(&id).filter(|p| p.flying.is_none()) else { return };
        let class = &self.settings.classes[p.asked.class.0];
        if self.closing || (class.idempotency == Idempotency::NotIdempotent && p.ran_at.is_some()) {
            return self.give_up(
                id,
                if self.closing { RejectReason::ShuttingDown } else { RejectReason::MayHaveRun },
            );
        }
        let until = p.until.min(Self::repeat_ends(p, class.idempotency).unwrap_or(Micros::MAX));
        let left = until.saturating_sub(self.now) as f64;
        // One that no member has seen is told early, while coming back is still worth the client's time.
        let waited = (self.now - p.arrived) as f64 / (p.asked.deadline - p.arrived).max(1) as f64;
        let unseen = !p.reached && waited > HELD_MOST;
        let spent = p.attempts >= if self.once { 1 } else { self.settings.max_attempts };
        if left < self.usual[p.asked.class.0] || spent || unseen {
            let late = if spent { RejectReason::AttemptsExhausted } else { RejectReason::DeadlineExceeded };
            return self.give_up(id, if unseen { RejectReason::QueuedTooLong } else { late });
        }
        let (group, consistency) = (p.asked.group, class.consistency);
        let bound = matches!(consistency, Consistency::Write | Consistency::Strong);
        if !self.admitted(id, p, bound, 1.0) {
            return self.give_up(id, RejectReason::LoadShed);
        }
        let host = match consistency {
            Consistency::Write => self.write(id, group),
            Consistency::Strong => self.ask_leader(id, group, false),
            _ => self.read(id, group),
        };
        match (host, self.groups.get_mut(&group)) {
            (Some(host), _) => self.send(id, host),
            (None, Some(g)) => drop(g.held.insert(id)),
            (None, None) => self.give_up(id, RejectReason::NoMember),
        }
    }

    /// Until when a repeat of what may have run is recognised.
    fn repeat_ends(p: &Pending, idempotency: Idempotency) -> Option<Micros> {
        let Idempotency::Keyed { window, .. } = idempotency else { return None };
        Some(p.ran_at?.saturating_add(window) - SWEEP)
    }

    fn send(&mut self, id: RequestId, host: HostId) {
        let (now, budget) = (self.now, self.budget(&self.members[&host]));
        let (Some(p), Some(m)) = (self.pending.get_mut(&id), self.members.get_mut(&host)) else { return };
        let (attempt, class, key) = (AttemptNo(p.attempts), p.asked.class, p.asked.session);
        m.flights.push(Flight { id, attempt, class, key, sent: now, cancelled: false });
        p.attempts += 1;
        p.flying = Some(host);
        p.probed = None;
        (m.budget, m.budget_at) = (budget - 1.0, now);
        let class = &self.settings.classes[class.0];
        // A bound counts from the last byte sent, and the position ages until then; the primary's does not.
        let fresh_until = match class.consistency {
            Consistency::BoundedStaleness(bound) if m.primary_at <= m.replica_at => Some(m.position + bound),
            _ => None,
        };
        let holds_until = fresh_until.into_iter().chain(Self::repeat_ends(p, class.idempotency)).min();
        self.out.push(Action::Send { id, host, timeout: (p.until - now).max(1), holds_until });
    }

    /// What a request that never reached a member lacked.
    fn lack(&self, p: &Pending) -> Option<RejectReason> {
        let (group, consistency) = (p.asked.group, self.settings.classes[p.asked.class.0].consistency);
        self.groups.get(&group)?;
        let (leader, minimum) = (self.leader(group), self.minimum(p)?);
        if matches!(consistency, Consistency::Write | Consistency::Strong) {
            return leader.is_none_or(|h| !self.members[&h].usable()).then_some(RejectReason::NoPrimary);
        }
        let others = self.kin(group).filter(|(h, m)| Some(*h) != leader && m.status == EndpointStatus::Up);
        let known = others.map(|(_, m)| m.position).max().unwrap_or(0);
        (known < minimum).then_some(RejectReason::TooStale { needed: minimum, known })
    }

    pub(super) fn give_up(&mut self, id: RequestId, reason: RejectReason) {
        let Some(p) = self.finish(id) else { return };
        let waited =
            !p.reached && matches!(reason, RejectReason::QueuedTooLong | RejectReason::DeadlineExceeded);
        let reason = self.lack(&p).filter(|_| waited).unwrap_or(reason);
        let idempotency = self.settings.classes[p.asked.class.0].idempotency;
        let safe =
            matches!(idempotency, Idempotency::Idempotent | Idempotency::Keyed { all_groups: true, .. });
        // An attempt that is still out may run: at the process's end there can be one.
        let harmless = safe || (p.ran_at.is_none() && p.flying.is_none());
        let refusal =
            Action::Reject { id, retry_after: RETRY_AFTER.min(self.settings.max_retry_after), reason };
        self.out.push(if harmless { refusal } else { Action::Fail { id, reason } });
    }

    pub(super) fn finish(&mut self, id: RequestId) -> Option<Pending> {
        let p = self.pending.remove(&id)?;
        let _ = self.groups.get_mut(&p.asked.group).map(|g| g.held.remove(&id));
        Some(p)
    }

    /// Tries all that a group holds again: what still cannot be sent is held anew.
    pub(super) fn wake(&mut self, group: GroupId) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        // Most worth for the work first, then the newest, which has most time left.
        let rank = |id: &RequestId| {
            let p = self.pending.get(id)?;
            let class = &self.settings.classes[p.asked.class.0];
            let part = if self.now - p.arrived < class.latency_objective { 1.0 } else { class.late_weight };
            Some((class.priority_weight * part / self.usual[p.asked.class.0], p.arrived, *id))
        };
        let mut held: Vec<_> = std::mem::take(&mut g.held).iter().filter_map(rank).collect();
        held.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        held.into_iter().for_each(|(_, _, id)| self.dispatch(id));
    }

    pub(super) fn wake_all(&mut self) {
        let groups: Vec<GroupId> = self.groups.keys().copied().collect();
        groups.into_iter().for_each(|group| self.wake(group));
    }
}
