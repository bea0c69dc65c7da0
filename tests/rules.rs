//! Writes, final answers, effects, drains and cold members.

mod common;
use common::*;
use wharfplank::routing::*;

fn unknown_primary(max_attempts: u32) -> TestRouter {
    let entries = (1..=4).map(|h| endpoint(h, false)).collect();
    TestRouter::with(Settings { max_attempts, ..settings() }, entries)
}

#[test]
fn one_write_tries_members_in_turn_for_the_group() {
    let mut router = unknown_primary(8);
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
        "after a round it waits"
    );
}

#[test]
fn a_probe_that_finds_the_primary_lets_held_writes_go_without_a_burst() {
    let mut router = unknown_primary(8);
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
fn a_miss_demotes_the_primary_that_the_list_still_names() {
    let mut router = TestRouter::new(settings());
    let sent = sends(&router.submit(NON_IDEMPOTENT))[0];
    assert_eq!(sent.1, HostId(1));
    let next = sends(&router.finish_attempt(sent, 0, AttemptOutcome::Misrouted, Some(Role::Replica)));
    assert_ne!(next[0].1, HostId(1));
}

#[test]
fn an_unsafe_write_that_may_have_run_fails_at_once() {
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
fn an_unsafe_write_that_never_ran_is_tried_again() {
    for outcome in [AttemptOutcome::Overloaded, AttemptOutcome::ConnectFailed, AttemptOutcome::Misrouted] {
        let mut router = TestRouter::new(settings());
        let sent = sends(&router.submit(NON_IDEMPOTENT))[0];
        let mut actions = router.finish_attempt(sent, 0, outcome, None);
        actions.extend(router.advance(900_000));
        assert!(!failed(&actions), "{outcome:?}");
    }
}

#[test]
fn a_keyed_write_is_repeated_inside_its_window_only() {
    for (after, again) in [(DEDUP_WINDOW - 400_000, true), (DEDUP_WINDOW, false)] {
        let mut router = TestRouter::new(settings());
        let sent = sends(&router.submit_with(KEYED_WRITE, None, 3_000_000))[0];
        router.now += after;
        let actions = router.finish_attempt(sent, 0, AttemptOutcome::Error, Some(Role::Primary));
        assert_eq!(!sends(&actions).is_empty(), again);
        assert_eq!(failed(&actions), !again);
        assert!(!refused(&actions));
    }
}

#[test]
fn every_request_gets_one_answer_before_the_client_gives_up() {
    let mut router = TestRouter::with(settings(), vec![]);
    let classes = [ANY, BOUNDED, SESSION, STRONG, NON_IDEMPOTENT, KEYED_WRITE];
    let mut actions = Vec::new();
    for class in classes {
        actions.extend(router.submit(class));
    }
    actions.extend(router.advance(1_000_000));
    let finals = actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }));
    assert_eq!(finals.count(), classes.len());
}

#[test]
fn a_draining_member_gets_nothing_new_not_even_held_requests() {
    let mut router = TestRouter::new(settings());
    let down = |host, primary| Endpoint { status: EndpointStatus::Draining, ..endpoint(host, primary) };
    router.handle_event(Event::EndpointsChanged(vec![down(2, false), down(1, true)]));
    for _ in 0..4 {
        for (_, host) in sends(&router.submit(ANY)) {
            assert_eq!(host, HostId(3));
        }
    }
    let held = sends(&router.submit(NON_IDEMPOTENT));
    assert!(held.iter().chain(&sends(&router.advance(300_000))).all(|s| s.1 == HostId(3)));
}

#[test]
fn a_cold_member_gets_a_part_of_what_warm_ones_get() {
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
fn a_silent_member_is_left_and_returns_by_a_trial() {
    let mut router =
        TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false), endpoint(3, false)]);
    // Member 2 answers nothing; its probes go on succeeding.
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
fn a_full_member_does_not_look_idle() {
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
fn writes_find_room_at_a_primary_that_reads_crowd() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true)]);
    let reads: usize = (0..40).map(|_| sends(&router.submit(ANY)).len()).sum();
    assert!(reads > 0);
    assert_eq!(sends(&router.submit(NON_IDEMPOTENT)).len(), 1);
}

