//! The list that is believed, and the next call.

mod belief;

use super::call::{Ask, Call};
use super::news::{Age, Doubt};
use super::pace::Pace;
use fastrand::Rng;
use std::collections::BTreeMap;
use wharfplank_protocol::endpoint_list::{EndpointList, EndpointRecord};
use wharfplank_routing::Micros;

/// A watch answered after less than this part of its wait, with nothing to say, was hurried.
const HURRIED: Micros = 2;

/// An answer that is not believed yet.
#[derive(Debug)]
struct Pending {
    doubt: Doubt,
    list: EndpointList,
}

/// The list of members as far as it is believed, and the calls to discovery.
#[derive(Debug)]
pub struct Desk {
    pace: Pace,
    held: BTreeMap<String, EndpointRecord>,
    /// The newest version believed at this address.
    seq: Option<u64>,
    /// The version of the list as it was known at the start, where a watch may go on from it.
    known: Option<u64>,
    random: Rng,
    pending: Option<Pending>,
    /// Members that an answer in doubt took out of use, when that must be kept, believed or not, and the doubt.
    stops: BTreeMap<String, (Micros, Doubt)>,
    heard_at: Option<Micros>,
    called_at: Option<Micros>,
    /// Calls that failed since the last answer, and answers that came at once and said nothing.
    failures: u32,
    hurried: u32,
    /// The last call was a watch that failed only when its wait was over.
    waiting: bool,
    /// Whether the next call asks for the whole list.
    whole: bool,
    /// When the whole list is asked for once more, though nothing calls for it.
    whole_at: Option<Micros>,
    since: Micros,
}

impl Desk {
    /// Begins at `now` with the list as it was last known.
    pub fn new(pace: Pace, known: &EndpointList, now: Micros) -> Self {
        let held = known.endpoints.iter().map(|h| (h.name.clone(), h.clone())).collect();
        Desk {
            pace,
            held,
            seq: None,
            known: pace.shared.and(Some(known.version)).filter(|_| !known.endpoints.is_empty()),
            random: Rng::with_seed(pace.shared.map_or(0, |s| s.seed)),
            pending: None,
            stops: BTreeMap::new(),
            heard_at: None,
            called_at: None,
            failures: 0,
            hurried: 0,
            waiting: false,
            whole: pace.shared.is_none(),
            whole_at: None,
            since: now,
        }
    }

    /// Discovery is at another address from now on: the old one's versions need mean nothing there, and the whole list
    /// is asked for. What was in doubt is asked for anew, and its deadline stands.
    ///
    /// Where many proxies share discovery their calls for the whole list would keep it from answering any. They go on
    /// from their version, as a new process does from the list it knows; an older one there is in doubt and has the
    /// whole list asked for; and each asks for that once, spread over a time that suits so many.
    pub fn moved(&mut self, now: Micros) {
        let many = self.pace.shared.filter(|shared| !self.pace.few(shared));
        self.known = many.and(self.seq.or(self.known));
        (self.seq, self.heard_at, self.called_at) = (None, None, None);
        (self.failures, self.hurried, self.waiting, self.since) = (0, 0, false, now);
        self.whole = self.known.is_none();
        self.whole_at = many.filter(|_| !self.whole).map(|shared| {
            // The calls of all for what is new come first.
            let span = Micros::from(shared.proxies) * Pace::WHOLE_SPREAD;
            now + span + self.random.i64(0..span)
        });
    }

    /// The next call.
    pub fn next(&mut self, now: Micros) -> Call {
        self.whole |= self.whole_at.is_some_and(|at| now >= at) && self.failures == 0 && !self.waiting;
        let ask = match self.seq.or(self.known).filter(|_| !self.whole) {
            Some(seq) => Ask::Watch { seq },
            None => Ask::Whole,
        };
        let pause = self.pause(now);
        let at = match self.called_at {
            // A watch that lasted goes on at once.
            Some(called) if self.failures == 0 && self.hurried == 0 => now.max(called + pause),
            Some(_) => now + pause,
            None => now + self.pace.shared.map_or(0, |s| self.random.i64(0..self.pace.first_within(&s))),
        };
        self.called_at = Some(at);
        let Pace { connect, .. } = self.pace;
        let wait = if ask == Ask::Whole { 0 } else { self.pace.wait };
        let answer = self.pace.patience(wait);
        // A service that is late is not asked twice at a time; a watch that it granted and that fell silent is.
        let late = self.failures > 0 || self.waiting || self.heard_at.is_none();
        let alone = self.pace.shared.is_some() && (late || ask == Ask::Whole);
        let beside = if alone { answer } else { wait + self.pace.beside };
        let again = if self.pace.shared.is_some() { ask } else { Ask::Whole };
        let (again_wait, again_answer) = self.pace.again();
        let most = self.pace.most().max(answer);
        Call { ask, wait, at, connect, answer, beside, again, again_wait, again_answer, most }
    }

    /// The pause before the next call.
    fn pause(&mut self, now: Micros) -> Micros {
        if self.waiting {
            return Pace::APART;
        }
        if self.failures == 0 {
            return (Pace::APART << self.hurried.min(10)).min(Pace::IDLE_APART);
        }
        match self.pace.shared {
            None => (Pace::APART << (self.failures - 1).min(10)).min(self.pace.failed_apart()),
            Some(shared) => {
                // What the failed call has taken counts as well.
                let room = self.called_at.map_or(0, |called| called + self.pace.again_within() - now);
                let most = self.pace.shared_apart(&shared, self.failures).min(room).max(2 * Pace::APART);
                most / 2 + self.random.i64(0..most / 2)
            }
        }
    }

    /// A call failed, or its answer could not be read. The list stays, and is asked for as a whole; where the service
    /// is shared it is asked for what is newer, and as a whole after several failures. A watch that failed there only
    /// when its wait was over still stands in the service's line: asked again at once it keeps its place, while
    /// asking anew later goes to the end of it.
    pub fn failed(&mut self, now: Micros) {
        let watched = self.pace.shared.is_some() && !self.whole;
        self.waiting = watched && self.called_at.is_some_and(|at| now - at >= self.pace.wait * 9 / 10);
        if self.waiting {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let many = self.pace.shared.is_some_and(|s| !self.failures.is_multiple_of(self.pace.whole_after(&s)));
        self.whole = !many || self.seq.or(self.known).is_none();
    }

    /// How old the list is.
    pub fn age(&self, now: Micros) -> Age {
        let Some(heard) = self.heard_at else {
            let old = now - self.since > self.pace.old_after();
            return if old { Age::Old } else { Age::Unheard };
        };
        match now - heard {
            age if age <= self.pace.wait + self.pace.answer => Age::Fresh,
            age if age <= self.pace.old_after() => Age::Late,
            _ => Age::Old,
        }
    }
}
