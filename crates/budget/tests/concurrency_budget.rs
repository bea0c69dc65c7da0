//! Tests of the units that one proxy holds open and claims under a concurrency budget.

use wharfplank_budget::{AllocatorQuota, ConcurrencyBudget};

fn quota(amount: u64, expires_at: i64) -> AllocatorQuota {
    AllocatorQuota { amount, expires_at }
}

#[test]
fn reduced_quota_is_given_up_only_on_release() {
    let mut budget = ConcurrencyBudget::new(0, 2);
    budget.set_quotas(&[quota(3, 100), quota(2, 100)]);
    assert_eq!((0..7).filter(|_| budget.try_acquire(0)).count(), 5);
    // The first allocator reduces its lease by two. The two units are still claimed there, and only there.
    budget.set_quotas(&[quota(1, 200), quota(2, 100)]);
    assert_eq!((budget.claim(0), budget.claim(1), budget.over_quota()), (3, 2, 2));
    assert_eq!((budget.overdue(205, 10), budget.overdue(211, 10)), (0, 2));
    budget.release();
    assert_eq!((budget.claim(0), budget.over_quota(), budget.try_acquire(0)), (2, 1, false));
    budget.release();
    budget.release();
    // Below the quota, a new unit may be acquired.
    assert!(budget.try_acquire(0) && !budget.try_acquire(0));
}
