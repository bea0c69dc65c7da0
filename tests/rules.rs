//! Writes, final answers, retries by idempotency, drains, suspected members and cold members.

mod common;
use common::*;
use wharfplank::routing::*;

fn router_without_known_primary(max_attempts: u32) -> TestRouter {
    let entries = (1..=4).map(|h| endpoint(h, false)).collect();
    TestRouter::with(Settings { max_attempts, ..settings() }, entries)
}

#[test]
fn one_write_searches_for_the_primary_for_its_group() {
    let mut router = router_without_known_primary(8);
    let mut seen = Vec::new();
    let mut sent = sends(&router.submit(NON_IDEMPOTENT))[0];
    assert!(sends(&router.submit(NON_IDEMPOTENT)).is_empty(), "the search is shared");
    for attempt in 0..3 {
        seen.push(sent.1);
        sent =
            sends(&router.finish_attempt(sent, attempt, AttemptOutcome::Misrouted, Some(Role::Replica)))[0];
    }
    seen.push(sent.1);
    seen.sort();
    assert_eq!(seen, (1..=4).map(HostId).collect::<Vec<_>>());
    assert!(
        sends(&router.finish_attempt(sent, 3, AttemptOutcome::Misrouted, Some(Role::Replica))).is_empty(),
        "it waits after it has tried each member"
    );
}

#[test]
fn a_probe_that_finds_the_primary_releases_held_writes_gradually() {
    let mut router = router_without_known_primary(8);
    for _ in 0..12 {
        router.submit(NON_IDEMPOTENT);
    }
    router.now += 50_000;
    let now = router.now;
    let out = sends(&router.finish_probe(3, Role::Primary, now));
    assert!((1..=4).contains(&out.len()), "{} at once", out.len());
    assert!(out.iter().all(|s| s.1 == HostId(3)));
}

#[test]
fn a_misrouted_write_demotes_the_primary_of_the_list() {
    let mut router = TestRouter::new(settings());
    let sent = sends(&router.submit(NON_IDEMPOTENT))[0];
    assert_eq!(sent.1, HostId(1));
    let next = sends(&router.finish_attempt(sent, 0, AttemptOutcome::Misrouted, Some(Role::Replica)));
    assert_ne!(next[0].1, HostId(1));
}

#[test]
fn a_non_idempotent_write_that_may_have_run_fails_at_once() {
    for outcome in
        [AttemptOutcome::Timeout, AttemptOutcome::Reset, AttemptOutcome::Error, AttemptOutcome::Cancelled]
    {
        let mut router = TestRouter::new(settings());
        let sent = sends(&router.submit(NON_IDEMPOTENT))[0];
        let actions = router.finish_attempt(sent, 0, outcome, None);
        assert!(failed(&actions) && !refused(&actions) && sends(&actions).is_empty(), "{outcome:?}");
    }
}

#[test]
fn a_non_idempotent_write_that_did_not_run_is_retried() {
    for outcome in [AttemptOutcome::Overloaded, AttemptOutcome::ConnectFailed, AttemptOutcome::Misrouted] {
        let mut router = TestRouter::new(settings());
        let sent = sends(&router.submit(NON_IDEMPOTENT))[0];
        let mut actions = router.finish_attempt(sent, 0, outcome, None);
        actions.extend(router.advance(900_000));
        assert!(!failed(&actions), "{outcome:?}");
    }
}

#[test]
fn a_keyed_write_is_retried_only_within_its_window() {
    for (after, is_retried) in [(DEDUP_WINDOW - 400_000, true), (DEDUP_WINDOW, false)] {
        let mut router = TestRouter::new(settings());
        let sent = sends(&router.submit_with(KEYED_WRITE, None, 3_000_000))[0];
        router.now += after;
        let actions = router.finish_attempt(sent, 0, AttemptOutcome::Error, Some(Role::Primary));
        assert_eq!(!sends(&actions).is_empty(), is_retried);
        assert_eq!(failed(&actions), !is_retried);
        assert!(!refused(&actions));
    }
}

#[test]
fn every_request_gets_one_final_answer_by_its_deadline() {
    let mut router = TestRouter::with(settings(), vec![]);
    let classes = [ANY, BOUNDED, SESSION, STRONG, NON_IDEMPOTENT, KEYED_WRITE];
    let mut actions = Vec::new();
    for class in classes {
        actions.extend(router.submit(class));
    }
    actions.extend(router.advance(1_000_000));
    let final_answers = actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }));
    assert_eq!(final_answers.count(), classes.len());
}

