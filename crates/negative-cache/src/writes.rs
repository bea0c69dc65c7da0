//! One proxy's own writes: which keys they may touch, and in which slots they may commit.

use crate::{Mark, Micros, Slot, Terms, KEPT};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Writes held at most: open ones, and those that ended within the slots still to be closed.
pub const WRITES_MOST: usize = 65_536;
/// Marks of one note at most; past that it marks every key.
pub const MARKS_MOST: usize = 4_096;
/// Notes in one message at most.
pub const NOTES_MOST: usize = 32;

/// What a proxy says of one slot: every write of its that may commit in it touches no key but these.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Note {
    /// The slot.
    pub slot: Slot,
    /// There were too many: every key of every group may have been written.
    pub every: bool,
    /// The keys, in rising order.
    pub marks: Vec<Mark>,
}

/// A write begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    marks: Vec<Mark>,
    from: Slot,
    /// The last slot in which it may commit; `None` while it runs.
    until: Option<Slot>,
}

/// The writes of one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Writes {
    terms: Terms,
    now: Micros,
    next: u64,
    writes: BTreeMap<Ticket, Write>,
    /// The newest slot that is closed.
    closed: Slot,
    notes: VecDeque<Note>,
}

impl Writes {
    /// A process that has begun no write yet.
    pub fn new(terms: Terms, now: Micros) -> Writes {
        // Back to what a bank whose clock is behind may take for the slot of its first grant.
        let closed = terms.slot_of(now - 3 * terms.apart) - 1;
        Writes { terms, now, next: 0, writes: BTreeMap::new(), closed, notes: VecDeque::new() }
    }

    /// Notes a write before its first byte goes out. `marks` are all keys that it can make present: the whole group
    /// where that cannot be told. `None`: too many are held, and it must not be sent.
    pub fn begin(&mut self, now: Micros, marks: Vec<Mark>) -> Option<Ticket> {
        self.moves(now);
        if self.writes.len() >= WRITES_MOST {
            return None;
        }
        self.next += 1;
        let ticket = Ticket(self.next);
        let from = self.terms.slot_of(self.now - self.terms.apart);
        self.writes.insert(ticket, Write { marks, from, until: None });
        Some(ticket)
    }

    /// Its answer came, whatever it was: it has committed or never will.
    pub fn settled(&mut self, now: Micros, ticket: Ticket) {
        self.moves(now);
        let until = self.terms.slot_of(self.now + self.terms.apart);
        self.ends(ticket, until);
    }

    /// No answer will come (time-out, reset, cancelled): it may commit for as long as a statement can run yet.
    pub fn in_doubt(&mut self, now: Micros, ticket: Ticket) {
        self.moves(now);
        let until = self.terms.reaches(self.now);
        self.ends(ticket, until);
    }

    /// It broke before its last byte was written: it never ran.
    pub fn never_ran(&mut self, ticket: Ticket) {
        self.writes.remove(&ticket);
    }

    fn ends(&mut self, ticket: Ticket, until: Slot) {
        if let Some(write) = self.writes.get_mut(&ticket) {
            write.until = Some(until);
        }
    }

    /// Closes the slots in which no write that begins from now on can commit.
    pub fn moves(&mut self, now: Micros) {
        // A clock that is set back starts nothing earlier: commits are stamped by another, which ran on.
        self.now = self.now.max(now);
        let newest = self.terms.slot_of(self.now - self.terms.apart) - 1;
        // After a long pause, slots that nobody keeps any more need no notes.
        self.closed = self.closed.max(newest - KEPT);
        while self.terms.past(self.now, self.closed + 1) {
            self.closed += 1;
            let slot = self.closed;
            let within = |w: &&Write| w.from <= slot && w.until.is_none_or(|until| until >= slot);
            let mut marks: Vec<Mark> =
                self.writes.values().filter(within).flat_map(|w| w.marks.iter().copied()).collect();
            marks.sort_unstable();
            marks.dedup();
            let every = marks.len() > MARKS_MOST;
            if every {
                marks.clear();
            }
            self.notes.push_back(Note { slot, every, marks });
            self.writes.retain(|_, write| write.until.is_none_or(|until| until > slot));
        }
        while self.notes.len() > KEPT as usize {
            self.notes.pop_front();
        }
    }

    /// The newest slot that is closed.
    pub fn closed(&self) -> Slot {
        self.closed
    }

    /// Notes of the slots after this one, oldest first, as many as go into one message.
    pub fn notes_after(&self, slot: Slot) -> Vec<Note> {
        let mut room = 2 * MARKS_MOST;
        let fits = |note: &&Note| {
            let fits = note.marks.len() <= room;
            room -= note.marks.len().min(room);
            fits
        };
        self.notes.iter().filter(|note| note.slot > slot).take(NOTES_MOST).take_while(fits).cloned().collect()
    }

    /// The last slot in which a write of this process may commit if it begins none from now on. `None`: one still
    /// runs, and that cannot be told.
    pub fn last(&self) -> Option<Slot> {
        let newest = self.terms.slot_of(self.now + self.terms.apart);
        self.writes.values().try_fold(newest, |last, write| Some(last.max(write.until?)))
    }

    /// Writes held.
    pub fn held(&self) -> usize {
        self.writes.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn marked(writes: &Writes, mark: u32) -> Vec<Slot> {
        let has = |note: &&Note| note.marks.contains(&Mark(mark));
        writes.notes_after(Slot::MIN).iter().filter(has).map(|note| note.slot).collect()
    }

    #[test]
    fn a_write_is_noted_in_every_slot_in_which_it_may_commit() {
        let terms = Terms { slot: 100, apart: 10, late: 1_000, ..Terms::default() };
        let mut writes = Writes::new(terms.clone(), 10_000);
        let (a, b) =
            (writes.begin(10_005, vec![Mark(1)]).unwrap(), writes.begin(10_005, vec![Mark(2)]).unwrap());
        let c = writes.begin(10_005, vec![Mark(3)]).unwrap();
        writes.never_ran(c);
        writes.moves(10_110);
        assert_eq!(writes.closed(), 99, "closed a slot in which a write that begins now may commit");
        writes.moves(10_111);
        assert_eq!(writes.closed(), 100);
        writes.settled(10_195, a);
        writes.in_doubt(10_195, b);
        assert_eq!(writes.last(), Some(112));
        writes.moves(11_600);
        // By clocks 10 apart: from 9,995 to 10,205, and 1,000 longer in doubt.
        assert_eq!(marked(&writes, 1), [99, 100, 101, 102]);
        assert_eq!(marked(&writes, 2), (99..=112).collect::<Vec<_>>());
        assert_eq!((marked(&writes, 3).len(), writes.held()), (0, 0));
    }

    #[test]
    fn what_is_held_is_bounded_and_too_many_marks_are_every_key() {
        let terms = Terms::default();
        let mut writes = Writes::new(terms.clone(), 0);
        let all: Vec<_> = (0..WRITES_MOST as u32).filter_map(|n| writes.begin(0, vec![Mark(n)])).collect();
        assert_eq!((all.len(), writes.begin(0, vec![])), (WRITES_MOST, None));
        writes.moves(500 * terms.slot);
        let notes = writes.notes_after(Slot::MIN);
        assert_eq!(notes.len(), NOTES_MOST);
        assert!(notes.iter().all(|note| note.every && note.marks.is_empty()));
        assert_eq!(writes.notes.len(), KEPT as usize);
    }
}