#[test]
fn a_restarted_router_knows_nothing_of_before() {
    let mut old = TestRouter::new(settings());
    old.finish_probe(2, Role::Replica, START);
    let mut router = TestRouter::new(Settings { stale_reads: StaleReadPolicy::Serve, ..settings() });
    assert!(sends(&router.submit(BOUNDED)).is_empty());
    assert!(old.handle_event(Event::ClientDisconnected(RequestId([b'x'; 36]))).is_empty());
}

#[test]
fn same_events_give_same_actions() {
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
fn empty_and_odd_settings_do_not_panic() {
    let bare = Settings {
        routers: 0,
        may_probe: false,
        may_cancel: false,
        max_retry_after: 0,
        slow_start_span: 0,
        overload_span: 0,
        max_attempts: 0,
        ..settings()
    };
    let mut router = TestRouter::new(bare);
    let launched = Endpoint { started_at: Some(START), ..endpoint(4, false) };
    router.handle_event(Event::EndpointsChanged(vec![launched]));
    for class in 0..6 {
        assert!(refused(&router.submit(ClassId(class))));
    }
    router.advance(100_000);
}

#[test]
fn a_wary_primary_with_nothing_in_flight_is_not_left_for_good() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
    let lone = sends(&router.submit_with(STRONG, None, 400_000))[0];
    router.advance(380_000);
    router.finish_attempt(lone, 0, AttemptOutcome::Timeout, None);
    let wary = sends(&router.submit(NON_IDEMPOTENT));
    assert!(wary.iter().all(|s| s.1 != HostId(1)), "silence makes the router wary of the primary");
    for scout in wary {
        router.finish_attempt(scout, 0, AttemptOutcome::Misrouted, Some(Role::Replica));
    }
    let mut freed = false;
    for _ in 0..100 {
        for sent in sends(&router.submit(ANY)) {
            let role = if sent.1 == HostId(1) { Role::Primary } else { Role::Replica };
            let next = sends(&router.finish_attempt(sent, 0, AttemptOutcome::Ok, Some(role)));
            freed |= next.iter().any(|s| s.1 == HostId(1));
        }
        router.advance(10_000);
    }
    assert!(freed, "a safe read tries it, and its answer frees the held write");
}