#[test]
fn a_draining_member_gets_neither_new_nor_held_requests() {
    let mut router = TestRouter::new(settings());
    let draining = |host, primary| Endpoint { status: EndpointStatus::Draining, ..endpoint(host, primary) };
    router.handle_event(Event::EndpointsChanged(vec![draining(2, false), draining(1, true)]));
    for _ in 0..4 {
        for (_, host) in sends(&router.submit(ANY)) {
            assert_eq!(host, HostId(3));
        }
    }
    let held = sends(&router.submit(NON_IDEMPOTENT));
    assert!(held.iter().chain(&sends(&router.advance(300_000))).all(|s| s.1 == HostId(3)));
}

#[test]
fn a_cold_member_gets_fewer_requests_than_a_warm_one() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
    let start = Endpoint { started_at: Some(START), ..endpoint(3, false) };
    router.handle_event(Event::EndpointsChanged(vec![start]));
    let mut counts = [0; 4];
    for _ in 0..200 {
        for sent in sends(&router.submit(ANY)) {
            counts[sent.1 .0 as usize] += 1;
            router.finish_attempt(sent, 0, AttemptOutcome::Ok, Some(Role::Replica));
        }
        router.advance(10_000);
    }
    assert!(counts[3] > 0 && counts[3] * 2 < counts[2], "{counts:?}");
}

#[test]
fn a_silent_member_gets_only_trial_requests() {
    let mut router =
        TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false), endpoint(3, false)]);
    // Member 2 answers no request, but its probes succeed.
    let mut late = 0;
    for step in 0..300 {
        for sent in sends(&router.submit(ANY)) {
            if sent.1 == HostId(2) {
                late += u32::from(step > 100);
            } else {
                router.finish_attempt(sent, 0, AttemptOutcome::Ok, Some(Role::Replica));
            }
        }
        let now = router.now;
        router.finish_probe(2, Role::Replica, now);
        router.advance(10_000);
    }
    assert!((1..=6).contains(&late), "{late} trials in two seconds");
}

#[test]
fn an_overloaded_member_does_not_look_idle() {
    let mut router =
        TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false), endpoint(3, false)]);
    let mut counts = [0; 4];
    for _ in 0..100 {
        let mut open = sends(&router.submit(ANY));
        let mut attempt = 0;
        while let Some(sent) = open.pop() {
            counts[sent.1 .0 as usize] += 1;
            let outcome = if sent.1 == HostId(2) { AttemptOutcome::Overloaded } else { AttemptOutcome::Ok };
            open.extend(sends(&router.finish_attempt(sent, attempt, outcome, Some(Role::Replica))));
            attempt += 1;
        }
        router.advance(10_000);
    }
    assert!(counts[2] * 2 < counts[3], "{counts:?}");
}

#[test]
fn a_primary_loaded_with_reads_still_accepts_writes() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true)]);
    let reads: usize = (0..40).map(|_| sends(&router.submit(ANY)).len()).sum();
    assert!(reads > 0);
    assert_eq!(sends(&router.submit(NON_IDEMPOTENT)).len(), 1);
}

