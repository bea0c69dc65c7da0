//! Simulates the membership of many proxies on a network with faults in virtual time. The checks count
//! simulated steps and bytes and do not depend on the machine's speed.

use wharfplank_gossip::simulation::{LinkFaults, SimulatedNetwork};
use wharfplank_gossip::{Membership, Micros, SwimConfig};

const MS: Micros = 1_000;
const STEP: Micros = 10 * MS;
const ZONES: [&str; 3] = ["midrand", "isando", "centurion"];

fn all(n: usize) -> Vec<usize> {
    (0..n).collect()
}

fn generation_of(network: &SimulatedNetwork, index: usize) -> Option<u64> {
    network.proxies[index].membership.as_ref().map(|membership| membership.local_peer().generation)
}

fn bytes_sent(membership: Option<&Membership>) -> u64 {
    membership.map_or(0, |membership| membership.sent.bytes)
}

/// Runs steps of 10 ms until all live proxies agree, at most `max_steps`. Returns the number of steps.
fn steps_until_agreed(network: &mut SimulatedNetwork, group: &[usize], max_steps: u32) -> Option<u32> {
    (1..=max_steps).find(|_| {
        let until = network.now + STEP;
        network.run(until, STEP);
        network.agrees(group)
    })
}

#[test]
fn proxies_find_each_other_through_seeds_and_under_loss() {
    for (n, faults) in [
        (7, LinkFaults::default()),
        (30, LinkFaults { loss: 0.2, duplicate: 0.1, delay: MS, jitter: 5 * MS }),
    ] {
        let mut network = SimulatedNetwork::new(n, &ZONES, SwimConfig::default(), faults, 7);
        let steps = steps_until_agreed(&mut network, &all(n), 1_000);
        assert!(steps.is_some(), "{n} proxies did not agree within 10 s");
    }
}

#[test]
fn killed_proxy_is_declared_down_and_rejoins() {
    let n = 12;
    let mut network = SimulatedNetwork::new(n, &ZONES, SwimConfig::default(), LinkFaults::default(), 3);
    assert!(steps_until_agreed(&mut network, &all(n), 1_000).is_some());
    network.kill(5);
    let down = steps_until_agreed(&mut network, &all(n), 1_000);
    assert!(down.is_some(), "not all proxies declared the killed proxy down within 10 s");
    network.start(5);
    let back = steps_until_agreed(&mut network, &all(n), 1_000);
    assert!(back.is_some(), "the restarted proxy was not seen with its new generation within 10 s");
}

#[test]
fn paused_proxy_rejoins_as_newer_generation() {
    let n = 7;
    let mut network = SimulatedNetwork::new(n, &ZONES, SwimConfig::default(), LinkFaults::default(), 5);
    assert!(steps_until_agreed(&mut network, &all(n), 1_000).is_some());
    let before = generation_of(&network, 2);
    network.pause(2, 10_000 * MS);
    let until = network.now + 10_000 * MS;
    network.run(until, STEP);
    let others: Vec<usize> = (0..n).filter(|i| *i != 2).collect();
    assert!(
        others.iter().all(|i| !network.seen_by(*i).contains(&2)),
        "a proxy paused for 10 s is still considered alive"
    );
    assert!(
        steps_until_agreed(&mut network, &all(n), 1_000).is_some(),
        "the resumed proxy was not considered alive again"
    );
    let after = generation_of(&network, 2);
    assert!(after > before, "rejoined as generation {after:?}, not newer than {before:?}");
}

#[test]
fn partition_sides_separate_and_merge_after_heal() {
    let n = 9;
    let mut network = SimulatedNetwork::new(n, &ZONES, SwimConfig::default(), LinkFaults::default(), 11);
    assert!(steps_until_agreed(&mut network, &all(n), 1_000).is_some());
    let (small_side, large_side): (Vec<usize>, Vec<usize>) = (0..n).partition(|i| *i % 3 == 0);
    network.partition(&small_side, &large_side);
    let until = network.now + 10_000 * MS;
    network.run(until, STEP);
    assert!(
        network.agrees(&small_side) && network.agrees(&large_side),
        "each side should see exactly its own proxies"
    );
    assert!(small_side
        .iter()
        .all(|i| network.seen_by(*i).is_disjoint(&large_side.iter().copied().collect())));
    network.blocked.clear();
    assert!(
        steps_until_agreed(&mut network, &all(n), 3_000).is_some(),
        "the sides did not merge within 30 s after the partition healed"
    );
}

#[test]
fn traffic_per_proxy_does_not_grow_with_fleet_size() {
    let mut rates = Vec::new();
    for n in [3, 30, 100] {
        let mut network = SimulatedNetwork::new(n, &ZONES, SwimConfig::default(), LinkFaults::default(), 13);
        network.run(5_000 * MS, STEP);
        let start: Vec<u64> =
            network.proxies.iter().map(|proxy| bytes_sent(proxy.membership.as_ref())).collect();
        network.run(15_000 * MS, STEP);
        let sent: u64 = network
            .proxies
            .iter()
            .zip(&start)
            .map(|(proxy, start)| bytes_sent(proxy.membership.as_ref()) - start)
            .sum();
        rates.push(sent as f64 / n as f64 / 10.0);
    }
    println!("bytes sent per proxy and second at 3, 30, 100 proxies: {rates:.0?}");
    let config = SwimConfig::default();
    // A ping and its ack per ping interval, and gossip to the fan-out per gossip interval, each of at
    // most one datagram.
    let bound = (2.0 * 1000.0 / config.ping_interval_ms as f64
        + config.gossip_fanout as f64 * 1000.0 / config.gossip_interval_ms as f64
        + 4.0)
        * config.max_datagram_bytes as f64;
    assert!(rates.iter().all(|r| *r <= bound), "more than {bound:.0} bytes per second: {rates:.0?}");
    assert!(rates[2] <= rates[1] * 2.0, "traffic grew with the fleet: {rates:.0?}");
}
