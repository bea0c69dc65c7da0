//! The context shared by the pools of all members.

use crate::budgets::Budgets;
use crate::{ConnectionEndObserver, MemoryBudget, Now};
use async_executor::LocalExecutor;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_admin::Metrics;

/// The maximum idle time after which a connection is checked with an empty query before it carries a request.
/// Without the check, a request on a silently dropped connection would be lost. When a dead connection is
/// found, this time shrinks to half of that connection's idle time; see
/// [`PoolContext::relax_liveness_check`].
pub const MAX_LIVENESS_CHECK_AFTER: Duration = Duration::from_millis(500);
/// The minimum idle time after which a connection is checked.
const MIN_LIVENESS_CHECK_AFTER: Duration = Duration::from_millis(5);

/// Limits and services that the pools of all members share.
pub struct PoolContext {
    /// The executor of the tasks that open connections.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Called with each connection that ended.
    pub on_connection_end: ConnectionEndObserver,
    /// The time limit for opening a connection.
    pub connect_timeout: Duration,
    /// The idle time after which connections are closed, well before the member closes them.
    pub idle_timeout: Duration,
    /// The maximum number of connections to all members together.
    pub max_connections: Cell<usize>,
    /// The maximum number of connections to one member.
    pub max_connections_per_member: usize,
    /// The number of connections to all members that are open or being opened.
    pub open_connections: Cell<usize>,
    /// The memory budget for the responses of all members.
    pub memory_budget: Rc<MemoryBudget>,
    /// Whether a result without a row is a valid response.
    pub allow_empty_result: bool,
    /// The current idle time after which connections are checked; see [`MAX_LIVENESS_CHECK_AFTER`].
    pub liveness_check_after: Cell<Duration>,
    /// The clock.
    pub now: Now,
    /// The metrics of finished requests and of attempts that were written completely.
    pub metrics: Metrics,
    /// The fleet-wide budgets, if configured.
    pub budgets: Option<Rc<Budgets>>,
}

impl PoolContext {
    /// Shortens the idle time before liveness checks after a connection that was idle for `idle_time` was
    /// found dead.
    pub(super) fn on_dead_connection(&self, idle_time: Duration) {
        if idle_time < MIN_LIVENESS_CHECK_AFTER {
            return;
        }
        let shorter = self.liveness_check_after.get().min(idle_time / 2);
        self.liveness_check_after.set(shorter.max(MIN_LIVENESS_CHECK_AFTER));
    }

    /// Increases the idle time before liveness checks by a tenth, up to [`MAX_LIVENESS_CHECK_AFTER`]. Call
    /// this once per second.
    pub fn relax_liveness_check(&self) {
        let longer = self.liveness_check_after.get() * 11 / 10;
        self.liveness_check_after.set(longer.min(MAX_LIVENESS_CHECK_AFTER));
    }
}
