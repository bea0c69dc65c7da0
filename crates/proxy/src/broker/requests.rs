//! Requests in the broker's tables, from a client's word to the final answer.

use super::*;
use wharfplank_admin::End;

/// A request that is open.
pub(super) struct Open {
    pub(super) ticket: RequestNumber,
    /// The id that the client gave it.
    pub(super) name: String,
    pub(super) statement: Rc<Statement>,
    pub(super) lane: Rc<Lane>,
    pub(super) attempts: u32,
    pub(super) class: ClassId,
    pub(super) group: GroupId,
    /// The key that it asks for or touches, where that matters.
    pub(super) touch: Option<wharfplank_negative_cache::Asked>,
    pub(super) arrived: Micros,
    /// How its attempts ended, and where, where the log counts: at most `max_attempts`.
    pub(super) endings: Vec<(HostId, Ending)>,
}

impl Broker {
    pub(super) fn asked(&mut self, asked: Asked) {
        // Its client went away, or cancelled it, before it got here: it has its answer, or needs none.
        if !asked.lane.awaits(asked.ticket) {
            return;
        }
        let Some(class) = self.terms.names.iter().position(|name| *name == asked.class) else {
            asked.lane.give(asked.ticket, FinalResponse::Malformed("the class is not in the settings"));
            return;
        };
        // Members tell requests apart by their ids: a second one would be taken for a copy of the first.
        if !self.ids.insert(asked.id.clone()) {
            asked
                .lane
                .give(asked.ticket, FinalResponse::Malformed("the id is in use by another open request"));
            return;
        }
        let now = self.clock.now();
        let id = request_id(asked.ticket, &asked.id);
        let (group, arrived) = (GroupId(asked.group), self.clock.at(asked.arrived));
        let touch = self.lookups.asked(ClassId(class), group, asked.key.as_deref(), &asked.statement);
        let request = Request {
            id,
            class: ClassId(class),
            group,
            key: asked.key.map(|key| SessionKey(hash(key.as_bytes()))),
            // Its time runs from its last byte, however long it stood behind others.
            give_up_at: arrived + (Micros::from(asked.wait_ms) * 1000 - ANSWER_MARGIN).max(1),
            doubted: self.talk.in_doubt(now, &asked.id),
            write_age: asked.after_ms.map(|ms| now - ms.saturating_mul(1000)),
        };
        let Asked { ticket, statement, lane, id: name, after_ms, .. } = asked;
        self.tickets.insert(ticket, id);
        self.requests.insert(
            id,
            Open {
                ticket,
                name,
                statement,
                lane,
                attempts: 0,
                class: ClassId(class),
                group,
                touch,
                arrived,
                endings: Vec::new(),
            },
        );
        if self.denied(group) {
            return self.tell_at(now, routing::Event::Denied(request));
        }
        if self.settled_at_once(id, now, after_ms) {
            return;
        }
        // The age of the session's write counts from the very time that the router takes the request at:
        // a later one would ask for a position some microseconds past the commit.
        self.tell_at(now, routing::Event::Request(request));
        // What was taken so late that the rest has been given up already is answered all the same.
        if self.gave_up {
            self.tell(routing::Event::Close);
        }
    }

    /// A client cancelled a request, and its connection has answered it: none of its attempts goes on.
    pub(super) fn cancelled(&mut self, ticket: RequestNumber) {
        if let Some(id) = self.tickets.get(&ticket).copied() {
            self.count(id, "failed", "cancelled");
            let attempts = self.ended(id, &FinalResponse::Cancelled).map_or(0, |open| open.attempts);
            self.withdraw(id, attempts, self.allowed.cancels);
            self.tell(routing::Event::Gone(id));
        }
    }

    /// An attempt has ended. Where the client has gone and the event that says so is still on its way, that comes
    /// first: nothing more is tried or looked for.
    pub(super) fn note_left(&mut self, id: RequestId) {
        let left = self.requests.get(&id).filter(|open| open.lane.has_left()).map(|open| open.ticket);
        left.into_iter().for_each(|ticket| self.gone(ticket));
    }

