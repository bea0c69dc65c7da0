//! Tests of the decision of one proxy, from its own outcomes and the votes of its peers.

use wharfplank_failover::MemberOutcome::{Answered, Silent};
use wharfplank_failover::{
    FailoverConfig, FailoverController, IsolationPolicy, Micros, Vote, VoteVersion, ZoneState, ZoneVote,
    MAX_PEERS, MAX_ZONES,
};

const S: Micros = 1_000_000;

fn controller(isolation: IsolationPolicy) -> FailoverController {
    FailoverController::new(FailoverConfig::default(), isolation)
}

/// Records enough silent outcomes of a zone's members for a Down vote.
fn record_silence(failover: &mut FailoverController, now: Micros, zone: &str) {
    for (i, member) in [1, 2, 1].into_iter().enumerate() {
        failover.record(now + i as Micros, zone, member, Silent);
    }
}

fn down(zone: &str) -> Vec<ZoneVote> {
    vec![ZoneVote::new(zone, Vote::Down)]
}

fn up(zone: &str) -> Vec<ZoneVote> {
    vec![ZoneVote::new(zone, Vote::Up)]
}

fn version(version: u64) -> VoteVersion {
    VoteVersion { generation: 1, version }
}

fn is_evacuated(failover: &FailoverController, zone: &str) -> bool {
    matches!(failover.zone_state(zone), ZoneState::Evacuated { .. })
}

#[test]
fn zone_is_evacuated_only_by_a_quorum_of_live_proxies() {
    let mut failover = controller(IsolationPolicy::KeepServing);
    failover.set_live_peers(0, [1, 2, 3, 4, 5, 6, 7, 8].into_iter());
    record_silence(&mut failover, 0, "a");
    failover.evaluate(10);
    assert_eq!(failover.zone_state("a"), ZoneState::InService, "one vote of nine is not a quorum");
    failover.on_peer_votes(0, 1, version(0), &down("a"));
    failover.on_peer_votes(0, 2, version(0), &up("a"));
    failover.on_peer_votes(0, 3, version(0), &up("a"));
    failover.evaluate(10);
    assert_eq!(
        failover.zone_state("a"),
        ZoneState::InService,
        "two Down votes of four voters are not a majority"
    );
    failover.on_peer_votes(0, 3, version(1), &down("a"));
    assert!(failover.evaluate(10));
    assert!(
        is_evacuated(&failover, "a"),
        "three Down votes of four voters, with more than a third of nine live proxies voting"
    );
}

#[test]
fn votes_of_dead_peers_do_not_count() {
    let mut failover = controller(IsolationPolicy::KeepServing);
    failover.set_live_peers(0, [1, 2].into_iter());
    record_silence(&mut failover, 0, "a");
    failover.on_peer_votes(0, 1, version(0), &down("a"));
    failover.on_peer_votes(0, 2, version(0), &down("a"));
    failover.set_live_peers(5, [2].into_iter());
    failover.on_peer_votes(5, 9, version(0), &down("a"));
    failover.evaluate(10);
    assert!(is_evacuated(&failover, "a"), "this proxy and peer 2: two Down votes of two voters");
    let mut failover = controller(IsolationPolicy::KeepServing);
    failover.set_live_peers(0, [1, 2, 3].into_iter());
    failover.on_peer_votes(0, 1, version(0), &down("a"));
    failover.on_peer_votes(0, 2, version(0), &down("a"));
    failover.set_live_peers(1, [3].into_iter());
    failover.evaluate(10);
    assert_eq!(
        failover.zone_state("a"),
        ZoneState::InService,
        "isolated: two of four proxies are alive, and only dead peers voted Down"
    );
}

#[test]
fn isolated_proxy_follows_its_policy() {
    for (isolation, evacuates) in
        [(IsolationPolicy::KeepServing, false), (IsolationPolicy::FollowOwnVote, true)]
    {
        let mut failover = controller(isolation);
        record_silence(&mut failover, 0, "a");
        failover.evaluate(10);
        assert_eq!(is_evacuated(&failover, "a"), evacuates, "{isolation:?}");
    }
}

#[test]
fn evacuated_zone_recovers_gradually_and_backs_off() {
    let config = FailoverConfig::default();
    let mut failover = controller(IsolationPolicy::FollowOwnVote);
    record_silence(&mut failover, 0, "a");
    failover.evaluate(0);
    assert_eq!(failover.read_share("a", 0), 0.0);
    // No reads are sent to an evacuated zone, so the vote on it expires. After the hold it recovers,
    // starting with the first share.
    let mut now = 0;
    while is_evacuated(&failover, "a") {
        now += S / 10;
        failover.evaluate(now);
    }
    assert!(now >= config.vote_ttl.max(config.min_hold), "recovered after {now} µs");
    assert!((failover.read_share("a", now) - config.ramp_start).abs() < 1e-9);
    assert!(failover.read_share("a", now + config.ramp_duration / 2) < 1.0);
    // The zone is still silent: it is evacuated again and held twice as long.
    record_silence(&mut failover, now, "a");
    failover.evaluate(now + 3);
    let evacuated_at = now + 3;
    assert!(is_evacuated(&failover, "a"));
    while is_evacuated(&failover, "a") {
        now += S / 10;
        failover.evaluate(now);
    }
    assert!(
        now - evacuated_at >= 2 * config.min_hold,
        "held {} µs after a failed recovery",
        now - evacuated_at
    );
    // The zone answers, so the recovery continues to all reads.
    failover.record(now, "a", 1, Answered);
    failover.evaluate(now + config.ramp_duration);
    assert_eq!(failover.zone_state("a"), ZoneState::InService);
    assert_eq!(failover.read_share("a", now + config.ramp_duration), 1.0);
}

