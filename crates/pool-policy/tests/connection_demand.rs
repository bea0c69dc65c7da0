//! The number of spare connections depends on how often a member is used.

use wharfplank_pool_policy::ConnectionDemand;
use wharfplank_routing::Micros;

const MINUTE: Micros = 60_000_000;

/// Returns the greatest number of spare connections while a member is used at a constant interval for a
/// minute.
fn max_spares(interval: Micros) -> usize {
    let mut demand = ConnectionDemand::default();
    let spares = |n: Micros| {
        demand.record_use(n * interval);
        demand.spare_connections(n * interval)
    };
    (1..=MINUTE / interval).map(spares).max().unwrap_or(0)
}

#[test]
fn spare_connections_depend_on_use() {
    // The intervals in a fleet of 3 proxies and 12 members, and in one of 100 proxies and 60 members.
    assert_eq!(max_spares(140_000), 2);
    assert_eq!(max_spares(3_000_000), 0);
}

/// Guards against spare connections that exceed the connections used for requests: with 100 proxies that send
/// each request to a random one of 60 members, there are fewer spare connections than members.
#[test]
fn proxies_that_rarely_use_members_keep_few_spares() {
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
