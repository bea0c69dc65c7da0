//! Plays events to the module, carries out what it does, and holds each action against the rules.

use super::steps::{Step, ENDINGS};
use wharfplank::routing::*;

/// The time after a client's deadline in which its final answer may still come.
const SLACK: Micros = 20_000;
const START: Micros = 100_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ran {
    Out,
    Never,
    Perhaps,
}

#[derive(Debug)]
struct Attempt {
    host: HostId,
    sent: Micros,
    until: Micros,
    ran: Ran,
}

#[derive(Debug)]
struct Asked {
    request: Request,
    attempts: Vec<Attempt>,
    over: bool,
}

/// What was asked, sent and answered.
pub struct Ledger {
    router: Router,
    settings: Settings,
    roles: bool,
    now: Micros,
    asked: Vec<Asked>,
    timers: Vec<Micros>,
    status: Vec<EndpointStatus>,
}

fn role(of: u8) -> Option<Role> {
    [None, Some(Role::Primary), Some(Role::Replica)][usize::from(of)]
}

fn group(host: u32) -> GroupId {
    GroupId(u64::from(host % 2))
}

impl Ledger {
    /// Two groups of four, with a primary each where there are roles.
    pub fn new(settings: Settings, roles: bool) -> Self {
        let router = Router::new(settings.clone());
        let status = vec![EndpointStatus::Up; 8];
        let mut ledger =
            Ledger { router, settings, roles, now: START, asked: vec![], timers: vec![], status };
        let entries = (0..8).map(|host| ledger.entry(host, host < 2)).collect();
        ledger.tell(Event::EndpointList(entries));
        ledger
    }

