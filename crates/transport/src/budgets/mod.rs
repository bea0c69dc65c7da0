//! The fleet's budgets on the serving thread: the leases that this proxy holds and the amounts that it
//! spends. Calls return without waiting.
//!
//! A worker thread owns the socket. It receives lease requests and returns leases over two bounded rings; an
//! item that is dropped there is treated as lost in the network.
//!
//! - [`Budgets`]: the budgets that the serving thread spends.
//! - [`LeaseWorker`]: the worker thread, with the allocator if this proxy is one.
//! - `lease_driver`: requests leases and applies them, on the serving thread.
//! - [`BudgetLogEvent`]: the events for the log.

mod lease_driver;
mod lease_worker;
mod log;
mod usage_trace;

pub use lease_worker::{LeaseWorker, OwnAllocator, WorkerStatus};
pub use log::{BudgetLogEvent, BudgetUsage};

use super::{worker, Now};
use async_executor::LocalExecutor;
use lease_driver::LeaseDriver;
use std::cell::RefCell;
use std::rc::Rc;
use usage_trace::UsageTrace;
use wharfplank_budget::{BudgetId, BudgetKind, BudgetLimits, Excess, LeaseHolder, Micros};
use wharfplank_shared_state::hash_name;

/// The capacity of each of the two rings between the threads.
const RING_CAPACITY: usize = 256;

/// The configuration of the serving thread's budgets.
pub struct BudgetsConfig<Log> {
    /// The limits of the whole fleet, which define the budgets.
    pub limits: BudgetLimits,
    /// The holder of this proxy's leases, initially without leases.
    pub holder: LeaseHolder,
    /// The clock of the budgets.
    pub now: Now,
    /// Whether each lease and spend is logged.
    pub traces_usage: bool,
    /// The log.
    pub log: Log,
}

/// The budgets that the serving thread spends. Spending a budget without a limit in the settings is never
/// denied.
pub struct Budgets {
    limits: BudgetLimits,
    now: Now,
    state: RefCell<State>,
}

struct State {
    holder: LeaseHolder,
    /// The leases and spends that are not logged yet, if the usage is traced.
    trace: Option<UsageTrace>,
    /// The last status that the worker reported.
    worker_status: WorkerStatus,
}

