//! A memory budget for connection buffers beyond a fixed free size per buffer.

use std::cell::Cell;
use std::rc::Rc;
use wharfplank_protocol::read_buffer::MAX_RETAINED_CAPACITY;

/// A limit, in bytes, on the memory that all connections together may buffer beyond a free size per buffer.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes with no reservations.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget { limit, reserved: Cell::new(0) })
    }

    /// Returns the number of unreserved bytes.
    pub fn available(&self) -> usize {
        self.limit.saturating_sub(self.reserved.get())
    }
}

/// A reservation in a [`MemoryBudget`], released on drop.
pub(crate) struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    reserved: usize,
}

impl MemoryReservation {
    /// Creates a reservation of zero bytes.
    pub(crate) fn new(budget: &Rc<MemoryBudget>) -> Self {
        MemoryReservation { budget: Rc::clone(budget), reserved: 0 }
    }

    /// Returns the budget of this reservation.
    pub(crate) fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Sets the reservation to that of a buffer of `capacity` bytes, of which the first
    /// [`MAX_RETAINED_CAPACITY`] bytes are free. Returns false if the buffer is larger than that and the
    /// budget is exceeded; the reservation is changed in any case.
    pub(crate) fn resize(&mut self, capacity: usize) -> bool {
        let charged = capacity.saturating_sub(MAX_RETAINED_CAPACITY);
        self.charge(charged);
        charged == 0 || self.budget.reserved.get() <= self.budget.limit
    }

    /// Sets the reservation to this number of bytes, none of which are free.
    pub(crate) fn charge(&mut self, bytes: usize) {
        let total = self.budget.reserved.get() - self.reserved + bytes;
        self.budget.reserved.set(total);
        self.reserved = bytes;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
