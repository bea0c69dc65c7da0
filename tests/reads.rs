//! Routing of reads: the freshness that each consistency requires, probes, and the primary as the last
//! resort.

mod common;
use common::*;
use wharfplank::routing::*;

#[test]
fn any_read_goes_to_a_replica_without_a_probe() {
    let mut router = TestRouter::new(settings());
    let actions = router.submit(ANY);
    assert_eq!(sends(&actions).len(), 1);
    assert_ne!(sends(&actions)[0].1, HostId(1));
    assert!(probes(&actions).is_empty());
}

#[test]
fn bounded_read_accepts_a_position_exactly_at_the_bound() {
    let mut router = TestRouter::new(settings());
    let at = router.now - STALENESS_BOUND;
    router.finish_probe(2, Role::Replica, at);
    assert_eq!(sends(&router.submit(BOUNDED))[0].1, HostId(2));
}

#[test]
fn bounded_read_one_microsecond_beyond_the_bound_probes_once_and_waits() {
    let mut router = TestRouter::new(Settings { stale_reads: StaleReadPolicy::Serve, ..settings() });
    router.finish_probe(2, Role::Replica, START + 99_999 - STALENESS_BOUND);
    router.finish_probe(3, Role::Replica, START + 99_999 - STALENESS_BOUND);
    router.now += 100_000;
    let first = router.submit(BOUNDED);
    assert!(sends(&first).is_empty());
    assert_eq!(probes(&first).len(), 1);
    let second = router.submit(BOUNDED);
    assert!(sends(&second).is_empty() && probes(&second).is_empty(), "concurrent reads share a probe");
    let host = probes(&first)[0];
    let now = router.now;
    let after = router.finish_probe(host.0, Role::Replica, now);
    assert_eq!(sends(&after).iter().map(|s| s.1).collect::<Vec<_>>(), vec![host, host]);
}

#[test]
fn read_that_is_too_stale_after_the_probe_goes_to_the_primary() {
    let mut router = TestRouter::new(Settings { stale_reads: StaleReadPolicy::Serve, ..settings() });
    let host = probes(&router.submit(BOUNDED))[0];
    let after = router.finish_probe(host.0, Role::Replica, START - STALENESS_BOUND - 1);
    assert_eq!(sends(&after)[0].1, HostId(1));
}

#[test]
fn another_fresh_member_is_used_before_the_primary() {
    let mut router = TestRouter::new(Settings { stale_reads: StaleReadPolicy::Serve, ..settings() });
    let host = probes(&router.submit(BOUNDED))[0];
    let other = if host == HostId(2) { 3 } else { 2 };
    let sent = sends(&router.finish_probe(other, Role::Replica, START));
    assert_eq!(sent[0].1, HostId(other));
}

#[test]
fn unanswered_probe_holds_a_read_only_briefly() {
    let mut router = TestRouter::new(Settings { stale_reads: StaleReadPolicy::Serve, ..settings() });
    assert_eq!(probes(&router.submit(BOUNDED)).len(), 1);
    assert_eq!(sends(&router.advance(50_000))[0].1, HostId(1));
}

#[test]
fn position_that_equals_the_session_token_is_accepted() {
    for (position, direct) in [(START - 50_000, true), (START - 50_001, false)] {
        let mut router = TestRouter::new(Settings { stale_reads: StaleReadPolicy::Serve, ..settings() });
        router.finish_probe(2, Role::Replica, position);
        let sent = sends(&router.submit_with(SESSION, Some(50_000), 1_000_000));
        assert_eq!(sent.first().is_some_and(|s| s.1 == HostId(2)), direct);
    }
}

#[test]
fn session_without_a_write_reads_from_any_replica() {
    let mut router = TestRouter::new(settings());
    assert_ne!(sends(&router.submit(SESSION))[0].1, HostId(1));
}

#[test]
fn position_that_equals_the_remembered_commit_is_accepted() {
    for (lag, direct) in [(0, true), (1, false)] {
        let mut router = TestRouter::new(Settings {
            sessions_carry_tokens: false,
            stale_reads: StaleReadPolicy::Serve,
            ..settings()
        });
        let sent = sends(&router.submit(NON_IDEMPOTENT))[0];
        router.now += 20_000;
        let commit = router.now - 5_000;
        router.finish_attempt_at(sent, 0, AttemptOutcome::Ok, Some(Role::Primary), Some(commit));
        router.finish_probe(2, Role::Replica, commit - lag);
        router.finish_probe(3, Role::Replica, commit - lag);
        router.now += 100_000;
        let actions = router.submit(SESSION);
        assert_eq!(sends(&actions).first().is_some_and(|s| s.1 != HostId(1)), direct);
        assert_eq!(probes(&actions).is_empty(), direct);
    }
}

#[test]
fn strong_read_goes_to_the_primary() {
    let mut router = TestRouter::new(settings());
    router.finish_probe(2, Role::Replica, START);
    assert_eq!(sends(&router.submit(STRONG))[0].1, HostId(1));
}