/// Starts the worker thread, and the lease driver on the serving thread.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start<Clock, Log>(
    worker: LeaseWorker<Clock>,
    config: BudgetsConfig<Log>,
    executor: &LocalExecutor<'static>,
) -> std::io::Result<Rc<Budgets>>
where
    Clock: Fn() -> Micros + Send + 'static,
    Log: Fn(BudgetLogEvent<'_>) + 'static,
{
    let run = move |requests, updates| worker.run(requests, updates);
    let (requests, updates) = worker::start("budgets", RING_CAPACITY, run)?;
    let budgets = Rc::new(Budgets::new(config.limits, config.holder, config.now, config.traces_usage));
    // These come before any member's, so that members cannot take their places in the table.
    for budget in budgets.limits.budgets() {
        budgets.register(budget);
    }
    let driver = LeaseDriver::new(Rc::clone(&budgets), requests, updates, config.log);
    executor.spawn(driver.run()).detach();
    Ok(budgets)
}

impl Budgets {
    fn new(limits: BudgetLimits, holder: LeaseHolder, now: Now, traces_usage: bool) -> Budgets {
        let state = State {
            holder,
            trace: traces_usage.then(UsageTrace::default),
            worker_status: WorkerStatus::default(),
        };
        Budgets { limits, now, state: RefCell::new(state) }
    }

    fn now(&self) -> Micros {
        (self.now)()
    }

    /// Requests leases for a budget from now on, if the settings have a limit for it.
    pub fn register(&self, budget: BudgetId) {
        if self.limits.get(budget).is_some() {
            self.state.borrow_mut().holder.register(self.now(), budget);
        }
    }

    /// Registers the budgets of a new member.
    pub fn add_member(&self, name: &str) {
        for budget in member_budgets(name) {
            self.register(budget);
        }
    }

    /// Removes the budgets of a member that is no longer used and has no connections.
    pub fn remove_member(&self, name: &str) {
        let removed = member_budgets(name);
        self.state.borrow_mut().holder.retain(|budget| !removed.contains(&budget));
    }

    /// Spends one request to this group; false if the request must be denied.
    pub fn try_spend_request(&self, group: u64) -> bool {
        self.try_spend(&[BudgetKind::Requests.budget(0), BudgetKind::TenantRequests.budget(group)])
    }

    /// Spends one attempt after the first one of a request; false if it must not be sent.
    pub fn try_spend_retry(&self) -> bool {
        self.try_spend(&[BudgetKind::Retries.budget(0)])
    }

    /// Returns whether [`Budgets::try_spend_retry`] would succeed now.
    pub fn can_retry(&self) -> bool {
        self.state.borrow_mut().holder.can_spend(self.now(), BudgetKind::Retries.budget(0))
    }

    /// Spends one health check of a member; false if it must not be sent.
    pub fn try_spend_health_check(&self, member: &str) -> bool {
        self.try_spend(&[BudgetKind::HealthChecks.budget(hash_name(member))])
    }

    /// Spends one poll of discovery; false if it must not be sent.
    pub fn try_spend_discovery_poll(&self) -> bool {
        self.try_spend(&[BudgetKind::DiscoveryCalls.budget(0)])
    }

    /// Spends one new connection to a member and counts it as open until [`Budgets::release_connection`];
    /// false if it must not be opened.
    pub fn try_open_connection(&self, member: &str) -> bool {
        let new_connections = BudgetKind::NewConnections.budget(hash_name(member));
        let open_connections = BudgetKind::OpenConnections.budget(hash_name(member));
        let now = self.now();
        let can_connect = self.state.borrow_mut().holder.can_spend(now, new_connections);
        if can_connect && !self.state.borrow_mut().holder.try_acquire(now, open_connections) {
            return false;
        }
        // Also called when no new connection is left, so that the attempt is counted as denied.
        let is_spent = self.try_spend(&[new_connections]);
        self.trace_open_connections(now, open_connections);
        is_spent
    }

    /// Releases a connection to a member after it was closed or could not be opened.
    pub fn release_connection(&self, member: &str) {
        let open_connections = BudgetKind::OpenConnections.budget(hash_name(member));
        self.state.borrow_mut().holder.release(open_connections);
        self.trace_open_connections(self.now(), open_connections);
    }

    /// Returns the number of connections to a member beyond the quota.
    pub fn connection_excess(&self, member: &str) -> Excess {
        let open_connections = BudgetKind::OpenConnections.budget(hash_name(member));
        self.state.borrow_mut().holder.excess(self.now(), open_connections)
    }

    /// Spends one of each budget, or none if any of them denies it.
    fn try_spend(&self, budgets: &[BudgetId]) -> bool {
        let now = self.now();
        let State { holder, trace, .. } = &mut *self.state.borrow_mut();
        if !holder.try_spend_all(now, budgets) {
            return false;
        }
        if let Some(trace) = trace {
            for budget in budgets.iter().filter(|budget| holder.rate_limiter(**budget).is_some()) {
                trace.record_spend(now, *budget);
            }
        }
        true
    }

    fn trace_open_connections(&self, now: Micros, budget: BudgetId) {
        let State { holder, trace, .. } = &mut *self.state.borrow_mut();
        if let (Some(trace), Some(budget_state)) = (trace, holder.concurrency_budget(budget)) {
            trace.record_in_use(now, budget, budget_state.in_use());
        }
    }
}

/// The budgets of a member.
fn member_budgets(name: &str) -> [BudgetId; 3] {
    [BudgetKind::HealthChecks, BudgetKind::NewConnections, BudgetKind::OpenConnections]
        .map(|kind| kind.budget(hash_name(name)))
}
