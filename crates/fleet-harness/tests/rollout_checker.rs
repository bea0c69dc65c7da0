//! The checker of a rollout's rules.

use wharfplank_fleet_harness::rollouts::checker::{count_violations, DisruptionBudget, Location};
use wharfplank_fleet_harness::rollouts::{MemberEvent, MemberEventKind, OutageCause};

fn went_out(
    second: i64,
    member: usize,
    cause: OutageCause,
    incarnation: u64,
    was_primary: bool,
) -> MemberEvent {
    let kind = MemberEventKind::WentOut { cause, incarnation, was_primary, did_serve: true };
    MemberEvent { at: second * 1_000_000, member, kind }
}

fn came_back(second: i64, member: usize) -> MemberEvent {
    let kind = MemberEventKind::CameBack { incarnation: 1, version: 7 };
    MemberEvent { at: second * 1_000_000, member, kind }
}

fn counts(events: &[MemberEvent]) -> [usize; 6] {
    // Two groups of three, one member of each in each zone.
    let locations: Vec<Location> =
        (0..6).map(|member| Location { group: member / 3, zone: ["a", "b", "c"][member % 3] }).collect();
    let budget = DisruptionBudget { per_group: 1, per_zone: 1, fleet: 2 };
    let found = count_violations(events, &locations, budget);
    [found.group, found.zone, found.fleet, found.primary, found.last_replica, found.ended_twice]
}

/// Guards the checker: each violation is counted, and what the rules allow is not.
#[test]
fn each_violation_is_counted() {
    let order = |second, member| went_out(second, member, OutageCause::Order, 0, false);
    assert_eq!(counts(&[order(0, 1), came_back(2, 1), order(3, 2), order(3, 4)]), [0; 6]);
    assert_eq!(counts(&[order(0, 1), order(1, 2)]), [1, 0, 0, 0, 1, 0]);
    assert_eq!(counts(&[order(0, 1), order(1, 4)]), [0, 1, 0, 0, 0, 0]);
    assert_eq!(counts(&[went_out(0, 0, OutageCause::Order, 0, true)]), [0, 0, 0, 1, 0, 0]);
    assert_eq!(counts(&[order(0, 1), came_back(1, 1), order(2, 1)]), [0, 0, 0, 0, 0, 1]);
    let crash = |second, member| went_out(second, member, OutageCause::Crash, 0, false);
    assert_eq!(counts(&[crash(0, 1), order(1, 2)]), [0; 6], "nobody can know");
    assert_eq!(counts(&[crash(0, 1), order(9, 2)]), [1, 0, 0, 0, 1, 0]);
    assert_eq!(counts(&[order(0, 2), crash(0, 1), crash(0, 3), order(9, 4)]), [1, 1, 1, 0, 1, 0]);
}
