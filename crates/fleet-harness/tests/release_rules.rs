//! The checker of the rules of a release.

use wharfplank_fleet_harness::releases::diary::{check, Bounds, Event, Site, What, Why};

fn out(s: i64, member: usize, why: Why, launch: u64, primary: bool) -> Event {
    Event { at: s * 1_000_000, member, what: What::Out { why, launch, primary, served: true } }
}

fn back(s: i64, member: usize) -> Event {
    Event { at: s * 1_000_000, member, what: What::Back { launch: 1, version: 7 } }
}

fn counts(events: &[Event]) -> [usize; 6] {
    // Two groups of three, one member of each in each zone.
    let sites: Vec<Site> = (0..6).map(|m| Site { group: m / 3, zone: ["a", "b", "c"][m % 3] }).collect();
    let b = check(events, &sites, Bounds { group: 1, zone: 1, fleet: 2 });
    [b.group, b.zone, b.fleet, b.primary, b.last_replica, b.twice]
}

/// Guards the checker: each rule that is broken is counted, and what the rules allow is not.
#[test]
fn each_broken_rule_is_counted() {
    let order = |s, member| out(s, member, Why::Order, 0, false);
    assert_eq!(counts(&[order(0, 1), back(2, 1), order(3, 2), order(3, 4)]), [0; 6]);
    assert_eq!(counts(&[order(0, 1), order(1, 2)]), [1, 0, 0, 0, 1, 0]);
    assert_eq!(counts(&[order(0, 1), order(1, 4)]), [0, 1, 0, 0, 0, 0]);
    assert_eq!(counts(&[out(0, 0, Why::Order, 0, true)]), [0, 0, 0, 1, 0, 0]);
    assert_eq!(counts(&[order(0, 1), back(1, 1), order(2, 1)]), [0, 0, 0, 0, 0, 1]);
    let fell = |s, member| out(s, member, Why::Fell, 0, false);
    assert_eq!(counts(&[fell(0, 1), order(1, 2)]), [0; 6], "nobody can know");
    assert_eq!(counts(&[fell(0, 1), order(9, 2)]), [1, 0, 0, 0, 1, 0]);
    assert_eq!(counts(&[order(0, 2), fell(0, 1), fell(0, 3), order(9, 4)]), [1, 1, 1, 0, 1, 0]);
}
