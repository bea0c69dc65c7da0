//! Spare connections follow how often a member is used.

use wharfplank_pool_policy::ConnectionDemand;
use wharfplank_routing::Micros;

const MINUTE: Micros = 60_000_000;

/// The most spare connections that are wanted at any time while a member is used at a steady interval for a minute.
fn most_spares(interval: Micros) -> usize {
    let mut demand = ConnectionDemand::default();
    let spares = |n: Micros| {
        demand.record_use(n * interval);
        demand.spare_connections(n * interval)
    };
    (1..=MINUTE / interval).map(spares).max().unwrap_or(0)
}

#[test]
fn spares_follow_use() {
    // Three proxies before twelve members, and a hundred before sixty.
    assert_eq!(most_spares(140_000), 2);
    assert_eq!(most_spares(3_000_000), 0);
}

/// A hundred proxies that send each request to any of sixty members: all spares together stay below what each
/// member holds for the requests themselves.
#[test]
fn a_fleet_that_meets_most_members_seldom_keeps_no_spares() {
    let (proxies, members) = (100_u64, 60_u64);
    let mut demands = vec![ConnectionDemand::default(); (proxies * members) as usize];
    let mut state = 7_u64;
    for request in 0..14_000 {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        demands[((state >> 33) % (proxies * members)) as usize].record_use(request * 700);
    }
    let spares: usize = demands.iter().map(|demand| demand.spare_connections(14_000 * 700)).sum();
    assert!(spares < 60, "{spares} spares for {members} members");
}
