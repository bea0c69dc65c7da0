//! The router's actions, and the attempts and probes that come of them.

use super::*;

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
        self.perform(actions);
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

    pub(super) fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, host, timeout, holds_until } => self.send(id, host, timeout, holds_until),
                Action::Refuse { id, retry_after, reason } => {
                    self.count(id, "refused", recorded(reason).name());
                    self.note_end(id, |journal, ended| journal.given_up(ended, true, reason));
                    self.answer(id, Answer::Refused((retry_after + 999) / 1000))
                }
                Action::Fail(id, reason) => {
                    if let Some(open) = self.requests.get(&id) {
                        self.talk.failed(self.clock.now(), open.class, open.attempts, &open.name);
                    }
                    self.count(id, "failed", recorded(reason).name());
                    self.note_end(id, |journal, ended| journal.given_up(ended, false, reason));
                    self.answer(id, Answer::Failed)
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

    pub(super) fn send(&mut self, id: RequestId, host: HostId, timeout: Micros, holds_until: Option<Micros>) {
        let now = self.clock.now();
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
        let span = |micros: Micros| Duration::from_micros(micros.max(0) as u64);
        let holds = holds_until.map(|until| until + SEND_MARGIN - WRITE_MARGIN);
        let holds = holds.into_iter().chain(leave).min().map(|until| span(until - now));
        let (member, statement) = (Rc::clone(member), Rc::clone(&open.statement));
        let (lane, ticket) = (Rc::clone(&open.lane), open.ticket);
        let wanted = move || lane.awaits_now(ticket);
        let work = member.attempt(statement, Rc::clone(&stage), span(timeout), holds, wanted);
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
    /// value that has arrived is not thrown away.
    pub(super) fn end(&mut self, id: RequestId, attempt: u32, ending: Ending) {
        if self.flights.get(&(id, attempt)).is_some_and(|f| f.stage.get() == Stage::Done) {
            return;
        }
        if let Some(flight) = self.flights.remove(&(id, attempt)) {
            drop(flight.task);
            self.counts.one("attempt", counts::ending(ending), "");
            self.talk.ended(self.clock.now(), id, ending);
            self.lookups.ended(self.clock.now(), (id, attempt), ending);
            self.ended.push_back((id, attempt, flight.host, flight.sent, ending));
        }
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
                self.answer(id, Answer::Served(std::mem::take(&mut answer.messages)));
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

    pub(super) fn probe(&mut self, host: HostId) {
        let Some(member) = self.members.get(&host) else { return };
        if self.shared.budgets.as_ref().is_some_and(|budgets| !budgets.probe(member.name())) {
            return self.barred.probes.push_back(host);
        }
        let (member, events) = (Rc::clone(member), self.events.clone());
        let task = async move {
            let report = member.probe(PROBE_TIMEOUT).await;
            let _ = events.send(Event::Probed { host, report }).await;
        };
        self.shared.executor.spawn(task).detach();
    }

    pub(super) fn probed(&mut self, host: HostId, report: Option<String>) {
        // A report that cannot be read, or is ahead of the clock, counts as none.
        let values = report.as_deref().and_then(|text| client::report(text, &self.terms.columns));
        let ok = values.is_some();
        let mut probed = Probed { host, ok, role: None, position: None, queue: None };
        for (name, value) in values.unwrap_or_default() {
            match name {
                "x0" => {
                    let at = client::seconds(value);
                    probed.ok &= at.is_some_and(|at| at <= self.clock.now() + AHEAD_MOST);
                    probed.position = at.filter(|at| *at > 0);
                }
                "x1" => probed.role = value.parse().ok().map(|v: f64| role(v >= 0.5)),
                "q" | "queue" => probed.queue = value.parse().ok(),
                _ => {}
            }
        }
        self.counts.one("probed", if probed.ok { "ok" } else { "failed" }, "");
        self.journal.probed(host, probed.ok);
        let told = probed.position.filter(|_| probed.ok);
        self.talk.learned(self.clock.now(), host, told);
        self.lookups.learned(host, told);
        let sent = self.clock.now() - PROBE_TIMEOUT.as_micros() as Micros;
        self.talk.saw(host, sent, if probed.ok { Ending::Ok } else { Ending::Timeout });
        self.tell(routing::Event::Probed(probed));
    }
}

fn role(primary: bool) -> Role {
    if primary {
        Role::Primary
    } else {
        Role::Replica
    }
}
