//! The order in which a starting proxy connects to members.

use std::collections::BTreeSet;
use wharfplank_pool_policy::StartupConnectOrder;
use wharfplank_routing::{HostId, Micros};

const MEMBERS: u32 = 48;
const CONNECT_TIMEOUT: Micros = 250_000;

fn members() -> impl Iterator<Item = HostId> {
    (0..MEMBERS).map(HostId)
}

#[test]
fn each_member_is_tried_once_per_connect_timeout() {
    let mut order = StartupConnectOrder::new(3, CONNECT_TIMEOUT);
    let mut tried = BTreeSet::new();
    for n in 0..Micros::from(MEMBERS) {
        assert!(tried.insert(order.next_member(n * CONNECT_TIMEOUT, members()).unwrap()));
        assert_eq!(order.next_member(n * CONNECT_TIMEOUT + CONNECT_TIMEOUT - 1, members()), None);
    }
    assert!(order.next_member(60_000_000, members()).is_some());
    assert_eq!(StartupConnectOrder::new(3, 1).next_member(0, std::iter::empty()), None);
}

#[test]
fn proxies_that_start_together_choose_different_members() {
    let mut counts = vec![0; MEMBERS as usize];
    for seed in 0..100 {
        let first = StartupConnectOrder::new(seed, 1).next_member(0, members()).unwrap();
        counts[first.0 as usize] += 1;
    }
    assert!(counts.iter().all(|n| *n <= 10), "{counts:?}");
}