#[test]
fn stalled_proxy_ignores_outdated_input() {
    let mut failover = controller(IsolationPolicy::KeepServing);
    failover.set_live_peers(0, [1, 2].into_iter());
    failover.record(0, "a", 1, Answered);
    failover.evaluate(0);
    // After a stall of ten seconds, the requests sent before it have timed out, and old notes of the peers
    // are waiting to be read.
    let now = 10 * S;
    (0..9).for_each(|i| failover.record_timeout(now, 0, "a", i % 3));
    failover.set_live_peers(now, [1, 2].into_iter());
    [1, 2].into_iter().for_each(|peer| failover.on_peer_votes(now, peer, version(0), &down("a")));
    failover.evaluate(now);
    assert_eq!(failover.zone_state("a"), ZoneState::InService, "it acted on outdated timeouts and votes");
    assert_ne!(failover.own_vote("a", now), Vote::Down);
    // Votes that still hold after it has caught up are repeated, and count.
    for step in 1..=11 {
        failover.evaluate(now + step * S / 10);
    }
    assert_eq!(
        failover.zone_state("a"),
        ZoneState::InService,
        "it acted on votes that it read when it resumed"
    );
    [1, 2].into_iter().for_each(|peer| failover.on_peer_votes(now + 2 * S, peer, version(1), &down("a")));
    failover.evaluate(now + 2 * S);
    assert!(is_evacuated(&failover, "a"));
}

#[test]
fn down_votes_expire_unless_repeated() {
    let config = FailoverConfig::default();
    let mut failover = controller(IsolationPolicy::KeepServing);
    failover.set_live_peers(0, [1, 2, 3].into_iter());
    [1, 2].into_iter().for_each(|peer| failover.on_peer_votes(0, peer, version(1), &down("a")));
    // This proxy misses the notes that withdraw these votes, as a proxy does that was away.
    let mut now = 0;
    while now < config.vote_ttl + S {
        now += S / 10;
        failover.set_live_peers(now, [1, 2, 3].into_iter());
        [1, 2].into_iter().for_each(|peer| failover.on_peer_votes(now, peer, version(1), &down("a")));
        failover.evaluate(now);
    }
    failover.record(now, "a", 1, Answered);
    failover.evaluate(now + config.min_hold);
    assert!(!is_evacuated(&failover, "a"), "evacuated on expired votes");
    assert!(!failover.is_down_by_quorum("a", now));
    [1, 2].into_iter().for_each(|peer| failover.on_peer_votes(now, peer, version(2), &down("a")));
    assert!(failover.is_down_by_quorum("a", now), "a repeated Down vote counts");
    // This proxy repeats its own Down vote while it holds, and nothing else.
    let mut own = controller(IsolationPolicy::KeepServing);
    record_silence(&mut own, 0, "a");
    assert!(own.votes_to_publish(3).is_some());
    assert!(own.votes_to_publish(S).is_none());
    assert!(own.votes_to_publish(config.vote_ttl / 3 + 3).is_some());
}

#[test]
fn votes_are_published_only_on_change() {
    let mut failover = controller(IsolationPolicy::KeepServing);
    failover.record(0, "a", 1, Answered);
    assert_eq!(failover.votes_to_publish(0), Some(up("a")));
    failover.record(1, "a", 2, Answered);
    assert_eq!(failover.votes_to_publish(1), None);
    record_silence(&mut failover, 2 * S, "a");
    assert_eq!(failover.votes_to_publish(2 * S), Some(down("a")));
}

#[test]
fn zones_and_peers_are_bounded() {
    let mut failover = controller(IsolationPolicy::KeepServing);
    (0..MAX_ZONES + 5).for_each(|zone| failover.record(0, &format!("z{zone}"), 1, Answered));
    assert_eq!(failover.zone_count(), MAX_ZONES);
    failover.set_live_peers(0, 0..(MAX_PEERS as u64 + 5));
    (0..MAX_PEERS as u64 + 5).for_each(|peer| failover.on_peer_votes(0, peer, version(0), &down("z0")));
    assert_eq!(failover.voting_peer_count(), MAX_PEERS);
    assert_eq!(failover.dropped, 10);
}