#[test]
fn a_long_request_among_answered_ones_is_no_silence() {
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

/// The newest answer of a primary proves its position as of the send of the request, no later.
#[test]
fn an_answer_proves_the_position_at_its_send_only() {
    let answers =
        Settings { sessions_carry_tokens: false, stale_reads: StaleReadPolicy::Serve, ..settings() };
    for (wait, fresh) in [(0, true), (1, false)] {
        let mut router = TestRouter::with(answers.clone(), vec![endpoint(1, true), endpoint(2, false)]);
        let read = sends(&router.submit(STRONG))[0];
        router.now += 60_000;
        router.finish_attempt(read, 0, AttemptOutcome::Ok, Some(Role::Primary));
        // Member 2 leads now; the former primary stands where the answer proved it to stand.
        router.now += 1;
        let now = router.now;
        router.finish_probe(1, Role::Replica, 0);
        router.finish_probe(2, Role::Primary, now);
        router.now = START + STALENESS_BOUND + wait;
        let sent = sends(&router.submit(BOUNDED));
        assert_eq!(sent.iter().any(|s| s.1 == HostId(1)), fresh);
    }
}

/// A client that leaves early: the commit still counts for its session.
#[test]
fn a_commit_counts_for_its_session_after_the_client_has_left() {
    let answers =
        Settings { sessions_carry_tokens: false, stale_reads: StaleReadPolicy::Serve, ..settings() };
    let mut router = TestRouter::new(answers);
    let write = sends(&router.submit(NON_IDEMPOTENT))[0];
    router.handle_event(Event::ClientDisconnected(write.0));
    router.now += 20_000;
    let commit = router.now - 1_000;
    router.finish_probe(2, Role::Replica, commit - 1);
    router.finish_probe(3, Role::Replica, commit - 1);
    router.finish_attempt_at(write, 0, AttemptOutcome::Ok, Some(Role::Primary), Some(commit));
    assert!(sends(&router.submit(SESSION)).iter().all(|s| s.1 == HostId(1)));
}

/// Where gone is advice, a list that names nobody empties no group; elsewhere it binds.
#[test]
fn an_empty_list_empties_no_group_where_gone_is_advice() {
    for advice in [true, false] {
        let mut router = TestRouter::new(Settings { removal_is_advisory: advice, ..settings() });
        let gone = |host| Endpoint { status: EndpointStatus::Removed, ..endpoint(host, false) };
        router.handle_event(Event::EndpointsChanged(vec![gone(2)]));
        router.handle_event(Event::EndpointList(vec![]));
        assert_eq!(sends(&router.submit(ANY)).len(), usize::from(advice));
        assert_eq!(sends(&router.submit(NON_IDEMPOTENT)).len(), usize::from(advice));
    }
}

#[test]
fn a_member_that_drained_stays_out_where_gone_is_advice() {
    let mut router = TestRouter::new(Settings { removal_is_advisory: true, ..settings() });
    let drain = |host| Endpoint { status: EndpointStatus::Draining, ..endpoint(host, false) };
    router.handle_event(Event::EndpointsChanged(vec![drain(2)]));
    router.handle_event(Event::EndpointList(vec![endpoint(1, true), endpoint(3, false)]));
    for _ in 0..4 {
        assert!(sends(&router.submit(ANY)).iter().all(|s| s.1 == HostId(3)));
    }
}

/// A router that stood still takes its own late timer for no silence.
#[test]
fn a_router_that_stood_still_suspects_nobody() {
    let mut router = TestRouter::new(settings());
    let read = sends(&router.submit_with(STRONG, None, 2_000_000));
    router.now += 1_200_000;
    router.handle_event(Event::Timer);
    router.finish_attempt(read[0], 0, AttemptOutcome::Timeout, None);
    assert_eq!(sends(&router.submit(NON_IDEMPOTENT))[0].1, HostId(1));
}

/// Overload with one request in flight at each router: lost answers shed a part of the demand.
#[test]
fn lost_answers_of_lone_requests_shed_a_part_of_the_demand() {
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

/// A hung primary's position stands still: a report that it moved on clears it of the suspicion.
#[test]
fn a_suspected_primary_whose_position_moves_on_is_cleared() {
    for (moved, cleared) in [(0, false), (100_000, true)] {
        let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
        let lone = sends(&router.submit_with(STRONG, None, 400_000))[0];
        router.advance(390_000);
        router.finish_attempt(lone, 0, AttemptOutcome::Timeout, None);
        let suspected = router.now;
        router.now += 50_000;
        router.finish_probe(1, Role::Primary, suspected + moved.min(40_000));
        assert_eq!(sends(&router.submit(NON_IDEMPOTENT)).iter().any(|s| s.1 == HostId(1)), cleared);
    }
}

/// A queue that a report shows keeps reads away as long as it is young.
#[test]
fn a_reported_queue_turns_reads_to_another_member() {
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
    for crowded in [2, 3] {
        router.handle_event(report(crowded, 60.0));
        router.handle_event(report(5 - crowded, 0.0));
        assert!(sends(&router.submit(ANY)).iter().all(|s| s.1 != HostId(crowded)));
    }
}

/// A hung member fills up and turns requests away: that clears it of nothing.
#[test]
fn a_full_answer_clears_no_suspicion() {
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
    assert!((1..=3).contains(&sent), "{sent} sends in two seconds");
}

/// Guards against requests that are held for most of their client's wait and refused when it is too late
/// to come back: one that no member has seen is told before half of its time is over.
#[test]
fn a_request_that_no_member_has_seen_is_refused_before_half_its_time() {
    let mut router = unknown_primary(2);
    assert!(sends(&router.submit(NON_IDEMPOTENT)).is_empty(), "too few attempts to search with");
    assert!(!refused(&router.advance(400_000)), "it is held for a while");
    assert!(refused(&router.advance(90_000)));
}

/// Guards against telling a client that a write is harmless to repeat while an attempt of it is still out.
#[test]
fn at_the_process_end_a_write_in_flight_fails_and_a_read_is_refused() {
    let mut router = TestRouter::new(settings());
    assert_eq!(sends(&router.submit(NON_IDEMPOTENT)).len(), 1);
    let actions = router.handle_event(Event::Shutdown);
    assert!(failed(&actions) && !refused(&actions));
    assert_eq!(sends(&router.submit(ANY)).len(), 1);
    let actions = router.handle_event(Event::Shutdown);
    assert!(refused(&actions) && !failed(&actions));
}

/// Guards against a member that is left out for broken connections while it serves on others: single ones break
/// at members that work, while a dead one refuses the next. A position that moved on since shows that it works.
#[test]
fn broken_connections_leave_no_member_out() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
    for endings in [[AttemptOutcome::Reset; 3].as_slice(), &[AttemptOutcome::ConnectFailed]] {
        for outcome in endings {
            let sent = sends(&router.submit(ANY))[0];
            assert_eq!(sent.1, HostId(2), "after {outcome:?}");
            let again = sends(&router.finish_attempt(sent, 0, *outcome, None))[0];
            router.finish_attempt(again, 1, AttemptOutcome::Ok, Some(Role::Primary));
        }
        let sent = sends(&router.submit(ANY))[0];
        router.finish_attempt(sent, 0, AttemptOutcome::Ok, Some(Role::Replica));
    }
    for _ in 0..2 {
        let sent = sends(&router.submit(ANY))[0];
        assert_eq!(sent.1, HostId(2), "not left out yet");
        let again = sends(&router.finish_attempt(sent, 0, AttemptOutcome::ConnectFailed, None))[0];
        router.finish_attempt(again, 1, AttemptOutcome::Ok, Some(Role::Primary));
    }
    assert_eq!(sends(&router.submit(ANY))[0].1, HostId(1), "left out after two refusals");
    router.finish_probe(2, Role::Replica, router.now - 1);
    assert_eq!(sends(&router.submit(ANY))[0].1, HostId(1), "its position may stand still");
    router.now += 50_000;
    router.finish_probe(2, Role::Replica, router.now - 1);
    assert_eq!(sends(&router.submit(ANY))[0].1, HostId(2), "it moved on");
}

/// Guards against a replica that was only slow and stays left out: reads keep its report young, and one trial goes
/// out as soon as its position has moved on.
#[test]
fn a_silent_replica_that_moved_on_is_tried_at_once() {
    let mut router = TestRouter::with(settings(), vec![endpoint(1, true), endpoint(2, false)]);
    let mut asked = Vec::new();
    for _ in 0..100 {
        let mut actions = router.submit(ANY);
        actions.extend(router.advance(20_000));
        asked = probes(&actions);
        if !asked.is_empty() {
            break;
        }
    }
    assert_eq!(asked, vec![HostId(2)], "the silent one's report is asked for");
    router.now += 20_000;
    let mut actions = router.finish_probe(2, Role::Replica, router.now - 1);
    actions.extend(router.submit(ANY));
    let trials = sends(&actions).iter().filter(|sent| sent.1 == HostId(2)).count();
    assert_eq!(trials, 1, "one trial at once, and the rest elsewhere");
}

/// Guards against a group whose reads are shed by a router that hears of it once a second, since one answer of one slow
/// member was long: of many routers with little traffic each would turn reads away that its neighbours serve.
#[test]
fn one_long_answer_does_not_shed_the_next_reads() {
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
