//! Keys that are known to be missing, kept by all proxies in common and answered from by position, as every read is:
//! a fact is (group, key, position), and says that the key had no row in a state that holds every commit up to there.
//! It does no I/O: answers of members, messages and the time go in; verdicts and messages come out.
//!
//! A fact alone answers a bounded read for no longer than the read's bound. It holds longer where it is proved that
//! nothing wrote the key in between. Time is cut into slots of equal length. Each proxy notes, for each slot, the keys
//! of all writes that it began and that may commit in it, and closes the slot once no further write of its can. Who
//! may write holds a leave of a bank; a bank seals a slot once all that held its leave have closed it, and once nobody
//! to whom it gives leave from now on can write in it. Where all banks have sealed a slot, the facts of all keys not
//! noted in it move forward over it.
//!
//! - [`Hasher`]: keyed hashes of statements and keys.
//! - [`Writes`]: one proxy's own writes, and its notes of them.
//! - [`Leave`]: one proxy's leave to write.
//! - [`Bank`]: gives leave, collects notes, and seals slots.
//! - [`Closed`]: what the banks have sealed.
//! - [`Facts`]: the bounded table of facts.
//! - [`Missing`]: what is asked for each read.
//! - [`Node`]: all of these of one process, and its messages.
//!
//! Positions are rounded down, needs up, and clocks (those of members too, which stamp commits) may differ by
//! [`Terms::apart`] at any time. See `docs/design/missing.md`.
//!
//! ```
//! use wharfplank_negative_cache::{Asked, Hasher, Missing, Need, Terms, Verdict};
//!
//! let hasher = Hasher::new([7; 16]);
//! let mut missing = Missing::new(Terms::default(), 1, 0);
//! let asked = Asked::new(&hasher, 3, b"SELECT pay FROM slips WHERE id = 'x'", b"x", 1);
//! let now = 10_000_000;
//! assert!(matches!(missing.question(now, &asked, Need::Bounded(1_000_000)), Verdict::Ask(_)));
//! missing.heard(now, &asked, now - 20_000, 0);
//! assert!(matches!(missing.question(now, &asked, Need::Bounded(1_000_000)), Verdict::Missing { .. }));
//! assert!(matches!(missing.question(now, &asked, Need::Fresh), Verdict::Ask(_)));
//! ```

mod bank;
mod closed;
mod facts;
mod hash;
mod leave;
mod node;
mod verdict;
mod window;
mod writes;

pub use bank::{Ask, Bank, Grant, Seal, HOLDERS_MOST, SEAL_MARKS_MOST};
pub use closed::{Closed, TOUCHED_MOST};
pub use facts::{Fact, Facts, Told};
pub use hash::{Hasher, Key, Mark};
pub use leave::Leave;
pub use node::{Node, ANSWERS_MOST, ANSWER_BYTES_MOST};
pub use verdict::{Asked, Counts, Missing, Need, Verdict, Why};
pub use window::{Window, KEPT};
pub use writes::{Note, Ticket, Writes, MARKS_MOST, NOTES_MOST, WRITES_MOST};

/// A time, a span of time or a log position, in microseconds since the Unix epoch.
pub type Micros = i64;

/// A slot of positions: those after `slot * Terms::slot`, up to and with `(slot + 1) * Terms::slot`.
pub type Slot = i64;

/// The figures of the whole fleet: equal on all of its proxies and banks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// The length of a slot.
    pub slot: Micros,
    /// The most by which any two clocks differ, those of members that stamp commits too.
    pub apart: Micros,
    /// How long a leave to write holds, on the bank's clock, from when it was asked for.
    pub life: Micros,
    /// How often a holder asks each bank.
    pub ask_every: Micros,
    /// A write commits no later than this after its first byte went out, whether or not its answer comes: what the
    /// members' time-out of statements and the connections' time-out of unacknowledged bytes add up to, or more.
    pub late: Micros,
    /// A fact ends this long after a member said it.
    pub fact_life: Micros,
    /// Facts held at most that were asked for twice.
    pub facts_most: usize,
    /// Facts of each of the two ages held at most that were asked for once.
    pub once_most: usize,
    /// Facts asked for once that are told to the other proxies in each second, at most.
    pub tells: u32,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            slot: 250_000,
            apart: 100_000,
            life: 5_000_000,
            ask_every: 250_000,
            late: 10_000_000,
            fact_life: 600_000_000,
            facts_most: 1 << 20,
            once_most: 1 << 16,
            tells: 100,
        }
    }
}

impl Terms {
    /// The slot in which a commit at this position lies.
    pub fn slot_of(&self, commit: Micros) -> Slot {
        (commit - 1).div_euclid(self.slot)
    }

    /// The slot that a fact at this position must cross next: the one with the first commit after it.
    pub fn slot_after(&self, position: Micros) -> Slot {
        position.div_euclid(self.slot)
    }

    /// The last position of a slot.
    pub fn end_of(&self, slot: Slot) -> Micros {
        (slot + 1) * self.slot
    }

    /// Whether nothing that begins from now on, by this clock, can commit within the slot or before it.
    pub fn past(&self, now: Micros, slot: Slot) -> bool {
        now - self.apart > self.end_of(slot)
    }

    /// How long a holder takes its leave to last from when it asked. Its clock and the bank's may each have been off
    /// by `apart` in the worse direction at both ends.
    pub fn held_for(&self) -> Micros {
        self.life - 2 * self.apart
    }

    /// The last slot in which a write may commit that began, by this clock, no later than now.
    pub fn reaches(&self, now: Micros) -> Slot {
        self.slot_of(now + self.apart + self.late)
    }
}