#[test]
fn position_does_not_decrease() {
    let mut router = TestRouter::new(settings());
    router.finish_probe(2, Role::Replica, START);
    router.finish_probe(2, Role::Replica, START - 5_000_000);
    assert_eq!(sends(&router.submit(BOUNDED))[0].1, HostId(2));
}

#[test]
fn position_ahead_of_the_clock_counts_as_now() {
    let mut router = TestRouter::new(Settings { stale_reads: StaleReadPolicy::Serve, ..settings() });
    router.finish_probe(2, Role::Replica, START + 60_000_000);
    router.now += STALENESS_BOUND + 1;
    assert!(sends(&router.submit(BOUNDED)).is_empty());
}

#[test]
fn recent_report_is_reused_by_later_reads() {
    let mut router = TestRouter::new(Settings { stale_reads: StaleReadPolicy::Serve, ..settings() });
    let host = probes(&router.submit(BOUNDED))[0];
    router.finish_probe(host.0, Role::Replica, START - STALENESS_BOUND - 1);
    router.finish_probe(5 - host.0, Role::Replica, START - STALENESS_BOUND - 1);
    router.now += 50_000;
    let actions = router.submit(BOUNDED);
    assert!(probes(&actions).is_empty() && sends(&actions)[0].1 == HostId(1));
}

/// Guards against a far lagging replica that is probed for every read of every router, while another replica
/// that may be fresh enough is never probed. The last position and the speed at which a replica catches up
/// show which probe is useful.
#[test]
fn a_replica_that_cannot_have_caught_up_is_not_probed() {
    for (elapsed, expected_probes) in [(400_000, vec![3]), (2_400_000, vec![2, 3])] {
        let mut probed = std::collections::BTreeSet::new();
        for seed in 0..20 {
            let settings = Settings { seed, stale_reads: StaleReadPolicy::Serve, ..settings() };
            let mut router = TestRouter::new(settings);
            router.finish_probe(2, Role::Replica, START - 5_000_000);
            router.finish_probe(3, Role::Replica, START);
            router.now += elapsed;
            probed.extend(probes(&router.submit(BOUNDED)).iter().map(|h| h.0));
        }
        assert_eq!(probed.into_iter().collect::<Vec<u32>>(), expected_probes, "after {elapsed} us");
    }
    let mut router = TestRouter::new(Settings { stale_reads: StaleReadPolicy::Serve, ..settings() });
    router.finish_probe(2, Role::Replica, START - 5_000_000);
    router.finish_probe(3, Role::Replica, START - 5_000_000);
    router.now += 400_000;
    let actions = router.submit(BOUNDED);
    assert!(probes(&actions).is_empty() && sends(&actions)[0].1 == HostId(1));
}

/// Guards against a suspected member that is probed for every read of every router: a fleet of sixty routers
/// probes about as often as three do.
#[test]
fn a_fleet_probes_a_suspected_member_as_often_as_three_routers() {
    let unanswered = |host| ProbeResult { host, answered: false, role: None, position: None, queued: None };
    let probe_count = |routers: u32| {
        let count = |seed: u64| {
            let mut router = TestRouter::new(Settings {
                seed,
                routers,
                stale_reads: StaleReadPolicy::Serve,
                ..settings()
            });
            router.finish_probe(2, Role::Replica, START);
            let sent: Vec<_> = (0..4).flat_map(|_| sends(&router.submit(BOUNDED))).collect();
            sent.into_iter()
                .for_each(|s| drop(router.finish_attempt(s, 0, AttemptOutcome::ConnectFailed, None)));
            let mut count = 0;
            for _ in 0..100 {
                router.now += 100_000;
                let now = router.now;
                router.finish_probe(3, Role::Replica, now);
                let actions = router.submit(BOUNDED);
                let suspected = probes(&actions).into_iter().filter(|h| h.0 == 2);
                suspected.for_each(|h| {
                    count += 1;
                    router.handle_event(Event::ProbeFinished(unanswered(h)));
                });
                sends(&actions)
                    .into_iter()
                    .for_each(|s| drop(router.finish_attempt(s, 0, AttemptOutcome::Ok, None)));
            }
            count
        };
        (0..u64::from(routers)).map(count).sum::<u32>()
    };
    let (few, many) = (probe_count(3), probe_count(60));
    assert!(few >= 100 && many <= few * 2, "{few} probes by three routers, {many} by sixty");
}

/// Guards against replicas that all stop applying the log: a replica applies nothing during a long read. Long
/// reads without a required position therefore share a replica while it has capacity, and short ones still
/// spread.
#[test]
fn long_reads_share_a_replica() {
    let mut settings = settings();
    settings.classes[ANY.0].latency_objective = 8_000_000;
    let mut router = TestRouter::new(settings);
    let hosts: Vec<HostId> =
        (0..4).flat_map(|_| sends(&router.submit_with(ANY, None, 20_000_000))).map(|s| s.1).collect();
    assert_eq!(hosts, vec![HostId(2); 4]);
    let next = sends(&router.submit_with(ANY, None, 20_000_000))[0].1;
    assert_eq!(next, HostId(3), "no capacity at the first replica");
}
