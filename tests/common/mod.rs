//! Drives a [`Router`] with a clock of its own, for tests of the routing module.
#![allow(dead_code)]

use wharfplank::routing::*;

pub const ANY: ClassId = ClassId(0);
pub const BOUNDED: ClassId = ClassId(1);
pub const SESSION: ClassId = ClassId(2);
pub const STRONG: ClassId = ClassId(3);
pub const NON_IDEMPOTENT: ClassId = ClassId(4);
pub const KEYED_WRITE: ClassId = ClassId(5);
pub const STALENESS_BOUND: Micros = 300_000;
pub const DEDUP_WINDOW: Micros = 2_000_000;
pub const START: Micros = 100_000_000;
pub const GROUP: GroupId = GroupId(1);

pub fn settings() -> Settings {
    let class = |consistency, idempotency| Class {
        consistency,
        idempotency,
        latency_objective: 400_000,
        priority_weight: 1.0,
        late_weight: 0.0,
    };
    let with_late_weight = |class: Class| Class { late_weight: 0.5, priority_weight: 6.0, ..class };
    Settings {
        seed: 7,
        routers: 3,
        classes: vec![
            class(Consistency::Any, Idempotency::Idempotent),
            class(Consistency::BoundedStaleness(STALENESS_BOUND), Idempotency::Idempotent),
            class(Consistency::Session, Idempotency::Idempotent),
            class(Consistency::Strong, Idempotency::Idempotent),
            with_late_weight(class(Consistency::Write, Idempotency::NotIdempotent)),
            with_late_weight(class(
                Consistency::Write,
                Idempotency::Keyed { window: DEDUP_WINDOW, all_groups: false },
            )),
        ],
        max_attempts: 6,
        may_cancel: true,
        may_probe: true,
        must_subscribe: false,
        max_retry_after: 1_000_000,
        slow_start_from: 0.2,
        slow_start_span: 10_000_000,
        overload_multiple: 3.0,
        overload_span: 1_000_000,
        stale_reads: StaleReadPolicy::Reject,
        removal_is_advisory: false,
        sessions_carry_tokens: true,
    }
}

pub fn endpoint(host: u32, primary: bool) -> Endpoint {
    Endpoint {
        host: HostId(host),
        group: GROUP,
        status: EndpointStatus::Up,
        primary,
        started_at: None,
        local: true,
        zone: 0,
    }
}

/// A router under test and its clock.
pub struct TestRouter {
    pub inner: Router,
    pub now: Micros,
    pub last_id: u64,
    /// The latency that finished attempts report.
    pub latency: Micros,
}

/// A request that was sent and the member that it was sent to.
pub type Sent = (RequestId, HostId);

impl TestRouter {
    pub fn with(settings: Settings, entries: Vec<Endpoint>) -> Self {
        let mut router = TestRouter { inner: Router::new(settings), now: START, last_id: 0, latency: 20_000 };
        router.handle_event(Event::EndpointList(entries));
        router
    }

    /// Creates a router for one group with a primary (1) and two replicas (2, 3).
    pub fn new(settings: Settings) -> Self {
        Self::with(settings, vec![endpoint(1, true), endpoint(2, false), endpoint(3, false)])
    }

    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.inner.handle(self.now, event, &mut actions);
        actions
    }

    pub fn submit_with(
        &mut self,
        class: ClassId,
        last_write_age: Option<Micros>,
        timeout: Micros,
    ) -> Vec<Action> {
        self.submit_request(GROUP, class, last_write_age, timeout)
    }

    pub fn submit_to_group(&mut self, group: GroupId, class: ClassId) -> Vec<Action> {
        self.submit_request(group, class, None, 1_000_000)
    }

    fn submit_request(
        &mut self,
        group: GroupId,
        class: ClassId,
        last_write_age: Option<Micros>,
        timeout: Micros,
    ) -> Vec<Action> {
        self.last_id += 1;
        let mut id = [b'0'; 36];
        id[..20].copy_from_slice(format!("{:020}", self.last_id).as_bytes());
        self.handle_event(Event::Request(Request {
            id: RequestId(id),
            class,
            group,
            session: Some(SessionKey(9)),
            deadline: self.now + timeout,
            last_write_age,
            may_have_run: false,
        }))
    }

    pub fn submit(&mut self, class: ClassId) -> Vec<Action> {
        self.submit_with(class, None, 1_000_000)
    }

    pub fn finish_probe(&mut self, host: u32, role: Role, position: Micros) -> Vec<Action> {
        let host = HostId(host);
        let (role, position) = (Some(role), Some(position));
        self.handle_event(Event::ProbeFinished(ProbeResult {
            host,
            answered: true,
            role,
            position,
            queued: None,
        }))
    }

    pub fn finish_attempt(
        &mut self,
        sent: Sent,
        attempt: u32,
        outcome: AttemptOutcome,
        role: Option<Role>,
    ) -> Vec<Action> {
        self.finish_attempt_at(sent, attempt, outcome, role, None)
    }

    pub fn finish_attempt_at(
        &mut self,
        sent: Sent,
        attempt: u32,
        outcome: AttemptOutcome,
        role: Option<Role>,
        position: Option<Micros>,
    ) -> Vec<Action> {
        self.handle_event(Event::AttemptFinished(AttemptResult {
            id: sent.0,
            attempt: AttemptNo(attempt),
            host: sent.1,
            outcome,
            terminal: outcome == AttemptOutcome::Ok,
            latency: self.latency,
            role,
            position,
        }))
    }

    /// Advances the clock in steps of 10 ms, with a timer event at each, and returns the actions.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        let end = self.now + span;
        while self.now < end {
            self.now += 10_000.min(end - self.now);
            actions.extend(self.handle_event(Event::Timer));
        }
        actions
    }
}

pub fn sends(actions: &[Action]) -> Vec<Sent> {
    let sent_attempt = |a: &Action| match a {
        Action::Send { id, host, .. } => Some((*id, *host)),
        _ => None,
    };
    actions.iter().filter_map(sent_attempt).collect()
}

pub fn probes(actions: &[Action]) -> Vec<HostId> {
    let probed = |a: &Action| match a {
        Action::Probe { host, .. } => Some(*host),
        _ => None,
    };
    actions.iter().filter_map(probed).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
