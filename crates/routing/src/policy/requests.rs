//! The life cycle of a request from its arrival to its final answer: dispatching, queueing, retrying and
//! giving up.

use super::{
    Action, Consistency, EndpointStatus, GroupId, HostId, Idempotency, Micros, PendingRequest, RejectReason,
    Request, RequestId, Role, Router,
};
use std::collections::BTreeSet;

/// The fraction of the time to its deadline for which a request may be queued without having reached a
/// member.
const MAX_QUEUED_FRACTION: f64 = 0.47;
/// The Retry-After span of rejections. Overload and failovers last longer than a retry takes.
const RETRY_AFTER: Micros = 2_000_000;

impl Router {
    /// Handles a client's request.
    pub(super) fn on_request(&mut self, request: Request) {
        let id = request.id;
        if self.accept(request) {
            self.dispatch(id);
        }
    }

    /// Handles a client's request that exceeds a fleet-wide quota.
    pub(super) fn on_request_over_quota(&mut self, request: Request) {
        let id = request.id;
        if self.accept(request) {
            self.give_up(id, RejectReason::OverQuota);
        }
    }

    /// Adds a request to those pending. Rejects one of an unknown class and returns `false`.
    fn accept(&mut self, request: Request) -> bool {
        let (id, now) = (request.id, self.now);
        let Some(class) = self.settings.classes.get(request.class.0) else {
            self.actions.push(Action::Reject { id, retry_after: 0, reason: RejectReason::UnknownClass });
            return false;
        };
        let objective_ends =
            if class.late_weight > 0.0 { Micros::MAX } else { now.saturating_add(class.latency_objective) };
        self.value_density.observe(class.priority_weight / self.typical_latency[request.class.0]);
        self.request_work.record_arrival(request.class);
        if let Some(group) = self.groups.get_mut(&request.group) {
            group.arrivals.record(now);
        }
        let pending = PendingRequest {
            arrived_at: now,
            useful_until: request.deadline.min(objective_ends),
            attempts: 0,
            in_flight_at: None,
            may_have_run_since: request.may_have_run.then_some(now),
            excluded: BTreeSet::new(),
            position_probe: None,
            has_reached_member: false,
            request,
        };
        self.pending.insert(id, pending);
        true
    }

