//! A budget for the memory that connections buffer beyond a modest size each.

use std::cell::Cell;
use std::rc::Rc;
use wharfplank_protocol::read_buffer::MAX_RETAINED_CAPACITY;

/// What all connections together may buffer beyond a modest size each, in bytes.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes of which nothing is reserved.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget { limit, reserved: Cell::new(0) })
    }

    /// Bytes that are not reserved.
    pub fn available(&self) -> usize {
        self.limit.saturating_sub(self.reserved.get())
    }
}

/// The part of a [`MemoryBudget`] that one owner has reserved. It is released on drop.
pub(crate) struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    reserved: usize,
}

impl MemoryReservation {
    /// Creates a reservation of zero bytes.
    pub(crate) fn new(budget: &Rc<MemoryBudget>) -> Self {
        MemoryReservation { budget: Rc::clone(budget), reserved: 0 }
    }

    /// The budget that this reservation is part of.
    pub(crate) fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Changes the reservation to that of a buffer of `capacity` bytes, of which a modest size is free of charge.
    /// Returns false if the buffer is larger than that and the budget is exceeded; the reservation is changed even
    /// then.
    pub(crate) fn resize(&mut self, capacity: usize) -> bool {
        let charged = capacity.saturating_sub(MAX_RETAINED_CAPACITY);
        let total = self.budget.reserved.get() - self.reserved + charged;
        self.budget.reserved.set(total);
        self.reserved = charged;
        charged == 0 || total <= self.budget.limit
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
