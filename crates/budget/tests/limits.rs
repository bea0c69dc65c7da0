//! Tests of the division of limits into static quotas and the parts of the allocators.

use wharfplank_budget::{BudgetKind, BudgetLimits};

#[test]
fn parts_and_static_quotas_add_up_to_the_limit() {
    let tenant = BudgetKind::TenantRequests.budget(7);
    let member = BudgetKind::HealthChecks.budget(0xdead_beef_dead);
    assert_eq!(
        (BudgetKind::of(tenant), BudgetKind::of(member)),
        (Some(BudgetKind::TenantRequests), Some(BudgetKind::HealthChecks))
    );
    for limit in [0, 1, 2, 7, 100, 1_001] {
        let limits = BudgetLimits::new([(tenant, limit)].into(), [(BudgetKind::HealthChecks, limit)].into());
        for (percent, proxies, allocators) in [(0, 5, 3), (20, 3, 3), (25, 300, 5), (100, 4, 2)] {
            let static_quota = limits.static_quota(percent, proxies);
            for budget in [tenant, member] {
                let leased: u64 = (0..allocators)
                    .filter_map(|index| {
                        limits.allocator_part(&static_quota, proxies, index, allocators).get(budget)
                    })
                    .sum();
                assert_eq!(leased + static_quota.get(budget).unwrap() * proxies, limit);
            }
        }
    }
    assert_eq!(BudgetLimits::default().get(tenant), None);
}
