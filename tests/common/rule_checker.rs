//! Feeds events to a router, carries out its actions and checks each of them against the rules of routing.

use super::steps::{Step, OUTCOMES};
use wharfplank::routing::*;

/// The time after a client's deadline within which the final answer may still come.
const DEADLINE_TOLERANCE: Micros = 20_000;
const START: Micros = 100_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Execution {
    InFlight,
    NotExecuted,
    MayHaveRun,
}

#[derive(Debug)]
struct Attempt {
    host: HostId,
    sent_at: Micros,
    times_out_at: Micros,
    execution: Execution,
}

#[derive(Debug)]
struct TrackedRequest {
    request: Request,
    attempts: Vec<Attempt>,
    is_answered: bool,
}

/// A router with everything that was requested, sent and answered.
pub struct RuleChecker {
    router: Router,
    settings: Settings,
    has_roles: bool,
    now: Micros,
    requests: Vec<TrackedRequest>,
    timers: Vec<Micros>,
    status: Vec<EndpointStatus>,
}

fn role(index: u8) -> Option<Role> {
    [None, Some(Role::Primary), Some(Role::Replica)][usize::from(index)]
}

fn group(host: u32) -> GroupId {
    GroupId(u64::from(host % 2))
}

impl RuleChecker {
    /// Creates a router with two groups of four members; with `has_roles` each group has a primary.
    pub fn new(settings: Settings, has_roles: bool) -> Self {
        let router = Router::new(settings.clone());
        let status = vec![EndpointStatus::Up; 8];
        let mut checker =
            RuleChecker { router, settings, has_roles, now: START, requests: vec![], timers: vec![], status };
        let endpoints = (0..8).map(|host| checker.endpoint(host, host < 2)).collect();
        checker.handle_event(Event::EndpointList(endpoints));
        checker
    }

    fn endpoint(&self, host: u32, primary: bool) -> Endpoint {
        let status = self.status[host as usize];
        let started_at = (host == 7).then_some(START);
        let primary = primary && self.has_roles;
        Endpoint {
            host: HostId(host),
            group: group(host),
            status,
            primary,
            started_at,
            local: host.is_multiple_of(3),
            zone: 0,
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.check(action));
    }

    fn tracked_request(&mut self, id: RequestId) -> &mut TrackedRequest {
        self.requests.iter_mut().find(|a| a.request.id == id).expect("a submitted request")
    }

