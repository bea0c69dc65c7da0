//! What the banks have sealed: the least closed time over all that may write, and the keys written near it.

use crate::{Mark, Micros, Seal, Slot, Terms, Window, KEPT};
use hashbrown::HashMap;

/// Marks held at most; past that every key counts as written in the newest slot. From half of it on, the older half
/// of the slots is let go of first.
pub const TOUCHED_MOST: usize = 1 << 18;

/// One bank's seals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Line {
    launch: Micros,
    sealed: Window,
}

/// What one proxy knows of all banks' seals. Merging is a maximum in every part: in any order, once or twice.
#[derive(Clone, Debug)]
pub struct Closed {
    terms: Terms,
    lines: Vec<Line>,
    /// Slots that all banks have sealed.
    all: Window,
    /// All slots from this one up to the window were sealed by all banks, and the marks in them are still held.
    run_from: Slot,
    /// The newest slot in which a key was marked.
    touched: HashMap<Mark, Slot, foldhash::fast::FixedState>,
    /// The newest slot in which every key was.
    every: Slot,
    purged_at: Slot,
    /// Seals not taken: of a bank that is not one of ours, or from ahead of this clock.
    pub refused: u64,
}

impl PartialEq for Closed {
    fn eq(&self, other: &Closed) -> bool {
        (&self.lines, &self.all, &self.touched, self.every)
            == (&other.lines, &other.all, &other.touched, other.every)
    }
}

impl Closed {
    /// Nothing known, of so many banks. Without banks nothing is ever closed.
    pub fn new(terms: Terms, banks: usize, now: Micros) -> Closed {
        let base = terms.slot_of(now) - KEPT + 2;
        let (touched, line) = (HashMap::default(), Line { launch: Micros::MIN, sealed: Window::new(base) });
        let (lines, all) = (vec![line; banks], Window::new(base));
        Closed { terms, lines, all, run_from: base, touched, every: Slot::MIN, purged_at: base, refused: 0 }
    }

    /// Lets go of what is too old to be used.
    pub fn moves(&mut self, now: Micros) {
        let (old, base) = (self.all.base(), self.terms.slot_of(now) - KEPT + 2);
        if base <= old {
            return;
        }
        // A slot that leaves the window unsealed is a gap for good: no fact from before it moves any more.
        let gap = (old..base.min(old + KEPT)).rev().find(|slot| !self.all.has(*slot));
        self.run_from = if base - old > KEPT { base } else { gap.map_or(self.run_from, |gap| gap + 1) };
        self.lines.iter_mut().for_each(|line| line.sealed.shift(base));
        self.all.shift(base);
        if base - self.purged_at < KEPT / 8 {
            return;
        }
        self.purged_at = base;
        // Marks from before the run stand in the way of no fact that can still move.
        let mut floor = self.run_from.max(base - self.terms.fact_life / self.terms.slot);
        if self.touched.len() > TOUCHED_MOST / 2 {
            floor += (base - floor) / 2 + 1;
        }
        self.run_from = floor.min(base);
        self.touched.retain(|_, slot| *slot >= floor.min(base));
    }

    /// A bank's seal has come. False where it says nothing new.
    pub fn take(&mut self, now: Micros, seal: &Seal) -> bool {
        self.moves(now);
        let ahead = self.terms.end_of(seal.slot) > now.saturating_add(self.terms.apart);
        let Some(line) = self.lines.get_mut(seal.bank as usize).filter(|_| !ahead) else {
            self.refused += 1;
            return false;
        };
        // A newer process of the bank takes the older one's place: what that says from now on counts nothing.
        if seal.launch > line.launch {
            *line = Line { launch: seal.launch, sealed: Window::new(line.sealed.base()) };
        }
        let news = seal.launch == line.launch && !line.sealed.has(seal.slot);
        // The marks come before the seal: no fact may cross a slot whose marks are not all here.
        self.touch(seal.slot, seal.every, seal.marks.iter().copied());
        let news = news && self.lines[seal.bank as usize].sealed.set(seal.slot);
        if news {
            self.settle();
        }
        news
    }

    /// Takes all that another knows.
    pub fn merge(&mut self, other: &Closed) {
        for (line, theirs) in self.lines.iter_mut().zip(&other.lines) {
            let base = line.sealed.base().max(theirs.sealed.base());
            if theirs.launch > line.launch {
                *line = *theirs;
            } else if theirs.launch == line.launch {
                line.sealed = line.sealed.or(theirs.sealed);
            }
            line.sealed.shift(base);
        }
        self.every = self.every.max(other.every);
        for (mark, slot) in &other.touched {
            self.touch(*slot, false, [*mark].into_iter());
        }
        self.settle();
    }

    fn touch(&mut self, slot: Slot, every: bool, marks: impl Iterator<Item = Mark>) {
        if every {
            self.every = self.every.max(slot);
        }
        for mark in marks {
            if self.touched.len() >= TOUCHED_MOST && !self.touched.contains_key(&mark) {
                self.every = self.every.max(slot);
                continue;
            }
            let held = self.touched.entry(mark).or_insert(slot);
            *held = slot.max(*held);
        }
    }

    fn settle(&mut self) {
        let mut lines = self.lines.iter().map(|line| line.sealed);
        if let Some(first) = lines.next() {
            self.all = lines.fold(first, Window::and);
        }
    }

    /// How far a fact moves: over all slots from its own on that every bank has sealed without a gap, if neither its
    /// key nor its whole group was written since. A constant number of steps.
    pub fn forward(&self, position: Micros, mark: Mark, whole: Mark) -> Micros {
        let (slot, base) = (self.terms.slot_after(position), self.all.base());
        let next = slot.max(base);
        let to = next + self.all.run(next);
        if slot < self.run_from.min(base) || to == slot || self.every >= slot {
            return position;
        }
        let written = |mark: &Mark| self.touched.get(mark).is_some_and(|at| *at >= slot);
        if written(&mark) || written(&whole) {
            return position;
        }
        position.max(self.terms.end_of(to - 1))
    }

    /// The newest position up to which facts can move.
    pub fn horizon(&self) -> Option<Micros> {
        self.all.last().map(|slot| self.terms.end_of(slot))
    }

    /// Marks held.
    pub fn marks(&self) -> usize {
        self.touched.len()
    }
}
