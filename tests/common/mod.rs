//! A small driver for tests of the module.
#![allow(dead_code)]

use wharfplank::routing::*;

pub const ANY: ClassId = ClassId(0);
pub const BOUNDED: ClassId = ClassId(1);
pub const SESSION: ClassId = ClassId(2);
pub const FRESH: ClassId = ClassId(3);
pub const UNSAFE: ClassId = ClassId(4);
pub const KEYED: ClassId = ClassId(5);
pub const BOUND: Micros = 300_000;
pub const WINDOW: Micros = 2_000_000;
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
    let late = |class: Class| Class { late_weight: 0.5, priority_weight: 6.0, ..class };
    Settings {
        seed: 7,
        routers: 3,
        classes: vec![
            class(Consistency::Any, Idempotency::Idempotent),
            class(Consistency::BoundedStaleness(BOUND), Idempotency::Idempotent),
            class(Consistency::Session, Idempotency::Idempotent),
            class(Consistency::Strong, Idempotency::Idempotent),
            late(class(Consistency::Write, Idempotency::NotIdempotent)),
            late(class(Consistency::Write, Idempotency::Keyed { window: WINDOW, all_groups: false })),
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

pub fn entry(host: u32, primary: bool) -> Endpoint {
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

pub struct Bench {
    pub router: Router,
    pub now: Micros,
    pub ids: u64,
    /// The latency that outcomes report.
    pub latency: Micros,
}

/// A send: the request and the member.
pub type Sent = (RequestId, HostId);

impl Bench {
    pub fn with(settings: Settings, entries: Vec<Endpoint>) -> Self {
        let mut bench = Bench { router: Router::new(settings), now: START, ids: 0, latency: 20_000 };
        bench.tell(Event::EndpointList(entries));
        bench
    }

    /// A group of a primary (1) and two replicas (2, 3).
    pub fn new(settings: Settings) -> Self {
        Self::with(settings, vec![entry(1, true), entry(2, false), entry(3, false)])
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    pub fn ask_with(&mut self, class: ClassId, last_write_age: Option<Micros>, lasts: Micros) -> Vec<Action> {
        self.ask_of(GROUP, class, last_write_age, lasts)
    }

    pub fn ask_in(&mut self, group: GroupId, class: ClassId) -> Vec<Action> {
        self.ask_of(group, class, None, 1_000_000)
    }

    fn ask_of(
        &mut self,
        group: GroupId,
        class: ClassId,
        last_write_age: Option<Micros>,
        lasts: Micros,
    ) -> Vec<Action> {
        self.ids += 1;
        let mut id = [b'0'; 36];
        id[..20].copy_from_slice(format!("{:020}", self.ids).as_bytes());
        self.tell(Event::Request(Request {
            id: RequestId(id),
            class,
            group,
            session: Some(SessionKey(9)),
            deadline: self.now + lasts,
            last_write_age,
            may_have_run: false,
        }))
    }

    pub fn ask(&mut self, class: ClassId) -> Vec<Action> {
        self.ask_with(class, None, 1_000_000)
    }

    pub fn probed(&mut self, host: u32, role: Role, position: Micros) -> Vec<Action> {
        let host = HostId(host);
        let (role, position) = (Some(role), Some(position));
        self.tell(Event::ProbeFinished(ProbeResult { host, answered: true, role, position, queued: None }))
    }

    pub fn end(
        &mut self,
        sent: Sent,
        attempt: u32,
        outcome: AttemptOutcome,
        role: Option<Role>,
    ) -> Vec<Action> {
        self.end_at(sent, attempt, outcome, role, None)
    }

    pub fn end_at(
        &mut self,
        sent: Sent,
        attempt: u32,
        outcome: AttemptOutcome,
        role: Option<Role>,
        position: Option<Micros>,
    ) -> Vec<Action> {
        self.tell(Event::AttemptFinished(AttemptResult {
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

    /// Moves the clock on with the module's timer and gathers what it does.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        let end = self.now + span;
        while self.now < end {
            self.now += 10_000.min(end - self.now);
            actions.extend(self.tell(Event::Timer));
        }
        actions
    }
}

pub fn sends(actions: &[Action]) -> Vec<Sent> {
    let send = |a: &Action| match a {
        Action::Send { id, host, .. } => Some((*id, *host)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn probes(actions: &[Action]) -> Vec<HostId> {
    let probe = |a: &Action| match a {
        Action::Probe { host, .. } => Some(*host),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
