//! Tests of what a rate limiter permits per second and of the demand that it reports.

use wharfplank_budget::{Micros, RateLimiter};

const SECOND: Micros = 1_000_000;

#[test]
fn no_second_exceeds_its_smallest_quota() {
    let mut limiter = RateLimiter::new(0);
    limiter.set_quota(0, 10);
    assert!(!limiter.try_spend(SECOND - 1, 10), "a quota was spent within a second after its increase");
    let spent = (0..100).filter(|i| limiter.try_spend(2 * SECOND + i, 10)).count();
    assert_eq!(spent, 10);
    assert!(!limiter.try_spend(3 * SECOND - 1, 10), "an eleventh unit was spent within a second");
    assert!(limiter.try_spend(3 * SECOND, 10));
    // A reduced quota applies at once, an increased one a second later.
    assert!(!(0..9).map(|i| limiter.try_spend(4 * SECOND + i, 2)).skip(2).any(|permitted| permitted));
    assert_eq!((0..50).filter(|i| limiter.try_spend(5 * SECOND + 20 + i, 20)).count(), 2);
    assert_eq!((0..50).filter(|i| limiter.try_spend(7 * SECOND + i, 20)).count(), 20);
}

#[test]
fn demand_follows_attempts() {
    let mut limiter = RateLimiter::new(0);
    (0..1_000).for_each(|i| assert!(!limiter.try_spend(i * 10_000, 0)));
    let demand = limiter.demand(10 * SECOND);
    assert!((100..=120).contains(&demand), "demand {demand} at 100 attempts a second");
    assert_eq!(limiter.demand(60 * SECOND), 1);
    assert_eq!(limiter.denied, 1_000);
}
