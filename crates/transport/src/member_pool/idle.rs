//! Closing of idle connections: those that are too old, have died or are over budget.

use super::connection::MemberConnection;
use super::end_reason::EndReason;
use super::MemberPool;
use std::rc::Rc;
use std::time::{Duration, Instant};

impl MemberPool {
    /// Closes idle connections that are too old, have died or are over budget, and opens spare ones. To be called
    /// regularly.
    pub fn maintain(self: &Rc<Self>) {
        let now = Instant::now();
        let idle_timeout = self.context.idle_timeout;
        let mut idle = std::mem::take(&mut *self.idle.borrow_mut());
        idle.retain_mut(|connection| retain_usable(connection, now, idle_timeout));
        // Connections over the fleet's budget are closed where they are idle, the one idle longest first.
        let excess = idle.len().min(self.excess().over_quota as usize);
        for connection in idle.drain(..excess) {
            connection.close(EndReason::OverBudget);
        }
        // The table is not borrowed while connections are dropped: the observer of their ends may use the pool.
        self.idle.borrow_mut().splice(0..0, idle);
        if self.active.get() {
            self.open_missing_connections();
        }
    }

    /// Closes the idle connections that `selected` chooses.
    pub(super) fn close_idle(&self, reason: EndReason, selected: impl Fn(&MemberConnection) -> bool) {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        let (closed, retained): (Vec<_>, Vec<_>) = idle.into_iter().partition(selected);
        // The table is not borrowed while connections are dropped: the observer of their ends may use the pool.
        self.idle.borrow_mut().extend(retained);
        for connection in closed {
            connection.close(reason);
        }
    }
}

/// Whether an idle connection may be used further; otherwise its end reason says why not.
fn retain_usable(connection: &mut MemberConnection, now: Instant, idle_timeout: Duration) -> bool {
    let expired = now - connection.last_used >= idle_timeout;
    let quiet = connection.is_quiet();
    connection.end_reason = match (expired, quiet) {
        (true, _) => EndReason::Retired,
        (false, false) => EndReason::MEMBER_CLOSED,
        (false, true) => EndReason::Shutdown,
    };
    quiet && !expired
}
