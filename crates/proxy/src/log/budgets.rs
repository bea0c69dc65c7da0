//! Log lines of the fleet's budgets.

use std::net::SocketAddrV4;
use tracing::{debug, error, info, warn};
use wharfplank_routing::Micros;
use wharfplank_transport::budgets::{BudgetLogEvent, BudgetUsage};

/// Logs that the budgets' socket is bound; `is_allocator` is whether this proxy leases budgets to others.
pub fn budgets_started(listen: SocketAddrV4, advertise: SocketAddrV4, is_allocator: bool) {
    info!(listen = %listen, advertise = %advertise, bank = is_allocator, "budgets_started");
}

/// Logs an event of the budgets' thread. Times are logged by the true clock; `skew` is the lead of the
/// budgets' clock over it.
pub fn budget_event(event: BudgetLogEvent<'_>, skew: Micros) {
    match event {
        BudgetLogEvent::Status { reachable_allocators, worker } => {
            info!(
                reached = reachable_allocators,
                leases = worker.is_allocating,
                holders = worker.holders,
                ignored = worker.ignored_requests,
                unread = worker.undecodable_datagrams,
                others = worker.foreign_datagrams,
                "budgets"
            );
        }
        BudgetLogEvent::Usage(kind, BudgetUsage { quota, spent, denied }) => {
            info!(kind = kind.name(), share = quota, spent, denied, "budget");
        }
        BudgetLogEvent::Leased { at, allocator, expires_at, amounts } => {
            let at_us = at - skew;
            let ends_us = expires_at - skew;
            debug!(at_us, bank = allocator, ends_us, what = amounts, "budget_leased");
        }
        BudgetLogEvent::Spent(what) => debug!(ahead_us = skew, what, "budget_spent"),
        BudgetLogEvent::InUse(what) => debug!(ahead_us = skew, what, "budget_held"),
        BudgetLogEvent::TableFull { refused, places } => {
            warn!(refused, places = places as u64, kept = "static_quota", "budget_table_full");
        }
        BudgetLogEvent::WorkerEnded => error!("budgets_ended"),
    }
}
