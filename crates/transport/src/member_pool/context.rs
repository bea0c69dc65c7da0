//! What the pools of all members share.

use crate::budgets::Budgets;
use crate::{ConnectionEndObserver, MemoryBudget, Now};
use async_executor::LocalExecutor;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_admin::Metrics;

/// A connection that was idle for this long is checked with an empty query before it carries a request: one that
/// was dropped silently would take the request with it. Where connections die sooner, the span shrinks to half of
/// the idle time of the dead one; see [`PoolContext::relax_liveness_check`].
pub const CHECK_AFTER: Duration = Duration::from_millis(500);
/// The shortest span after which idle connections are checked.
const CHECK_AFTER_MIN: Duration = Duration::from_millis(5);

/// Limits and services that the pools of all members share.
pub struct PoolContext {
    /// Runs the tasks that open connections.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Called with each connection that ended.
    pub on_connection_end: ConnectionEndObserver,
    /// Opening a connection fails after this time.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this time, well before the member closes them.
    pub idle_timeout: Duration,
    /// The most connections to all members together.
    pub max_connections: Cell<usize>,
    /// The most connections to one member.
    pub max_connections_per_member: usize,
    /// Connections to all members that are open or being opened.
    pub open_connections: Cell<usize>,
    /// What the responses of all members may buffer.
    pub memory_budget: Rc<MemoryBudget>,
    /// Whether a result without a row is a valid response.
    pub allow_empty_result: bool,
    /// The present span after which idle connections are checked; see [`CHECK_AFTER`].
    pub liveness_check_after: Cell<Duration>,
    /// The caller's clock.
    pub now: Now,
    /// Counts requests that ended and attempts that were written completely.
    pub metrics: Metrics,
    /// The fleet's budgets, where the settings have them.
    pub budgets: Option<Rc<Budgets>>,
}

impl PoolContext {
    /// Checks idle connections sooner, since one was dead that had been idle for `idle_time`.
    pub(super) fn on_dead_connection(&self, idle_time: Duration) {
        if idle_time < CHECK_AFTER_MIN {
            return;
        }
        let shorter = self.liveness_check_after.get().min(idle_time / 2);
        self.liveness_check_after.set(shorter.max(CHECK_AFTER_MIN));
    }

    /// Lengthens the span after which idle connections are checked by a tenth, up to [`CHECK_AFTER`]. To be called
    /// once a second.
    pub fn relax_liveness_check(&self) {
        let longer = self.liveness_check_after.get() * 11 / 10;
        self.liveness_check_after.set(longer.min(CHECK_AFTER));
    }
}
