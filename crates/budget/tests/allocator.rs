//! Tests of what an allocator grants and of what it counts as still in use.

use wharfplank_budget::{
    BudgetAmount, LeaseAllocator, LeaseGrant, LeaseRequest, LeaseTerms, Micros, MAX_HOLDERS, ROTATION_PERIOD,
};

const BUDGET: u32 = 1;

fn request(holder: u64, sequence: u64, newest_lease: u64, demand: u64) -> LeaseRequest {
    LeaseRequest {
        holder,
        sequence,
        newest_lease,
        demand: vec![BudgetAmount::new(BUDGET, demand)],
        in_use: vec![],
    }
}

fn amount(grant: Option<LeaseGrant>) -> u64 {
    grant.map_or(0, |grant| grant.amounts[0].amount)
}

/// Creates an allocator and returns it with the time from which it grants leases.
fn open_allocator(limit: u64) -> (LeaseAllocator, Micros) {
    let allocator = LeaseAllocator::new(LeaseTerms::default(), [(BUDGET, limit)].into(), 0);
    let now = allocator.opens_at();
    (allocator, now)
}

#[test]
fn newly_started_allocator_grants_nothing() {
    let (mut allocator, opens_at) = open_allocator(10);
    assert_eq!(allocator.on_request(opens_at - 1, &request(1, 1, 0, 10)), None);
    assert_eq!(amount(allocator.on_request(opens_at, &request(1, 2, 0, 10))), 10);
}

#[test]
fn leased_units_are_not_reused_before_confirmation_or_expiry() {
    let (mut allocator, now) = open_allocator(10);
    assert_eq!(amount(allocator.on_request(now, &request(1, 1, 0, 10))), 10);
    let second = allocator.on_request(now + 1, &request(2, 1, 0, 10)).unwrap();
    assert_eq!((second.amounts[0].amount, second.more_available), (0, true));
    // The first holder's share is halved, but it may not have received that grant yet.
    assert_eq!(amount(allocator.on_request(now + 2, &request(1, 2, 1, 10))), 5);
    assert_eq!(amount(allocator.on_request(now + 3, &request(2, 2, 1, 10))), 0);
    // The first holder confirms that it uses the newer lease.
    allocator.on_request(now + 4, &request(1, 3, 2, 10));
    assert_eq!(amount(allocator.on_request(now + 5, &request(2, 3, 2, 10))), 5);
    assert_eq!(allocator.outstanding(now + 5, BUDGET), 10);
    // A delayed older request does not undo the confirmation.
    assert_eq!(allocator.on_request(now + 6, &request(1, 1, 0, 10)), None);
    // The first holder has sent nothing for a lease duration, so its leases have expired.
    let later = now + LeaseTerms::default().duration + 10;
    assert_eq!(amount(allocator.on_request(later, &request(2, 4, 3, 10))), 10);
}

#[test]
fn small_demand_is_met_and_the_rest_divided_evenly() {
    let (mut allocator, now) = open_allocator(100);
    for (holder, demand) in [(1, 5), (2, 90), (3, 90)] {
        allocator.on_request(now, &request(holder, 1, 0, demand));
    }
    let shares: Vec<u64> = [1, 2, 3].map(|holder| allocator.fair_share(now, BUDGET, holder)).to_vec();
    assert_eq!((shares[0], shares[1] + shares[2]), (5, 95));
    assert!(shares[1].abs_diff(shares[2]) <= 1);
}

#[test]
fn fewer_units_than_holders_rotate() {
    let (mut allocator, now) = open_allocator(1);
    let mut served = std::collections::BTreeSet::new();
    for rotation in 0..60 {
        let now = now + rotation * ROTATION_PERIOD;
        for holder in 1..=5 {
            allocator.on_request(now, &request(holder, rotation as u64 + 1, 0, 1));
        }
        let holders_with_a_unit: Vec<u64> =
            (1..=5).filter(|holder| allocator.fair_share(now, BUDGET, *holder) > 0).collect();
        assert_eq!(holders_with_a_unit.len(), 1);
        served.extend(holders_with_a_unit);
    }
    assert_eq!(served.len(), 5, "some holder never got the unit in any rotation");
}

#[test]
fn holder_count_is_bounded() {
    let (mut allocator, now) = open_allocator(10);
    for holder in 0..MAX_HOLDERS as u64 + 5 {
        allocator.on_request(now, &request(holder, 1, 0, 1));
    }
    assert_eq!((allocator.holder_count(), allocator.ignored_requests), (MAX_HOLDERS, 5));
}