    fn check(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send { id, host, timeout, .. } => {
                assert!(
                    self.status[host.0 as usize] == EndpointStatus::Up,
                    "sent to a member that is draining or removed"
                );
                let max_attempts = self.settings.max_attempts as usize;
                let classes = self.settings.classes.clone();
                let tracked = self.tracked_request(id);
                let (request, attempts) = (&tracked.request, &tracked.attempts);
                assert!(!tracked.is_answered && timeout > 0, "sent after the request ended: {tracked:?}");
                assert!(now < request.deadline && now + timeout <= request.deadline, "{tracked:?}");
                assert!(attempts.len() < max_attempts && group(host.0) == request.group, "{tracked:?}");
                let first_sent = attempts
                    .iter()
                    .filter(|a| a.execution != Execution::NotExecuted)
                    .map(|a| a.sent_at)
                    .min();
                match classes[request.class.0].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::NotIdempotent => assert!(first_sent.is_none(), "may run twice: {tracked:?}"),
                    Idempotency::Keyed { window, .. } => {
                        assert!(
                            first_sent.is_none_or(|sent| now <= sent + window),
                            "sent after its deduplication window: {tracked:?}"
                        );
                    }
                }
                tracked.attempts.push(Attempt {
                    host,
                    sent_at: now,
                    times_out_at: now + timeout,
                    execution: Execution::InFlight,
                });
            }
            Action::Reject { id, retry_after, .. } => {
                assert!((0..=self.settings.max_retry_after).contains(&retry_after));
                let class = self.tracked_request(id).request.class;
                let is_safe_to_repeat = match self.settings.classes[class.0].idempotency {
                    Idempotency::Idempotent | Idempotency::Keyed { all_groups: true, .. } => true,
                    _ => self
                        .tracked_request(id)
                        .attempts
                        .iter()
                        .all(|a| a.execution == Execution::NotExecuted),
                };
                assert!(is_safe_to_repeat, "refused, but it may have run");
                self.record_answer(id);
            }
            Action::Fail { id, .. } => self.record_answer(id),
            Action::Cancel { id, attempt } => {
                assert!(
                    self.settings.may_cancel
                        && (attempt.0 as usize) < self.tracked_request(id).attempts.len()
                );
                if self.tracked_request(id).attempts[attempt.0 as usize].execution == Execution::InFlight {
                    self.finish_attempt(id, attempt.0 as usize, AttemptOutcome::Cancelled, None);
                }
            }
            Action::Probe { .. } => assert!(self.settings.may_probe, "probes are not allowed"),
            Action::SetTimer(span) => self.timers.push(now + span.max(1)),
            Action::Subscribe => {}
        }
    }

    fn record_answer(&mut self, id: RequestId) {
        let now = self.now;
        let tracked = self.tracked_request(id);
        assert!(!tracked.is_answered, "second answer: {tracked:?}");
        assert!(now <= tracked.request.deadline + DEADLINE_TOLERANCE, "{now}: late answer: {tracked:?}");
        tracked.is_answered = true;
    }

    fn finish_attempt(&mut self, id: RequestId, attempt: usize, outcome: AttemptOutcome, role: Option<Role>) {
        let now = self.now;
        let tracked = self.tracked_request(id);
        let ended = &mut tracked.attempts[attempt];
        let was_not_executed = matches!(
            outcome,
            AttemptOutcome::Overloaded
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::Misrouted
                | AttemptOutcome::NotSent
        );
        ended.execution = if was_not_executed { Execution::NotExecuted } else { Execution::MayHaveRun };
        let (host, latency) = (ended.host, now - ended.sent_at);
        if outcome == AttemptOutcome::Ok && !tracked.is_answered {
            self.record_answer(id);
        }
        let terminal = self.tracked_request(id).is_answered;
        let position = role.map(|_| now);
        let attempt = AttemptNo(attempt as u32);
        self.handle_event(Event::AttemptFinished(AttemptResult {
            id,
            attempt,
            host,
            outcome,
            terminal,
            latency,
            role,
            position,
        }));
    }

    /// Returns the attempts in flight with their time-outs.
    fn in_flight(&self) -> Vec<(RequestId, usize, Micros)> {
        let attempts_of = |a: &TrackedRequest| {
            (a.request.id, a.attempts.iter().map(|t| (t.execution, t.times_out_at)).collect::<Vec<_>>())
        };
        let each = self.requests.iter().map(attempts_of);
        each.flat_map(|(id, all)| {
            let in_flight =
                all.into_iter().enumerate().filter(|(_, (execution, _))| *execution == Execution::InFlight);
            in_flight.map(move |(n, (_, until))| (id, n, until)).collect::<Vec<_>>()
        })
        .collect()
    }

    fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let timer = self.timers.iter().copied().min().unwrap_or(Micros::MAX);
            let attempt = self.in_flight().into_iter().min_by_key(|(_, _, until)| *until);
            let until = attempt.map_or(Micros::MAX, |(_, _, until)| until);
            if timer.min(until) > end {
                break self.now = end;
            }
            self.now = self.now.max(timer.min(until));
            match attempt.filter(|_| until <= timer) {
                Some((id, n, _)) => self.finish_attempt(id, n, AttemptOutcome::Timeout, None),
                None => {
                    self.timers.retain(|due| *due > timer);
                    self.handle_event(Event::Timer);
                }
            }
        }
        let (now, mut open) = (self.now, self.requests.iter().filter(|a| !a.is_answered));
        let late = open.find(|a| now > a.request.deadline + DEADLINE_TOLERANCE);
        assert!(late.is_none(), "{now}: no answer by the deadline: {late:?}");
    }

    /// Carries out a step.
    pub fn play(&mut self, step: Step) {
        match step {
            Step::Submit { class, group, deadline_fraction, session, write_age } => {
                let class = class % self.settings.classes.len();
                let mut id = [b'0'; 36];
                id[..20].copy_from_slice(format!("{:020}", self.requests.len()).as_bytes());
                let time_left = (self.settings.classes[class].latency_objective as f64
                    * 2.0
                    * deadline_fraction) as Micros;
                let request = Request {
                    id: RequestId(id),
                    class: ClassId(class),
                    group: GroupId(group),
                    session: (session > 0).then_some(SessionKey(session)),
                    deadline: self.now + time_left.max(1),
                    last_write_age: write_age,
                    may_have_run: false,
                };
                self.requests.push(TrackedRequest {
                    request: request.clone(),
                    attempts: vec![],
                    is_answered: false,
                });
                self.handle_event(Event::Request(request));
            }
            Step::FinishAttempt(which, outcome, reported_role) => {
                let in_flight = self.in_flight();
                if !in_flight.is_empty() {
                    let (id, attempt, _) = in_flight[which.index(in_flight.len())];
                    self.finish_attempt(
                        id,
                        attempt,
                        OUTCOMES[outcome],
                        role(reported_role).filter(|_| self.has_roles),
                    );
                }
            }
            Step::Advance(span) => self.advance(span),
            Step::ChangeEndpoint(host, new_status, primary) => {
                self.status[host as usize] =
                    [EndpointStatus::Up, EndpointStatus::Draining, EndpointStatus::Removed]
                        [usize::from(new_status)];
                let endpoint = self.endpoint(host, primary);
                self.handle_event(Event::EndpointsChanged(vec![endpoint]));
            }
            Step::LoadReport(host, reported_role, lag) => {
                let position = Some(self.now - lag);
                let role = role(reported_role).filter(|_| self.has_roles);
                let host = HostId(host);
                self.handle_event(Event::ProbeFinished(ProbeResult {
                    host,
                    answered: true,
                    role,
                    position,
                    queued: None,
                }));
            }
            Step::Disconnect(which) => {
                let open: Vec<_> =
                    self.requests.iter().filter(|a| !a.is_answered).map(|a| a.request.id).collect();
                if !open.is_empty() {
                    let id = open[which.index(open.len())];
                    self.tracked_request(id).is_answered = true;
                    self.handle_event(Event::ClientDisconnected(id));
                }
            }
        }
    }

    /// Advances the clock until every request is answered.
    pub fn finish_all(&mut self) {
        let last = self
            .requests
            .iter()
            .map(|a| a.request.deadline + DEADLINE_TOLERANCE + 1)
            .max()
            .unwrap_or(self.now);
        while self.now < last && self.requests.iter().any(|a| !a.is_answered) {
            self.advance((last - self.now).min(1_000_000));
        }
        assert!(
            self.requests.iter().all(|a| a.is_answered),
            "requests without an answer: {:?}",
            self.requests
        );
    }
}