    /// Sends a request that is not in flight, queues it, or gives it up if it cannot be served in time.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get(&id).filter(|pending| pending.in_flight_at.is_none()) else {
            return;
        };
        if let Some(reason) = self.reason_not_to_send(id, pending) {
            return self.give_up(id, reason);
        }
        let group = pending.request.group;
        match self.choose_member(id, group) {
            Some(host) => self.send(id, host),
            None => self.enqueue(id, group),
        }
    }

    /// The reason to give the request up rather than send or queue it; `None` if there is none.
    fn reason_not_to_send(&self, id: RequestId, pending: &PendingRequest) -> Option<RejectReason> {
        let class = &self.settings.classes[pending.request.class.0];
        if self.sending_stopped {
            return Some(RejectReason::ShuttingDown);
        }
        if class.idempotency == Idempotency::NotIdempotent && pending.may_have_run_since.is_some() {
            return Some(RejectReason::MayHaveRun);
        }
        // A request that has not reached any member is rejected while the client still has time for a retry.
        if !pending.has_reached_member && pending.waited_fraction(self.now) > MAX_QUEUED_FRACTION {
            return Some(RejectReason::QueuedTooLong);
        }
        let attempt_limit = if self.retries_forbidden { 1 } else { self.settings.max_attempts };
        if pending.attempts >= attempt_limit {
            return Some(RejectReason::AttemptsExhausted);
        }
        let repeat_ends = pending.repeat_recognised_until(class.idempotency).unwrap_or(Micros::MAX);
        let time_left = pending.useful_until.min(repeat_ends).saturating_sub(self.now) as f64;
        if time_left < self.typical_latency[pending.request.class.0] {
            return Some(RejectReason::DeadlineExceeded);
        }
        let role = match class.consistency {
            Consistency::Write | Consistency::Strong => Role::Primary,
            _ => Role::Replica,
        };
        (!self.admits(id, pending, role, 1.0)).then_some(RejectReason::LoadShed)
    }

    /// The member to send the request to now; `None` if it must wait.
    fn choose_member(&mut self, id: RequestId, group: GroupId) -> Option<HostId> {
        let class = self.pending.get(&id)?.request.class;
        match self.settings.classes[class.0].consistency {
            Consistency::Write => self.choose_for_write(id, group),
            Consistency::Strong => self.choose_primary(id, group),
            _ => self.choose_for_read(id, group),
        }
    }

    fn send(&mut self, id: RequestId, host: HostId) {
        let now = self.now;
        let Some(class) = self.pending.get(&id).map(|pending| pending.request.class) else { return };
        let permits = self.members.get(&host).and_then(|member| self.slow_start_permits(host, member, class));
        self.record_slow_start_send(host, permits);
        let Some(pending) = self.pending.get(&id).filter(|_| self.members.contains_key(&host)) else {
            return;
        };
        let attempt = pending.next_attempt(now);
        if let Some(session) = self.remembered_session(attempt.class, attempt.session) {
            self.session_writes.begin(session);
        }
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(member) = self.members.get_mut(&host) else { return };
        member.in_flight.push(attempt);
        pending.attempts += 1;
        pending.in_flight_at = Some(host);
        pending.position_probe = None;
        let class = &self.settings.classes[pending.request.class.0];
        // A staleness bound applies when the last byte is sent, and a replica's known position ages until
        // then; a primary's does not.
        let fresh_until = match class.consistency {
            Consistency::BoundedStaleness(bound) if !member.roles.claims_primary() => {
                Some(member.position.newest + bound)
            }
            _ => None,
        };
        let repeat_until = pending.repeat_recognised_until(class.idempotency);
        let send_deadline = fresh_until.into_iter().chain(repeat_until).min();
        let timeout = (pending.useful_until - now).max(1);
        self.actions.push(Action::Send { id, host, timeout, send_deadline });
    }

    /// Sends the final answer: rejects the request if a retry is harmless, and otherwise fails it.
    pub(super) fn give_up(&mut self, id: RequestId, reason: RejectReason) {
        let Some(pending) = self.remove_pending(id) else { return };
        let only_waited = !pending.has_reached_member
            && matches!(reason, RejectReason::QueuedTooLong | RejectReason::DeadlineExceeded);
        let missing = if only_waited { self.missing_resource(&pending) } else { None };
        let reason = missing.unwrap_or(reason);
        let is_repeatable_anywhere = matches!(
            self.settings.classes[pending.request.class.0].idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { all_groups: true, .. }
        );
        // On shutdown an attempt may still be in flight and may run.
        let has_not_run = pending.may_have_run_since.is_none() && pending.in_flight_at.is_none();
        self.actions.push(if is_repeatable_anywhere || has_not_run {
            let retry_after = RETRY_AFTER.min(self.settings.max_retry_after);
            Action::Reject { id, retry_after, reason }
        } else {
            Action::Fail { id, reason }
        });
    }

    /// The missing resource because of which a request never reached a member.
    fn missing_resource(&self, pending: &PendingRequest) -> Option<RejectReason> {
        let group = pending.request.group;
        self.groups.get(&group)?;
        let primary = self.primary(group);
        let needed = self.required_position(pending).minimum()?;
        let consistency = self.settings.classes[pending.request.class.0].consistency;
        if matches!(consistency, Consistency::Write | Consistency::Strong) {
            let has_primary = primary.is_some_and(|host| self.members[&host].is_usable());
            return (!has_primary).then_some(RejectReason::NoPrimary);
        }
        let known = self
            .group_members(group)
            .filter(|(host, member)| Some(*host) != primary && member.status == EndpointStatus::Up)
            .map(|(_, member)| member.position.newest)
            .max()
            .unwrap_or(0);
        (known < needed).then_some(RejectReason::TooStale { needed, known })
    }

    /// Removes the request from those pending and from the queue.
    pub(super) fn remove_pending(&mut self, id: RequestId) -> Option<PendingRequest> {
        let pending = self.pending.remove(&id)?;
        if let Some(group) = self.groups.get_mut(&pending.request.group) {
            group.queued.remove(&id);
        }
        Some(pending)
    }

    /// Gives up all pending requests on shutdown.
    pub(super) fn give_up_all(&mut self) {
        let ids: Vec<RequestId> = self.pending.keys().copied().collect();
        for id in ids {
            self.give_up(id, RejectReason::ShuttingDown);
        }
    }
}