    /// One that was not sent since its client has gone is over.
    pub(super) fn close_left(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.lane.has_left()) {
            self.close(id);
        }
    }

    /// Ends the attempts of a request that nobody waits for any more: one that waits for its connection never begins,
    /// and one that has begun is given up where that is wanted.
    fn withdraw(&mut self, id: RequestId, attempts: u32, begun: bool) {
        for attempt in 0..attempts {
            match self.flights.get(&(id, attempt)).map(|flight| flight.stage.get()) {
                Some(Stage::Waiting) => self.end(id, attempt, Ending::Moot),
                Some(Stage::Begun | Stage::Written) if begun => self.end(id, attempt, Ending::Cancelled),
                _ => {}
            }
        }
    }

    /// A client went away: nothing more is owed.
    pub(super) fn gone(&mut self, ticket: RequestNumber) {
        if let Some(id) = self.tickets.get(&ticket).copied() {
            let open = self.requests.get(&id);
            let out = |o: &&Open| {
                let last = (id, o.attempts.saturating_sub(1));
                self.flights.contains_key(&last) || self.passing.has(&last)
            };
            if let Some(open) = open.filter(out) {
                self.talk.gone(self.clock.now(), id, open.class, &open.name);
            }
            let attempts = self.close(id).map_or(0, |open| open.attempts);
            self.withdraw(id, attempts, false);
            self.tell(routing::Event::Gone(id));
        }
    }

    /// Takes a request out of all tables.
    pub(super) fn close(&mut self, id: RequestId) -> Option<Open> {
        let open = self.requests.remove(&id)?;
        self.tickets.remove(&open.ticket);
        self.ids.remove(&open.name);
        Some(open)
    }

    /// Records the end of a request that is still open.
    pub(super) fn note_end(&self, id: RequestId, note: impl FnOnce(&Journal, Ended)) {
        if let Some(open) = self.requests.get(&id).filter(|_| self.journal.records()) {
            let (class, group, attempts) = (open.class, open.group, open.attempts);
            let took = self.clock.now() - open.arrived;
            note(&self.journal, Ended { class, group, member: None, attempts, took });
        }
    }

    /// Counts something of a request that is still open; one given up gets a line of its own, by which its id
    /// can be followed through the logs of all proxies.
    pub(super) fn count(&mut self, id: RequestId, what: &'static str, how: &'static str) {
        let open = self.requests.get(&id).filter(|_| self.counts.on());
        let class = open.and_then(|open| self.terms.names.get(open.class.0));
        class.into_iter().for_each(|class| self.counts.one(what, how, class));
        if let Some(open) = open.filter(|_| what != "served") {
            let names = self.by_host();
            let endings = open.endings.iter().map(|(host, ending)| {
                format!("{}:{}", names.get(host).unwrap_or(&"-"), counts::ending(*ending))
            });
            let took_ms = (self.clock.now() - open.arrived) / 1000;
            let class = self.terms.names.get(open.class.0).map_or("-", String::as_str);
            log::given_up(
                &open.name,
                class,
                open.group.0,
                (what, how),
                took_ms,
                &endings.collect::<Vec<_>>().join(","),
            );
        }
    }

    /// Keeps how an attempt ended, for the line of a request that is given up.
    pub(super) fn keep_ending(&mut self, id: RequestId, host: HostId, ending: Ending) {
        let most = self.allowed.attempts as usize;
        if let Some(open) = self.requests.get_mut(&id).filter(|o| o.endings.len() < most) {
            open.endings.push((host, ending));
        }
    }

    /// Gives the one final answer, and counts it: nothing else answers a request that was taken.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalResponse) {
        if let Some(open) = self.ended(id, &answer) {
            open.lane.give(open.ticket, answer);
        }
    }

    /// Counts the one final answer of a request that is still open, and takes it out of all tables.
    pub(super) fn ended(&mut self, id: RequestId, answer: &FinalResponse) -> Option<Open> {
        self.talk.answered(self.clock.now(), answer);
        let open = self.close(id)?;
        let end = match answer {
            FinalResponse::Served(_) => End::Success,
            FinalResponse::Rejected { .. } => End::Overload,
            FinalResponse::Failed | FinalResponse::Cancelled | FinalResponse::Malformed(_) => End::Error,
        };
        self.shared.figures.ended(open.class.0, end);
        Some(open)
    }
}

/// The module's id: the ticket, which keeps equal ids of clients apart, and the client's id.
fn request_id(ticket: RequestNumber, id: &str) -> RequestId {
    let mut bytes = [b'.'; 36];
    bytes[..16].copy_from_slice(format!("{:016x}", ticket.0).as_bytes());
    let id = &id.as_bytes()[..id.len().min(MAX_ID_BYTES)];
    bytes[16..16 + id.len()].copy_from_slice(id);
    RequestId(bytes)
}
