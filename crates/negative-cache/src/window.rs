//! Which of the newest slots something is so for.

use crate::Slot;

/// Slots that are kept.
pub const KEPT: i64 = 128;

/// A bit for each of [`KEPT`] slots from `base` on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Window {
    base: Slot,
    bits: u128,
}

impl Window {
    /// No bit set.
    pub fn new(base: Slot) -> Window {
        Window { base, bits: 0 }
    }

    /// The oldest slot kept.
    pub fn base(&self) -> Slot {
        self.base
    }

    /// Lets go of the slots before `base`; goes back never.
    pub fn shift(&mut self, base: Slot) {
        let by = base.saturating_sub(self.base);
        if by > 0 {
            self.bits = if by >= KEPT { 0 } else { self.bits >> by };
            self.base = base;
        }
    }

    /// Sets a slot's bit. False where it is not kept.
    pub fn set(&mut self, slot: Slot) -> bool {
        let at = slot.saturating_sub(self.base);
        let kept = (0..KEPT).contains(&at);
        if kept {
            self.bits |= 1 << at;
        }
        kept
    }

    /// Whether the slot's bit is set.
    pub fn has(&self, slot: Slot) -> bool {
        let at = slot.saturating_sub(self.base);
        (0..KEPT).contains(&at) && self.bits >> at & 1 == 1
    }

    /// How many slots from this one on have their bits set, without a gap.
    pub fn run(&self, slot: Slot) -> i64 {
        let at = slot.saturating_sub(self.base);
        if (0..KEPT).contains(&at) {
            i64::from((self.bits >> at).trailing_ones())
        } else {
            0
        }
    }

    /// The newest slot whose bit is set.
    pub fn last(&self) -> Option<Slot> {
        (self.bits != 0).then(|| self.base + KEPT - 1 - i64::from(self.bits.leading_zeros()))
    }

    /// Bits set in both, over the slots that both keep.
    pub fn and(mut self, mut other: Window) -> Window {
        self.align(&mut other);
        Window { base: self.base, bits: self.bits & other.bits }
    }

    /// Bits set in either, over the slots that both keep.
    pub fn or(mut self, mut other: Window) -> Window {
        self.align(&mut other);
        Window { base: self.base, bits: self.bits | other.bits }
    }

    fn align(&mut self, other: &mut Window) {
        let base = self.base.max(other.base);
        self.shift(base);
        other.shift(base);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slots_are_kept_by_number_whatever_the_base() {
        let mut window = Window::new(10);
        assert!(window.set(10) && window.set(11) && window.set(13) && window.set(137));
        assert!(!window.set(9) && !window.set(138));
        assert_eq!((window.run(10), window.run(12), window.run(13)), (2, 0, 1));
        window.shift(11);
        window.shift(5);
        assert_eq!(
            (window.base(), window.has(10), window.has(11), window.last()),
            (11, false, true, Some(137))
        );
        let mut other = Window::new(0);
        assert!(other.set(11) && other.set(13) && other.set(14));
        let both = window.and(other);
        assert_eq!((both.has(11), both.has(13), both.has(14), both.has(137)), (true, true, false, false));
        assert!(window.or(other).has(14));
        window.shift(1_000_000);
        assert_eq!(window.last(), None);
    }
}
