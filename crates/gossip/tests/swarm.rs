//! Many proxies' membership on a network in virtual time with faults: rounds and datagrams are counted, never the
//! machine's time.

use wharfplank_gossip::net::{Net, Wire};
use wharfplank_gossip::{Micros, Terms};

const MS: Micros = 1_000;
const STEP: Micros = 10 * MS;
const ZONES: [&str; 3] = ["midrand", "isando", "centurion"];

fn all(n: usize) -> Vec<usize> {
    (0..n).collect()
}

/// Steps of 10 ms until all live proxies agree, at most `most` of them.
fn until_agreed(net: &mut Net, group: &[usize], most: u32) -> Option<u32> {
    (1..=most).find(|_| {
        let until = net.now + STEP;
        net.run(until, STEP);
        net.agrees(group)
    })
}

#[test]
fn a_fleet_finds_itself_through_three_seeds_and_under_loss() {
    for (n, wire) in
        [(7, Wire::default()), (30, Wire { loss: 0.2, duplicate: 0.1, delay: MS, jitter: 5 * MS })]
    {
        let mut net = Net::new(n, &ZONES, Terms::default(), wire, 7);
        let steps = until_agreed(&mut net, &all(n), 1_000);
        assert!(steps.is_some(), "{n} proxies did not agree within 10 s");
    }
}

#[test]
fn a_killed_proxy_is_declared_down_and_its_restart_is_taken_as_newer() {
    let n = 12;
    let mut net = Net::new(n, &ZONES, Terms::default(), Wire::default(), 3);
    assert!(until_agreed(&mut net, &all(n), 1_000).is_some());
    net.kill(5);
    let down = until_agreed(&mut net, &all(n), 1_000);
    assert!(down.is_some(), "the dead proxy was not declared down by all within 10 s");
    net.start(5);
    let back = until_agreed(&mut net, &all(n), 1_000);
    assert!(back.is_some(), "the restarted proxy was not taken in as its new generation within 10 s");
}

#[test]
fn a_paused_proxy_comes_back_as_a_newer_generation_and_refutes_its_death() {
    let n = 7;
    let mut net = Net::new(n, &ZONES, Terms::default(), Wire::default(), 5);
    assert!(until_agreed(&mut net, &all(n), 1_000).is_some());
    let before = net.nodes[2].peers.as_ref().map(|p| p.me().generation);
    net.pause(2, 10_000 * MS);
    let until = net.now + 10_000 * MS;
    net.run(until, STEP);
    let others: Vec<usize> = (0..n).filter(|i| *i != 2).collect();
    assert!(
        others.iter().all(|i| !net.seen_by(*i).contains(&2)),
        "a proxy paused for 10 s is still taken for alive"
    );
    assert!(until_agreed(&mut net, &all(n), 1_000).is_some(), "the resumed proxy was not taken in again");
    let after = net.nodes[2].peers.as_ref().map(|p| p.me().generation);
    assert!(after > before, "it came back as generation {after:?}, not newer than {before:?}");
}

#[test]
fn the_two_sides_of_a_split_see_only_themselves_and_merge_when_it_heals() {
    let n = 9;
    let mut net = Net::new(n, &ZONES, Terms::default(), Wire::default(), 11);
    assert!(until_agreed(&mut net, &all(n), 1_000).is_some());
    let (small, large): (Vec<usize>, Vec<usize>) = (0..n).partition(|i| *i % 3 == 0);
    net.split(&small, &large);
    let until = net.now + 10_000 * MS;
    net.run(until, STEP);
    assert!(net.agrees(&small) && net.agrees(&large), "each side should see exactly itself");
    assert!(small.iter().all(|i| net.seen_by(*i).is_disjoint(&large.iter().copied().collect())));
    net.cut.clear();
    assert!(
        until_agreed(&mut net, &all(n), 3_000).is_some(),
        "the sides did not merge within 30 s of the heal"
    );
}

#[test]
fn traffic_per_proxy_does_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for n in [3, 30, 100] {
        let mut net = Net::new(n, &ZONES, Terms::default(), Wire::default(), 13);
        net.run(5_000 * MS, STEP);
        let start: Vec<u64> =
            net.nodes.iter().map(|node| node.peers.as_ref().map_or(0, |p| p.sent.bytes)).collect();
        net.run(15_000 * MS, STEP);
        let sent: u64 = net
            .nodes
            .iter()
            .zip(&start)
            .map(|(node, s)| node.peers.as_ref().map_or(0, |p| p.sent.bytes) - s)
            .sum();
        rates.push(sent as f64 / n as f64 / 10.0);
    }
    println!("bytes a proxy sends a second at 3, 30, 100 proxies: {rates:.0?}");
    let most = Terms::default();
    // A probe and its answer each probe period, and gossip to the fanout each gossip period, of a packet at most.
    let bound =
        (2.0 * 1000.0 / most.probe_ms as f64 + most.fanout as f64 * 1000.0 / most.gossip_ms as f64 + 4.0)
            * most.packet_bytes as f64;
    assert!(rates.iter().all(|r| *r <= bound), "over the bound of {bound:.0} bytes a second: {rates:.0?}");
    assert!(rates[2] <= rates[1] * 2.0, "traffic grew with the fleet: {rates:.0?}");
}
