//! Maintenance of idle connections: closes those that are expired, dead or over budget.

use super::connection::MemberConnection;
use super::end_reason::EndReason;
use super::MemberPool;
use std::rc::Rc;
use std::time::{Duration, Instant};

impl MemberPool {
    /// Closes idle connections that are expired, dead or over budget, and opens spare ones. Call this
    /// periodically.
    pub fn maintain(self: &Rc<Self>) {
        let now = Instant::now();
        let idle_timeout = self.context.idle_timeout;
        let mut idle = std::mem::take(&mut *self.idle.borrow_mut());
        idle.retain_mut(|connection| retain_usable(connection, now, idle_timeout));
        // Connections beyond the fleet-wide budget are closed, the longest idle ones first.
        let excess = idle.len().min(self.excess().over_quota as usize);
        for connection in idle.drain(..excess) {
            connection.close(EndReason::OverBudget);
        }
        // `idle` is not borrowed while connections are dropped, since their end observer may use the pool.
        self.idle.borrow_mut().splice(0..0, idle);
        if self.active.get() {
            self.open_missing_connections();
        }
    }

    /// Closes the idle connections for which `selected` returns true.
    pub(super) fn close_idle(&self, reason: EndReason, selected: impl Fn(&MemberConnection) -> bool) {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        let (closed, retained): (Vec<_>, Vec<_>) = idle.into_iter().partition(selected);
        // `idle` is not borrowed while connections are dropped, since their end observer may use the pool.
        self.idle.borrow_mut().extend(retained);
        for connection in closed {
            connection.close(reason);
        }
    }
}

/// Returns whether an idle connection can still be used, and sets its end reason accordingly.
fn retain_usable(connection: &mut MemberConnection, now: Instant, idle_timeout: Duration) -> bool {
    let expired = now - connection.last_used >= idle_timeout;
    let reusable = connection.is_reusable();
    connection.end_reason = match (expired, reusable) {
        (true, _) => EndReason::IdleTimeout,
        (false, false) => EndReason::MEMBER_CLOSED,
        (false, true) => EndReason::Shutdown,
    };
    reusable && !expired
}
