//! A sliding window over the newest slots with one bit per slot.

use crate::Slot;

/// The number of slots in a window.
pub const WINDOW_SLOTS: i64 = 128;

/// A set of slots within a window of [`WINDOW_SLOTS`] slots that starts at `first`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct SlotWindow {
    first: Slot,
    bits: u128,
}

impl SlotWindow {
    /// Creates an empty set over the window that starts at `first`.
    pub fn new(first: Slot) -> SlotWindow {
        SlotWindow { first, bits: 0 }
    }

    /// Returns the first slot of the window.
    pub fn first(&self) -> Slot {
        self.first
    }

    /// Moves the start of the window forward to `first` and removes the slots before it. The window never
    /// moves back.
    pub fn advance_to(&mut self, first: Slot) {
        let distance = first.saturating_sub(self.first);
        if distance <= 0 {
            return;
        }
        self.bits = if distance >= WINDOW_SLOTS { 0 } else { self.bits >> distance };
        self.first = first;
    }

    /// Adds a slot if it is within the window. Returns whether it is.
    pub fn insert(&mut self, slot: Slot) -> bool {
        let Some(index) = self.index(slot) else { return false };
        self.bits |= 1 << index;
        true
    }

    /// Returns whether the slot is in the set.
    pub fn contains(&self, slot: Slot) -> bool {
        self.index(slot).is_some_and(|index| self.bits >> index & 1 == 1)
    }

    /// Returns the length of the contiguous run of slots in the set that starts at `slot`.
    pub fn run_length(&self, slot: Slot) -> i64 {
        self.index(slot).map_or(0, |index| i64::from((self.bits >> index).trailing_ones()))
    }

    /// Returns the newest slot in the set.
    pub fn last(&self) -> Option<Slot> {
        (self.bits != 0).then(|| self.first + WINDOW_SLOTS - 1 - i64::from(self.bits.leading_zeros()))
    }

    /// Returns the slots in both sets, over the window that starts later.
    pub fn intersection(mut self, mut other: SlotWindow) -> SlotWindow {
        self.align(&mut other);
        SlotWindow { first: self.first, bits: self.bits & other.bits }
    }

    /// Returns the slots in either set, over the window that starts later.
    pub fn union(mut self, mut other: SlotWindow) -> SlotWindow {
        self.align(&mut other);
        SlotWindow { first: self.first, bits: self.bits | other.bits }
    }

    fn align(&mut self, other: &mut SlotWindow) {
        let first = self.first.max(other.first);
        self.advance_to(first);
        other.advance_to(first);
    }

    /// Returns the index of a slot's bit if the slot is within the window.
    fn index(&self, slot: Slot) -> Option<i64> {
        let index = slot.saturating_sub(self.first);
        (0..WINDOW_SLOTS).contains(&index).then_some(index)
    }
}