#[test]
fn a_restarted_router_has_no_earlier_state() {
    let mut old = TestRouter::new(settings());
    old.finish_probe(2, Role::Replica, START);
    let mut router = TestRouter::new(Settings { stale_reads: StaleReadPolicy::Serve, ..settings() });
    assert!(sends(&router.submit(BOUNDED)).is_empty());
    assert!(old.handle_event(Event::ClientDisconnected(RequestId([b'x'; 36]))).is_empty());
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut router = TestRouter::new(settings());
        let mut all = Vec::new();
        for step in 0..200_u32 {
            let class = ClassId(step as usize % 6);
            let actions = router.submit(class);
            for sent in sends(&actions) {
                let outcome = if step % 7 == 0 { AttemptOutcome::Overloaded } else { AttemptOutcome::Ok };
                all.extend(router.finish_attempt(sent, 0, outcome, None));
            }
            all.extend(actions);
            all.extend(router.advance(7_000));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn zero_and_unusual_settings_do_not_panic() {
    let zero_settings = Settings {
        routers: 0,
        may_probe: false,
        may_cancel: false,
        max_retry_after: 0,
        slow_start_span: 0,
        overload_span: 0,
        max_attempts: 0,
        ..settings()
    };
    let mut router = TestRouter::new(zero_settings);
    let started = Endpoint { started_at: Some(START), ..endpoint(4, false) };
    router.handle_event(Event::EndpointsChanged(vec![started]));
    for class in 0..6 {
        assert!(refused(&router.submit(ClassId(class))));
    }
    router.advance(100_000);
}

#[test]
fn a_suspected_primary_without_requests_in_flight_is_tried_again() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
    let unanswered = sends(&router.submit_with(STRONG, None, 400_000))[0];
    router.advance(380_000);
    router.finish_attempt(unanswered, 0, AttemptOutcome::Timeout, None);
    let searching = sends(&router.submit(NON_IDEMPOTENT));
    assert!(searching.iter().all(|s| s.1 != HostId(1)), "the router suspects the silent primary");
    for search in searching {
        router.finish_attempt(search, 0, AttemptOutcome::Misrouted, Some(Role::Replica));
    }
    let mut is_released = false;
    for _ in 0..100 {
        for sent in sends(&router.submit(ANY)) {
            let role = if sent.1 == HostId(1) { Role::Primary } else { Role::Replica };
            let next = sends(&router.finish_attempt(sent, 0, AttemptOutcome::Ok, Some(role)));
            is_released |= next.iter().any(|s| s.1 == HostId(1));
        }
        router.advance(10_000);
    }
    assert!(is_released, "the answer to a read releases the held write to the primary");
}

#[test]
fn a_long_request_among_answered_ones_does_not_count_as_silence() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
    let long = sends(&router.submit_with(STRONG, None, 400_000))[0];
    let short = sends(&router.submit_with(STRONG, None, 400_000))[0];
    router.advance(150_000);
    router.finish_attempt(short, 0, AttemptOutcome::Ok, Some(Role::Primary));
    router.advance(240_000);
    router.latency = 390_000;
    router.finish_attempt(long, 0, AttemptOutcome::Timeout, None);
    assert!((0..10).any(|_| sends(&router.submit(NON_IDEMPOTENT)).iter().any(|s| s.1 == HostId(1))));
}

/// An answer of a primary proves its position only as of the time at which the request was sent.
#[test]
fn an_answer_proves_the_position_at_the_time_of_the_request() {
    let settings_without_tokens =
        Settings { sessions_carry_tokens: false, stale_reads: StaleReadPolicy::Serve, ..settings() };
    for (wait, is_fresh) in [(0, true), (1, false)] {
        let mut router =
            TestRouter::with(settings_without_tokens.clone(), vec![endpoint(1, true), endpoint(2, false)]);
        let read = sends(&router.submit(STRONG))[0];
        router.now += 60_000;
        router.finish_attempt(read, 0, AttemptOutcome::Ok, Some(Role::Primary));
        // Member 2 is the primary now; the former one keeps the position that the answer proved.
        router.now += 1;
        let now = router.now;
        router.finish_probe(1, Role::Replica, 0);
        router.finish_probe(2, Role::Primary, now);
        router.now = START + STALENESS_BOUND + wait;
        let sent = sends(&router.submit(BOUNDED));
        assert_eq!(sent.iter().any(|s| s.1 == HostId(1)), is_fresh);
    }
}

/// The commit of a write counts for its session even if the client disconnected before the answer.
#[test]
fn a_commit_counts_for_its_session_after_the_client_disconnects() {
    let settings_without_tokens =
        Settings { sessions_carry_tokens: false, stale_reads: StaleReadPolicy::Serve, ..settings() };
    let mut router = TestRouter::new(settings_without_tokens);
    let write = sends(&router.submit(NON_IDEMPOTENT))[0];
    router.handle_event(Event::ClientDisconnected(write.0));
    router.now += 20_000;
    let commit = router.now - 1_000;
    router.finish_probe(2, Role::Replica, commit - 1);
    router.finish_probe(3, Role::Replica, commit - 1);
    router.finish_attempt_at(write, 0, AttemptOutcome::Ok, Some(Role::Primary), Some(commit));
    assert!(sends(&router.submit(SESSION)).iter().all(|s| s.1 == HostId(1)));
}

/// If removals are advisory, an empty list removes no members; otherwise it does.
#[test]
fn an_empty_list_removes_no_members_if_removals_are_advisory() {
    for is_advisory in [true, false] {
        let mut router = TestRouter::new(Settings { removal_is_advisory: is_advisory, ..settings() });
        let removed = |host| Endpoint { status: EndpointStatus::Removed, ..endpoint(host, false) };
        router.handle_event(Event::EndpointsChanged(vec![removed(2)]));
        router.handle_event(Event::EndpointList(vec![]));
        assert_eq!(sends(&router.submit(ANY)).len(), usize::from(is_advisory));
        assert_eq!(sends(&router.submit(NON_IDEMPOTENT)).len(), usize::from(is_advisory));
    }
}

