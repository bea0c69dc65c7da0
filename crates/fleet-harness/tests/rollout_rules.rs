//! Tests of the checker of rollout rules.

use wharfplank_fleet_harness::rollouts::events::{MemberEvent, MemberEventKind, StopCause};
use wharfplank_fleet_harness::rollouts::rules::{check, DisruptionLimits, Site};

fn stopped(second: i64, member: usize, cause: StopCause, was_primary: bool) -> MemberEvent {
    let kind = MemberEventKind::Stopped { cause, incarnation: 0, was_primary, was_serving: true };
    MemberEvent { at: second * 1_000_000, member, kind }
}

fn started(second: i64, member: usize) -> MemberEvent {
    let kind = MemberEventKind::Started { incarnation: 1, version: 7 };
    MemberEvent { at: second * 1_000_000, member, kind }
}

/// Returns the violations of group, zone and fleet limits, stopped primaries and last replicas, and
/// incarnations that ended twice.
fn counts(events: &[MemberEvent]) -> [usize; 6] {
    // Two groups of three, one member of each in each zone.
    let sites: Vec<Site> =
        (0..6).map(|member| Site { group: member / 3, zone: ["a", "b", "c"][member % 3] }).collect();
    let found = check(events, &sites, DisruptionLimits { group: 1, zone: 1, fleet: 2 });
    [found.group, found.zone, found.fleet, found.primary, found.last_replica, found.twice]
}

/// Guards against a checker that misses a violation or counts what the rules allow.
#[test]
fn each_rule_violation_is_counted() {
    let order = |second, member| stopped(second, member, StopCause::Ordered, false);
    assert_eq!(counts(&[order(0, 1), started(2, 1), order(3, 2), order(3, 4)]), [0; 6]);
    assert_eq!(counts(&[order(0, 1), order(1, 2)]), [1, 0, 0, 0, 1, 0]);
    assert_eq!(counts(&[order(0, 1), order(1, 4)]), [0, 1, 0, 0, 0, 0]);
    assert_eq!(counts(&[stopped(0, 0, StopCause::Ordered, true)]), [0, 0, 0, 1, 0, 0]);
    assert_eq!(counts(&[order(0, 1), started(1, 1), order(2, 1)]), [0, 0, 0, 0, 0, 1]);
    let crash = |second, member| stopped(second, member, StopCause::Crashed, false);
    assert_eq!(counts(&[crash(0, 1), order(1, 2)]), [0; 6], "the crash cannot be known yet");
    assert_eq!(counts(&[crash(0, 1), order(9, 2)]), [1, 0, 0, 0, 1, 0]);
    assert_eq!(counts(&[order(0, 2), crash(0, 1), crash(0, 3), order(9, 4)]), [1, 1, 1, 0, 1, 0]);
}
