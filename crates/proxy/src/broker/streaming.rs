//! Long values that pass through: what the router hears of them when, and their end.

use super::*;
use wharfplank_routing::{Class, Consistency, Settings, Told};

/// An attempt whose answer has begun.
struct Passing {
    flight: Flight,
    /// What the router is told at the end, where that is later.
    begun: Option<Outcome>,
}

/// The attempts whose long value passes through; their requests stay in the broker's tables to its end.
pub(super) struct Values {
    open: HashMap<(RequestId, u32), Passing>,
    /// Classes of writes whose commits the router must remember for their sessions.
    marks: Vec<bool>,
}

impl Values {
    pub(super) fn new(settings: &Settings) -> Self {
        let remembered = |class: &Class| class.consistency == Consistency::Write && !settings.tokens_carried;
        Values { open: HashMap::new(), marks: settings.classes.iter().map(remembered).collect() }
    }

    /// Whether there is none.
    pub(super) fn none(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether this attempt's does.
    pub(super) fn has(&self, attempt: &(RequestId, u32)) -> bool {
        self.open.contains_key(attempt)
    }

    /// Those of a member, and when they were sent.
    pub(super) fn at(&self, host: HostId) -> impl Iterator<Item = (Micros, (RequestId, u32))> + '_ {
        let here = self.open.iter().filter(move |(_, passing)| passing.flight.host == host);
        here.map(|(key, passing)| (passing.flight.sent, *key))
    }
}

impl Broker {
    /// A long value has begun, and passes on from here. Its member has done the work: the router hears of it now,
    /// with the time that the first bytes took, since neither the rest of them nor a client that takes them slowly
    /// tells anything of the member's load. Only a write whose commit sessions must remember is heard of at its
    /// end, where the commit stands.
    pub(super) fn began(&mut self, id: RequestId, attempt: u32, mut report: Report) {
        let Some(flight) = self.flights.remove(&(id, attempt)) else { return };
        if let Some((open, flow)) = self.requests.get(&id).zip(report.flow.take()) {
            open.lane.begin(open.ticket, flow);
        }
        let outcome = self.outcome(id, attempt, flight.host, flight.sent, &report);
        let routing::Event::Outcome(outcome) = outcome else { return };
        let class = self.requests.get(&id).map(|open| open.class);
        let marks = class.is_some_and(|class| self.passing.marks.get(class.0) == Some(&true));
        let later = marks.then(|| outcome.clone());
        self.passing.open.insert((id, attempt), Passing { flight, begun: later });
        if !marks {
            self.tell(routing::Event::Outcome(outcome));
        }
    }

    /// A value that passed through is over.
    pub(super) fn passed(&mut self, id: RequestId, attempt: u32, report: Report) {
        let Some(Passing { flight, begun }) = self.passing.open.remove(&(id, attempt)) else { return };
        self.talk.ended(self.clock.now(), id, report.ending);
        self.lookups.ended(self.clock.now(), (id, attempt), report.ending);
        self.talk.saw(flight.host, flight.sent, report.ending);
        self.counts.one("attempt", counts::ending(report.ending), "");
        // Where the client left meanwhile, nothing more is owed or counted.
        if self.requests.contains_key(&id) {
            let primary = report.answer.as_ref().is_some_and(|a| a.primary == Some(true));
            let answer = if report.ending == Ending::Ok {
                let member = Some(flight.host);
                self.count(id, "served", if primary { "primary" } else { "replica" });
                self.note_end(id, |journal, ended| journal.served(Ended { member, ..ended }));
                FinalResponse::Served(Vec::new())
            } else {
                self.count(id, "failed", "cut_off");
                FinalResponse::Failed
            };
            self.ended(id, &answer);
        }
        let heard = self.outcome(id, attempt, flight.host, flight.sent, &report);
        let routing::Event::Outcome(heard) = heard else { return };
        self.talk.learned(self.clock.now(), flight.host, heard.position);
        match begun {
            Some(begun) => {
                let (role, position) = (heard.role, heard.position);
                self.tell(routing::Event::Outcome(Outcome { role, position, ..begun }));
            }
            // What it told at its end is a position that it has reached, and no more.
            None => {
                let told = heard.position.map(|position| Told {
                    host: flight.host,
                    position,
                    suspected_at: 0,
                    traits: None,
                });
                self.tell(routing::Event::Told(told.into_iter().collect()));
            }
        }
    }
}
