//! The router's actions, and the attempts and probes that come of them.

use super::health_checks::role;
use super::*;

/// What is left of a send's margin when its last byte must be out.
const WRITE_MARGIN: Micros = 500;

/// An attempt that is out.
pub(super) struct Flight {
    pub(super) host: HostId,
    pub(super) sent: Micros,
    /// What its member had told before.
    pub(super) position: Option<Micros>,
    pub(super) stage: Rc<Cell<Stage>>,
    /// Dropping it closes the attempt's connection.
    pub(super) task: Task<()>,
}

/// What the settings allow of attempts.
pub(super) struct Allowed {
    /// The most of one request.
    pub(super) attempts: u32,
    /// Whether one that has begun may be given up.
    pub(super) cancels: bool,
}

impl Allowed {
    pub(super) fn by(settings: &routing::Settings) -> Self {
        Allowed { attempts: settings.max_attempts, cancels: settings.may_cancel }
    }
}

impl Broker {
    /// Tells the router, carries out what it does, and tells it what that ends at once.
    pub(super) fn tell(&mut self, event: routing::Event) {
        self.tell_at(self.clock.now(), event);
    }

    pub(super) fn tell_at(&mut self, now: Micros, event: routing::Event) {
        self.route(now, event);
        self.settle();
    }

    pub(super) fn route(&mut self, now: Micros, event: routing::Event) {
        let mut actions = Vec::new();
        self.bar_retries(now, &mut actions);
        self.router.handle(now, event, &mut actions);
        self.perform(now, actions);
    }

    /// Tells the router of the attempts that ended at once, until none is left.
    pub(super) fn settle(&mut self) {
        while let Some((id, attempt, host, sent, ending)) = self.ended.pop_front() {
            if self.counts.on() {
                self.keep_ending(id, host, ending);
            }
            self.talk.saw(host, sent, ending);
            self.close_left(id);
            let outcome = self.outcome(id, attempt, host, sent, &Report::bare(ending));
            self.route(self.clock.now(), outcome);
            self.settle_probes();
        }
        self.settle_probes();
    }

