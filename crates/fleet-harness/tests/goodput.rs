//! Tests of weighted goodput and of its upper bound.

use wharfplank_fleet_harness::goodput::{by_class, total};
use wharfplank_fleet_harness::ground_truth::{GroundTruth, MemberSite, MemberState, Sample, SAMPLE_INTERVAL};
use wharfplank_lab::load::{ClientOutcome, RequestRecord};
use wharfplank_lab::member_model::{Micros, CLASSES};

const BOUNDED_READ: usize = 0;
const SESSION_READ: usize = 1;
const WRITE: usize = 3;

fn site(group: usize, zone: &'static str) -> MemberSite {
    MemberSite { group, zone }
}

fn state(is_serving: bool, is_primary: bool, position: Micros) -> MemberState {
    MemberState { is_serving, is_primary, position }
}

fn finished_request(
    class: usize,
    due_at: Micros,
    min_position_ms: Option<i64>,
    outcome: ClientOutcome,
) -> RequestRecord {
    RequestRecord {
        proxy: 0,
        class,
        group: 0,
        min_position_ms,
        due_at,
        finished_at: due_at + 10_000,
        outcome,
    }
}

/// Guards against an upper bound that counts requests which no member could have answered, or misses ones
/// that some member could.
#[test]
fn upper_bound_is_what_a_perfect_router_could_serve() {
    let sites = vec![site(0, "a"), site(0, "b"), site(1, "a")];
    // The primary of group 0 is down from 1 s to 3 s, and its replica's position does not advance meanwhile.
    let samples = (0..200).map(|i| {
        let at = i * SAMPLE_INTERVAL;
        let is_down = (1_000_000..3_000_000).contains(&at);
        let position = if is_down { 1_000_000 } else { at };
        let members = vec![state(!is_down, true, at), state(true, false, position), state(true, true, at)];
        Sample { at, cut_zone: None, members }
    });
    let truth = GroundTruth::new(sites, samples.collect());
    let earliest = |request: RequestRecord| truth.earliest_answer(&request, "a");
    assert_eq!(earliest(finished_request(WRITE, 500_000, None, ClientOutcome::Served)), Some(500_000));
    assert_eq!(
        earliest(finished_request(WRITE, 1_500_000, None, ClientOutcome::Served)),
        Some(3_000_000),
        "once the primary is back"
    );
    assert_eq!(earliest(finished_request(WRITE, 900_000, None, ClientOutcome::Served)), Some(900_000));
    assert_eq!(
        earliest(finished_request(BOUNDED_READ, 1_100_000, None, ClientOutcome::Served)),
        Some(1_100_000),
        "not yet too old"
    );
    assert_eq!(
        earliest(finished_request(BOUNDED_READ, 1_500_000, None, ClientOutcome::Served)),
        None,
        "too old until the client times out at 2.5 s"
    );
    assert_eq!(
        earliest(finished_request(SESSION_READ, 1_500_000, Some(900), ClientOutcome::Served)),
        Some(1_500_000)
    );
    assert_eq!(earliest(finished_request(SESSION_READ, 1_500_000, Some(1_400), ClientOutcome::Served)), None);
    let all = [
        finished_request(BOUNDED_READ, 1_500_000, None, ClientOutcome::Rejected),
        finished_request(WRITE, 500_000, None, ClientOutcome::Served),
        RequestRecord {
            finished_at: 4_000_000,
            ..finished_request(WRITE, 2_500_000, None, ClientOutcome::Served)
        },
    ];
    let sum = total(&by_class(&truth, &all, |_| "a"));
    let (read, write) = (&CLASSES[BOUNDED_READ], &CLASSES[WRITE]);
    assert_eq!(sum.offered, read.weight + 2.0 * write.weight);
    assert!((sum.served - write.weight * (1.0 + write.late_fraction)).abs() < 1e-9, "{sum:?}");
    assert_eq!(sum.upper_bound, 2.0 * write.weight, "the second was possible in time, the read never");
    assert_eq!((sum.in_time, sum.late, sum.rejected), (1, 1, 1));
}

/// Guards against an upper bound that counts members on the other side of a cut.
#[test]
fn proxies_do_not_reach_members_across_a_cut() {
    let samples = (0..100).map(|i| {
        let at = i * SAMPLE_INTERVAL;
        let members = vec![state(true, true, at), state(true, false, at)];
        Sample { at, cut_zone: Some("b".to_string()), members }
    });
    let truth = GroundTruth::new(vec![site(0, "a"), site(0, "b")], samples.collect());
    let write = finished_request(WRITE, 0, None, ClientOutcome::Served);
    assert_eq!(truth.earliest_answer(&write, "a"), Some(0));
    assert_eq!(truth.earliest_answer(&write, "b"), None, "the primary is on the other side");
    assert_eq!(
        truth.earliest_answer(&finished_request(BOUNDED_READ, 0, None, ClientOutcome::Served), "b"),
        Some(0)
    );
}
