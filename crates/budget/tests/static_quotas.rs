//! Tests of static quotas: what a fleet spends and holds open without allocators, and with all allocators
//! unreachable.

use wharfplank_budget::{BudgetKind, BudgetLimits, LeaseHolder, LeaseTerms, Micros};

const S: Micros = 1_000_000;
const PROXIES: u64 = 7;

/// Spends and acquires as much as possible for some seconds while no allocator answers. Returns the units
/// spent in the last second and the units held open.
fn spend_and_acquire_all(percent: u64, allocators: usize, running: u64) -> (u64, u64) {
    let requests = BudgetKind::Requests.budget(0);
    let connections = BudgetKind::OpenConnections.budget(9);
    let limits = BudgetLimits::new([(requests, 100)].into(), [(BudgetKind::OpenConnections, 30)].into());
    let static_quotas = limits.static_quota(percent, PROXIES);
    let mut holders: Vec<LeaseHolder> = (0..running)
        .map(|n| {
            LeaseHolder::new(n + 1, LeaseTerms::default(), allocators, vec![], 0)
                .with_static_quotas(static_quotas.clone())
        })
        .collect();
    for holder in &mut holders {
        holder.register(0, requests);
        holder.register(0, connections);
    }
    let mut spent = 0;
    for now in (0..4 * S).step_by(10_000) {
        for holder in &mut holders {
            holder.due_requests(now);
            for _ in 0..3 {
                spent += u64::from(holder.try_spend(now, requests) && now >= 3 * S);
                holder.try_acquire(now, connections);
            }
        }
    }
    let in_use =
        holders.iter().flat_map(|holder| holder.concurrency_budgets()).map(|(_, budget)| budget.in_use());
    (spent, in_use.sum())
}

#[test]
fn static_quotas_are_equal_and_within_the_limit() {
    // Each proxy has 100 / 7 = 14 requests and 30 / 7 = 4 connections.
    assert_eq!(spend_and_acquire_all(100, 0, PROXIES), (98, 28));
    assert_eq!(spend_and_acquire_all(100, 0, 3), (42, 12));
}

#[test]
fn static_quota_remains_without_reachable_allocators() {
    // A fifth of the limits: each proxy has 20 / 7 = 2 requests and 6 / 7 = 0 connections.
    assert_eq!(spend_and_acquire_all(20, 3, PROXIES), (14, 0));
    assert_eq!(spend_and_acquire_all(0, 3, PROXIES), (0, 0));
}

/// A unit that one budget denies is not spent on the other, but counts as demand on it.
#[test]
fn budgets_are_spent_together_or_not_at_all() {
    let (all, tenant) = (BudgetKind::Requests.budget(0), BudgetKind::TenantRequests.budget(3));
    let limits = BudgetLimits::new([(all, 100), (tenant, 10)].into(), [].into());
    let mut holder = LeaseHolder::new(1, LeaseTerms::default(), 1, vec![], 0)
        .with_static_quotas(limits.static_quota(100, 1));
    [all, tenant].into_iter().for_each(|budget| holder.register(0, budget));
    holder.due_requests(0);
    let spent = (0..50).filter(|n| holder.try_spend_all(2 * S + n, &[all, tenant])).count();
    assert_eq!((spent, holder.rate_limiter(all).unwrap().spent), (10, 10));
    assert_eq!(
        (holder.rate_limiter(tenant).unwrap().denied, holder.rate_limiter(all).unwrap().denied),
        (40, 0)
    );
    let demand: Vec<u64> =
        holder.due_requests(2 * S)[0].1.demand.iter().map(|demand| demand.amount).collect();
    assert!(demand.iter().all(|demand| *demand >= 30), "demand {demand:?} after 50 attempts");
}