#[test]
fn a_drained_member_stays_out_if_removals_are_advisory() {
    let mut router = TestRouter::new(Settings { removal_is_advisory: true, ..settings() });
    let drained = |host| Endpoint { status: EndpointStatus::Draining, ..endpoint(host, false) };
    router.handle_event(Event::EndpointsChanged(vec![drained(2)]));
    router.handle_event(Event::EndpointList(vec![endpoint(1, true), endpoint(3, false)]));
    for _ in 0..4 {
        assert!(sends(&router.submit(ANY)).iter().all(|s| s.1 == HostId(3)));
    }
}

/// A router that was paused does not take its own late timer for silence of a member.
#[test]
fn a_router_suspects_no_member_after_a_pause() {
    let mut router = TestRouter::new(settings());
    let read = sends(&router.submit_with(STRONG, None, 2_000_000));
    router.now += 1_200_000;
    router.handle_event(Event::Timer);
    router.finish_attempt(read[0], 0, AttemptOutcome::Timeout, None);
    assert_eq!(sends(&router.submit(NON_IDEMPOTENT))[0].1, HostId(1));
}

/// Overload with one request in flight at each router: slow answers make each router shed a part of its
/// requests.
#[test]
fn slow_answers_of_single_requests_shed_a_part_of_the_load() {
    let members = (1..=6).map(|h| endpoint(h, h == 1)).collect();
    let mut router = TestRouter::with(settings(), members);
    let mut sent = [0, 0];
    for count in &mut sent {
        for _ in 0..40 {
            for s in sends(&router.submit(ANY)) {
                *count += 1;
                router.latency = 380_000;
                router.finish_attempt(s, 0, AttemptOutcome::Ok, Some(Role::Replica));
            }
            router.advance(20_000);
        }
    }
    assert!(sent[1] * 4 < 40 * 3 && sent[1] > 0, "{sent:?}");
}

/// The position of a hung primary does not advance: a report with a newer position ends the suspicion.
#[test]
fn a_suspected_primary_whose_position_advances_is_cleared() {
    for (progress, is_cleared) in [(0, false), (100_000, true)] {
        let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
        let unanswered = sends(&router.submit_with(STRONG, None, 400_000))[0];
        router.advance(390_000);
        router.finish_attempt(unanswered, 0, AttemptOutcome::Timeout, None);
        let suspected_at = router.now;
        router.now += 50_000;
        router.finish_probe(1, Role::Primary, suspected_at + progress.min(40_000));
        assert_eq!(sends(&router.submit(NON_IDEMPOTENT)).iter().any(|s| s.1 == HostId(1)), is_cleared);
    }
}

/// Reads avoid a member with a long queue while the report of the queue is recent.
#[test]
fn a_reported_queue_sends_reads_to_another_member() {
    let mut router = TestRouter::new(settings());
    let report = |host, queue| {
        Event::ProbeFinished(ProbeResult {
            host: HostId(host),
            answered: true,
            role: Some(Role::Replica),
            position: Some(START),
            queued: Some(queue),
        })
    };
    for busy_host in [2, 3] {
        router.handle_event(report(busy_host, 60.0));
        router.handle_event(report(5 - busy_host, 0.0));
        assert!(sends(&router.submit(ANY)).iter().all(|s| s.1 != HostId(busy_host)));
    }
}

/// A hung member fills up and refuses requests as overloaded: such a refusal does not end the suspicion.
#[test]
fn an_overload_refusal_does_not_end_a_suspicion() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
    let read = sends(&router.submit_with(STRONG, None, 400_000))[0];
    router.advance(390_000);
    router.finish_attempt(read, 0, AttemptOutcome::Timeout, None);
    let mut sent = 0;
    for _ in 0..200 {
        for s in sends(&router.submit(STRONG)).into_iter().chain(sends(&router.submit(ANY))) {
            sent += u32::from(s.1 == HostId(1));
            router.finish_attempt(
                s,
                0,
                if s.1 == HostId(1) { AttemptOutcome::Overloaded } else { AttemptOutcome::Ok },
                None,
            );
        }
        router.advance(10_000);
    }
    assert!((1..=3).contains(&sent), "{sent} requests in two seconds");
}

