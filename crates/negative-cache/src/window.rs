//! A sliding window over the newest slots, with one bit for each.

use crate::Slot;

/// The number of slots in a window.
pub const WINDOW_SLOTS: i64 = 128;

/// A set of slots among the [`WINDOW_SLOTS`] from `first` on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct SlotWindow {
    first: Slot,
    bits: u128,
}

impl SlotWindow {
    /// Creates an empty set over the window that begins at a slot.
    pub fn new(first: Slot) -> SlotWindow {
        SlotWindow { first, bits: 0 }
    }

    /// The first slot of the window.
    pub fn first(&self) -> Slot {
        self.first
    }

    /// Moves the window forward to begin at a slot, and forgets the slots before it. It never moves back.
    pub fn advance_to(&mut self, first: Slot) {
        let distance = first.saturating_sub(self.first);
        if distance <= 0 {
            return;
        }
        self.bits = if distance >= WINDOW_SLOTS { 0 } else { self.bits >> distance };
        self.first = first;
    }

    /// Adds a slot. Returns whether it is within the window.
    pub fn insert(&mut self, slot: Slot) -> bool {
        let Some(index) = self.index(slot) else { return false };
        self.bits |= 1 << index;
        true
    }

    /// Whether the slot is in the set.
    pub fn contains(&self, slot: Slot) -> bool {
        self.index(slot).is_some_and(|index| self.bits >> index & 1 == 1)
    }

    /// How many slots from this one on are in the set without a gap.
    pub fn run_length(&self, slot: Slot) -> i64 {
        self.index(slot).map_or(0, |index| i64::from((self.bits >> index).trailing_ones()))
    }

    /// The newest slot in the set.
    pub fn last(&self) -> Option<Slot> {
        (self.bits != 0).then(|| self.first + WINDOW_SLOTS - 1 - i64::from(self.bits.leading_zeros()))
    }

    /// The slots in both sets, over the part of the windows that they share.
    pub fn intersection(mut self, mut other: SlotWindow) -> SlotWindow {
        self.align(&mut other);
        SlotWindow { first: self.first, bits: self.bits & other.bits }
    }

    /// The slots in either set, over the part of the windows that they share.
    pub fn union(mut self, mut other: SlotWindow) -> SlotWindow {
        self.align(&mut other);
        SlotWindow { first: self.first, bits: self.bits | other.bits }
    }

    fn align(&mut self, other: &mut SlotWindow) {
        let first = self.first.max(other.first);
        self.advance_to(first);
        other.advance_to(first);
    }

    /// The bit of a slot, if the slot is within the window.
    fn index(&self, slot: Slot) -> Option<i64> {
        let index = slot.saturating_sub(self.first);
        (0..WINDOW_SLOTS).contains(&index).then_some(index)
    }
}