    fn entry(&self, host: u32, primary: bool) -> Endpoint {
        let status = self.status[host as usize];
        let started_at = (host == 7).then_some(START);
        let primary = primary && self.roles;
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

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.check(action));
    }

    fn of(&mut self, id: RequestId) -> &mut Asked {
        self.asked.iter_mut().find(|a| a.request.id == id).expect("a request that was asked")
    }

    fn check(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send { id, host, timeout, .. } => {
                assert!(
                    self.status[host.0 as usize] == EndpointStatus::Up,
                    "sent to one that must not be used"
                );
                let most = self.settings.max_attempts as usize;
                let classes = self.settings.classes.clone();
                let asked = self.of(id);
                let (request, attempts) = (&asked.request, &asked.attempts);
                assert!(!asked.over && timeout > 0, "sent after its end: {asked:?}");
                assert!(now < request.deadline && now + timeout <= request.deadline, "{asked:?}");
                assert!(attempts.len() < most && group(host.0) == request.group, "{asked:?}");
                let first = attempts.iter().filter(|a| a.ran != Ran::Never).map(|a| a.sent).min();
                match classes[request.class.0].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::NotIdempotent => assert!(first.is_none(), "it may run twice: {asked:?}"),
                    Idempotency::Keyed { window, .. } => {
                        assert!(first.is_none_or(|sent| now <= sent + window), "past its window: {asked:?}");
                    }
                }
                asked.attempts.push(Attempt { host, sent: now, until: now + timeout, ran: Ran::Out });
            }
            Action::Reject { id, retry_after, .. } => {
                assert!((0..=self.settings.max_retry_after).contains(&retry_after));
                let class = self.of(id).request.class;
                let harmless = match self.settings.classes[class.0].idempotency {
                    Idempotency::Idempotent | Idempotency::Keyed { all_groups: true, .. } => true,
                    _ => self.of(id).attempts.iter().all(|a| a.ran == Ran::Never),
                };
                assert!(harmless, "refused, and it may have run");
                self.over(id);
            }
            Action::Fail { id, .. } => self.over(id),
            Action::Cancel { id, attempt } => {
                assert!(self.settings.may_cancel && (attempt.0 as usize) < self.of(id).attempts.len());
                if self.of(id).attempts[attempt.0 as usize].ran == Ran::Out {
                    self.end(id, attempt.0 as usize, AttemptOutcome::Cancelled, None);
                }
            }
            Action::Probe { .. } => assert!(self.settings.may_probe, "probes are not allowed"),
            Action::SetTimer(span) => self.timers.push(now + span.max(1)),
            Action::Subscribe => {}
        }
    }

    fn over(&mut self, id: RequestId) {
        let now = self.now;
        let asked = self.of(id);
        assert!(!asked.over, "a second answer: {asked:?}");
        assert!(now <= asked.request.deadline + SLACK, "{now}: late: {asked:?}");
        asked.over = true;
    }

    fn end(&mut self, id: RequestId, attempt: usize, outcome: AttemptOutcome, role: Option<Role>) {
        let now = self.now;
        let asked = self.of(id);
        let out = &mut asked.attempts[attempt];
        let never = matches!(
            outcome,
            AttemptOutcome::Overloaded
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::Misrouted
                | AttemptOutcome::NotSent
        );
        out.ran = if never { Ran::Never } else { Ran::Perhaps };
        let (host, latency) = (out.host, now - out.sent);
        if outcome == AttemptOutcome::Ok && !asked.over {
            self.over(id);
        }
        let terminal = self.of(id).over;
        let position = role.map(|_| now);
        let attempt = AttemptNo(attempt as u32);
        self.tell(Event::AttemptFinished(AttemptResult {
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

    /// The attempts that are out, with their ends.
    fn out(&self) -> Vec<(RequestId, usize, Micros)> {
        let of = |a: &Asked| (a.request.id, a.attempts.iter().map(|t| (t.ran, t.until)).collect::<Vec<_>>());
        let each = self.asked.iter().map(of);
        each.flat_map(|(id, all)| {
            let out = all.into_iter().enumerate().filter(|(_, (ran, _))| *ran == Ran::Out);
            out.map(move |(n, (_, until))| (id, n, until)).collect::<Vec<_>>()
        })
        .collect()
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let timer = self.timers.iter().copied().min().unwrap_or(Micros::MAX);
            let attempt = self.out().into_iter().min_by_key(|(_, _, until)| *until);
            let until = attempt.map_or(Micros::MAX, |(_, _, until)| until);
            if timer.min(until) > end {
                break self.now = end;
            }
            self.now = self.now.max(timer.min(until));
            match attempt.filter(|_| until <= timer) {
                Some((id, n, _)) => self.end(id, n, AttemptOutcome::Timeout, None),
                None => {
                    self.timers.retain(|due| *due > timer);
                    self.tell(Event::Timer);
                }
            }
        }
        let (now, mut open) = (self.now, self.asked.iter().filter(|a| !a.over));
        let late = open.find(|a| now > a.request.deadline + SLACK);
        assert!(late.is_none(), "{now}: no answer: {late:?}");
    }

    /// Plays a step.
    pub fn play(&mut self, step: Step) {
        match step {
            Step::Ask { class, group, part, key, age } => {
                let class = class % self.settings.classes.len();
                let mut id = [b'0'; 36];
                id[..20].copy_from_slice(format!("{:020}", self.asked.len()).as_bytes());
                let lasts = (self.settings.classes[class].latency_objective as f64 * 2.0 * part) as Micros;
                let request = Request {
                    id: RequestId(id),
                    class: ClassId(class),
                    group: GroupId(group),
                    session: (key > 0).then_some(SessionKey(key)),
                    deadline: self.now + lasts.max(1),
                    last_write_age: age,
                    may_have_run: false,
                };
                self.asked.push(Asked { request: request.clone(), attempts: vec![], over: false });
                self.tell(Event::Request(request));
            }
            Step::End(which, how, told) => {
                let out = self.out();
                if !out.is_empty() {
                    let (id, attempt, _) = out[which.index(out.len())];
                    self.end(id, attempt, ENDINGS[how], role(told).filter(|_| self.roles));
                }
            }
            Step::Pass(span) => self.pass(span),
            Step::List(host, how, primary) => {
                self.status[host as usize] =
                    [EndpointStatus::Up, EndpointStatus::Draining, EndpointStatus::Removed][usize::from(how)];
                let entry = self.entry(host, primary);
                self.tell(Event::EndpointsChanged(vec![entry]));
            }
            Step::LoadReport(host, told, behind) => {
                let position = Some(self.now - behind);
                let role = role(told).filter(|_| self.roles);
                let host = HostId(host);
                self.tell(Event::ProbeFinished(ProbeResult {
                    host,
                    answered: true,
                    role,
                    position,
                    queued: None,
                }));
            }
            Step::Leave(which) => {
                let open: Vec<_> = self.asked.iter().filter(|a| !a.over).map(|a| a.request.id).collect();
                if !open.is_empty() {
                    let id = open[which.index(open.len())];
                    self.of(id).over = true;
                    self.tell(Event::ClientDisconnected(id));
                }
            }
        }
    }

    /// Time passes until all is answered.
    pub fn close(&mut self) {
        let last = self.asked.iter().map(|a| a.request.deadline + SLACK + 1).max().unwrap_or(self.now);
        while self.now < last && self.asked.iter().any(|a| !a.over) {
            self.pass((last - self.now).min(1_000_000));
        }
        assert!(self.asked.iter().all(|a| a.over), "left with no answer: {:?}", self.asked);
    }
}