/// Guards against requests that are held for most of their time and refused too late for a retry: a request
/// that no member has received is refused before half of its time is over.
#[test]
fn a_request_that_no_member_received_is_refused_before_half_its_time() {
    let mut router = router_without_known_primary(2);
    assert!(sends(&router.submit(NON_IDEMPOTENT)).is_empty(), "too few attempts to search with");
    assert!(!refused(&router.advance(400_000)), "it is held for a while");
    assert!(refused(&router.advance(90_000)));
}

/// Guards against a refusal, which tells the client that a repeat is safe, while an attempt of the write is
/// in flight.
#[test]
fn at_shutdown_a_write_in_flight_fails_and_a_read_is_refused() {
    let mut router = TestRouter::new(settings());
    assert_eq!(sends(&router.submit(NON_IDEMPOTENT)).len(), 1);
    let actions = router.handle_event(Event::Shutdown);
    assert!(failed(&actions) && !refused(&actions));
    assert_eq!(sends(&router.submit(ANY)).len(), 1);
    let actions = router.handle_event(Event::Shutdown);
    assert!(refused(&actions) && !failed(&actions));
}

/// Guards against a member that is taken out of use for broken connections while it serves others: single
/// connections break at working members, whereas a dead one refuses the next connection. A position that has
/// advanced since shows that the member works.
#[test]
fn broken_connections_take_no_member_out_of_use() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
    for outcomes in [[AttemptOutcome::Reset; 3].as_slice(), &[AttemptOutcome::ConnectFailed]] {
        for outcome in outcomes {
            let sent = sends(&router.submit(ANY))[0];
            assert_eq!(sent.1, HostId(2), "after {outcome:?}");
            let retry = sends(&router.finish_attempt(sent, 0, *outcome, None))[0];
            router.finish_attempt(retry, 1, AttemptOutcome::Ok, Some(Role::Primary));
        }
        let sent = sends(&router.submit(ANY))[0];
        router.finish_attempt(sent, 0, AttemptOutcome::Ok, Some(Role::Replica));
    }
    for _ in 0..2 {
        let sent = sends(&router.submit(ANY))[0];
        assert_eq!(sent.1, HostId(2), "still in use");
        let retry = sends(&router.finish_attempt(sent, 0, AttemptOutcome::ConnectFailed, None))[0];
        router.finish_attempt(retry, 1, AttemptOutcome::Ok, Some(Role::Primary));
    }
    assert_eq!(sends(&router.submit(ANY))[0].1, HostId(1), "out of use after two refused connections");
    router.finish_probe(2, Role::Replica, router.now - 1);
    assert_eq!(sends(&router.submit(ANY))[0].1, HostId(1), "its position may not have advanced");
    router.now += 50_000;
    router.finish_probe(2, Role::Replica, router.now - 1);
    assert_eq!(sends(&router.submit(ANY))[0].1, HostId(2), "its position has advanced");
}

/// Guards against a slow replica that stays out of use: reads keep its report recent, and one trial request
/// is sent as soon as its position has advanced.
#[test]
fn a_silent_replica_whose_position_advances_is_tried_at_once() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
    let mut probed = Vec::new();
    for _ in 0..100 {
        let mut actions = router.submit(ANY);
        actions.extend(router.advance(20_000));
        probed = probes(&actions);
        if !probed.is_empty() {
            break;
        }
    }
    assert_eq!(probed, vec![HostId(2)], "the silent replica is probed");
    router.now += 20_000;
    let mut actions = router.finish_probe(2, Role::Replica, router.now - 1);
    actions.extend(router.submit(ANY));
    let trials = sends(&actions).iter().filter(|sent| sent.1 == HostId(2)).count();
    assert_eq!(trials, 1, "one trial at once, and the rest elsewhere");
}

/// Guards against a router with one read per second that sheds reads of a group after one slow answer of one
/// member: each of many routers with little traffic would refuse reads that other routers serve.
#[test]
fn one_slow_answer_does_not_shed_the_next_reads() {
    let mut refused = 0;
    for seed in 0..50 {
        let mut router = TestRouter::new(Settings { seed, ..settings() });
        for n in 0..10 {
            router.now += 1_000_000;
            router.latency = if n % 5 == 4 { 900_000 } else { 40_000 };
            let actions = router.submit(ANY);
            refused += actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
            sends(&actions)
                .into_iter()
                .for_each(|sent| drop(router.finish_attempt(sent, 0, AttemptOutcome::Ok, None)));
        }
    }
    assert!(refused <= 125, "{refused} of 500 refused");
}