    /// Carries out what the router decided at this time.
    pub(super) fn perform(&mut self, now: Micros, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, host, timeout, holds_until } => {
                    self.send(now, (id, host), timeout, holds_until)
                }
                Action::Refuse { id, retry_after, reason } => {
                    self.count(id, "refused", recorded(reason).name());
                    self.note_end(id, |journal, ended| journal.given_up(ended, true, reason));
                    self.answer(id, FinalResponse::Rejected { retry_after_ms: (retry_after + 999) / 1000 })
                }
                Action::Fail(id, reason) => {
                    if let Some(open) = self.requests.get(&id) {
                        self.talk.failed(self.clock.now(), open.class, open.attempts, &open.name);
                    }
                    self.count(id, "failed", recorded(reason).name());
                    self.note_end(id, |journal, ended| journal.given_up(ended, false, reason));
                    self.answer(id, FinalResponse::Failed)
                }
                Action::Cancel { id, attempt } => self.end(id, attempt.0, Ending::Cancelled),
                Action::Probe(host, why) => {
                    self.counts.one("probe", counts::why(why), "");
                    self.probe(host);
                }
                Action::Timer(span) => self.timers.push(Reverse(self.clock.now() + span)),
                // The watch on discovery always runs.
                Action::Follow => {}
            }
        }
    }

    /// Begins an attempt that was decided at `now`: all its times count from then.
    fn send(
        &mut self,
        now: Micros,
        (id, host): (RequestId, HostId),
        timeout: Micros,
        holds_until: Option<Micros>,
    ) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        let barred = attempt > 0 && self.shared.budgets.as_ref().is_some_and(|budgets| !budgets.retry());
        let wanted = attempt < self.allowed.attempts && !barred && open.lane.awaits(open.ticket);
        let member = self.members.get(&host).filter(|_| wanted);
        let Some(member) = member else {
            self.ended.push_back((id, attempt, host, now, Ending::Moot));
            return;
        };
        let Ok(leave) = self.lookups.begin(now, (id, attempt), open.class, open.touch.as_ref()) else {
            self.ended.push_back((id, attempt, host, now, Ending::Moot));
            return;
        };
        let stage: Rc<Cell<Stage>> = Rc::default();
        let holds = holds_until.map(|until| until + SEND_MARGIN - WRITE_MARGIN);
        let holds = holds.into_iter().chain(leave).min().map(|until| self.clock.instant(until));
        let deadline = self.clock.instant(now.saturating_add(timeout));
        let (member, statement) = (Rc::clone(member), Rc::clone(&open.statement));
        let (lane, ticket) = (Rc::clone(&open.lane), open.ticket);
        let wanted = move || lane.awaits_now(ticket);
        let work = member.attempt(statement, Rc::clone(&stage), deadline, holds, wanted);
        let (events, done) = (self.events.clone(), Rc::clone(&stage));
        let task = self.shared.executor.spawn(async move {
            let (report, stream) = work.await;
            done.set(Stage::Done);
            let _ = events.send(Event::Attempt { id, attempt, report }).await;
            if let Some(stream) = stream {
                let report = stream.pass().await;
                let _ = events.send(Event::Passed { id, attempt, report }).await;
            }
        });
        let position = self.lookups.position(host);
        self.flights.insert((id, attempt), Flight { host, sent: now, position, stage, task });
    }

    /// Ends an attempt from this side: its connection closes. One whose report is on the way keeps it: a
    /// value that has arrived is not thrown away. One that was not written whole never ran.
    pub(super) fn end(&mut self, id: RequestId, attempt: u32, ending: Ending) {
        let stage = self.flights.get(&(id, attempt)).map(|f| f.stage.get());
        let ending = match stage {
            Some(Stage::Done) => return,
            Some(Stage::Waiting | Stage::Begun) => Ending::Moot,
            _ => ending,
        };
        if let Some(flight) = self.flights.remove(&(id, attempt)) {
            drop(flight.task);
            self.counts.one("attempt", counts::ending(ending), "");
            self.talk.ended(self.clock.now(), id, ending);
            self.lookups.ended(self.clock.now(), (id, attempt), ending);
            self.ended.push_back((id, attempt, flight.host, flight.sent, ending));
        }
    }

    /// Gives up all that is open, at the process's end. Attempts that were not written whole are taken back first:
    /// they never ran, so their requests are refused.
    pub(super) fn give_up(&mut self) {
        self.tell(routing::Event::Closing);
        let unsent =
            self.flights.iter().filter(|(_, f)| matches!(f.stage.get(), Stage::Waiting | Stage::Begun));
        let mut unsent: Vec<_> = unsent.map(|(key, _)| *key).collect();
        unsent.sort_unstable();
        unsent.into_iter().for_each(|(id, attempt)| self.end(id, attempt, Ending::Moot));
        self.settle();
        self.tell(routing::Event::Close);
    }

    pub(super) fn attempt_ended(&mut self, id: RequestId, attempt: u32, mut report: Report) {
        if report.flow.is_some() {
            return self.began(id, attempt, report);
        }
        self.note_left(id);
        let Some(flight) = self.flights.remove(&(id, attempt)) else { return };
        self.talk.ended(self.clock.now(), id, report.ending);
        self.lookups.ended(self.clock.now(), (id, attempt), report.ending);
        if let Some(open) = self.requests.get(&id) {
            self.talk.tried(self.clock.now(), flight.host, open.class, flight.sent, report.ending);
            self.releases.ended(flight.host, open.class, self.clock.now() - flight.sent, report.ending);
        }
        if report.ending == Ending::Ok {
            if let Some(answer) = &mut report.answer {
                self.looked_up(id, flight.position, answer);
                let member = Some(flight.host);
                self.count(id, "served", if answer.primary == Some(true) { "primary" } else { "replica" });
                self.note_end(id, |journal, ended| journal.served(Ended { member, ..ended }));
                self.answer(id, FinalResponse::Served(std::mem::take(&mut answer.messages)));
            }
        }
        self.counts.one("attempt", counts::ending(report.ending), "");
        if self.counts.on() {
            self.keep_ending(id, flight.host, report.ending);
        }
        self.talk.saw(flight.host, flight.sent, report.ending);
        let outcome = self.outcome(id, attempt, flight.host, flight.sent, &report);
        if let routing::Event::Outcome(outcome) = &outcome {
            self.talk.learned(self.clock.now(), flight.host, outcome.position);
            self.lookups.learned(flight.host, outcome.position);
        }
        self.tell(outcome);
    }

    pub(super) fn outcome(
        &self,
        id: RequestId,
        attempt: u32,
        host: HostId,
        sent: Micros,
        r: &Report,
    ) -> routing::Event {
        let primary = r.answer.as_ref().and_then(|a| a.primary);
        let position = r.answer.as_ref().and_then(|a| a.applied_ms);
        let position = position.map(|ms| ms.saturating_mul(1000));
        let latest = self.clock.now() + AHEAD_MOST;
        routing::Event::Outcome(Outcome {
            id,
            attempt: AttemptNo(attempt),
            host,
            ending: r.ending,
            terminal: !self.requests.contains_key(&id),
            latency: self.clock.now() - sent,
            role: primary.map(role),
            position: position.filter(|at| (1..=latest).contains(at)),
        })
    }
}
