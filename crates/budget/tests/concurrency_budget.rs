//! What one proxy holds open and claims of a concurrency budget.

use wharfplank_budget::{AllocatorQuota, ConcurrencyBudget};

fn quota(amount: u64, expires_at: i64) -> AllocatorQuota {
    AllocatorQuota { amount, expires_at }
}

#[test]
fn a_quota_that_shrinks_is_given_up_only_as_things_are_released() {
    let mut budget = ConcurrencyBudget::new(0, 2);
    budget.set_quotas(&[quota(3, 100), quota(2, 100)]);
    assert_eq!((0..7).filter(|_| budget.try_acquire(0)).count(), 5);
    // The first allocator takes two back: they are still claimed there, and there alone.
    budget.set_quotas(&[quota(1, 200), quota(2, 100)]);
    assert_eq!((budget.claim(0), budget.claim(1), budget.over_quota()), (3, 2, 2));
    assert_eq!((budget.overdue(205, 10), budget.overdue(211, 10)), (0, 2));
    budget.release();
    assert_eq!((budget.claim(0), budget.over_quota(), budget.try_acquire(0)), (2, 1, false));
    budget.release();
    budget.release();
    // Below the quota something new may be acquired.
    assert!(budget.try_acquire(0) && !budget.try_acquire(0));
}
