//! Counts the violations of the disruption budget and of the groups' roles in a log of what members did.

use super::event::{MemberEvent, MemberEventKind, OutageCause};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_lab::fleet::Micros;

/// A permit server may not have known of a crash or a drain so shortly before an order when it granted the permit: the
/// view is taken each second, the agents are polled twice a second, and an order is repeated each second until it arrives.
pub const DETECTION_TIME: Micros = 6_000_000;
/// A group that is larger than this keeps a replica beside its primary. In a group of two the primary serves the reads.
const MAX_GROUP_WITHOUT_REPLICA: usize = 2;

/// Where a member counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Location {
    /// Its group.
    pub group: usize,
    /// Its zone.
    pub zone: &'static str,
}

/// How many members may be out at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DisruptionBudget {
    /// Of each group.
    pub per_group: usize,
    /// Of each zone.
    pub per_zone: usize,
    /// Of the whole fleet.
    pub fleet: usize,
}

/// Counts of violations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Members that went out by an order beyond the budget of their group.
    pub group: usize,
    /// Members that went out by an order beyond the budget of their zone.
    pub zone: usize,
    /// Members that went out by an order beyond the budget of the fleet.
    pub fleet: usize,
    /// Primaries that went out by an order.
    pub primary: usize,
    /// Last replicas of their groups that went out by an order.
    pub last_replica: usize,
    /// Incarnations that ended twice.
    #[serde(rename = "twice")]
    pub ended_twice: usize,
}

impl Violations {
    /// The number of all violations.
    pub fn total(&self) -> usize {
        self.group + self.zone + self.fleet + self.primary + self.last_replica + self.ended_twice
    }
}

/// A member that is out.
struct Outage {
    since: Micros,
    cause: OutageCause,
}

/// Follows the events, and counts.
struct Checker<'a> {
    locations: &'a [Location],
    budget: DisruptionBudget,
    out: BTreeMap<usize, Outage>,
    ended: BTreeSet<(usize, u64)>,
    violations: Violations,
}

/// Counts the violations in the events of a run, given each member's location.
pub fn count_violations(
    events: &[MemberEvent],
    locations: &[Location],
    budget: DisruptionBudget,
) -> Violations {
    let mut checker = Checker {
        locations,
        budget,
        out: BTreeMap::new(),
        ended: BTreeSet::new(),
        violations: Violations::default(),
    };
    for event in events {
        checker.on_event(event);
    }
    checker.violations
}

impl Checker<'_> {
    fn on_event(&mut self, event: &MemberEvent) {
        let MemberEventKind::WentOut { cause, incarnation, was_primary, did_serve } = event.kind else {
            self.out.remove(&event.member);
            return;
        };
        // A drained member that an order ends did not end by the drain.
        if cause != OutageCause::Drain && !self.ended.insert((event.member, incarnation)) {
            self.violations.ended_twice += 1;
        }
        // A member that was out already adds nothing.
        if cause == OutageCause::Order && did_serve && !self.out.contains_key(&event.member) {
            self.check_order(event, was_primary);
        }
        self.out.entry(event.member).or_insert(Outage { since: event.at, cause });
    }

    /// Checks an order that took out a member that served.
    fn check_order(&mut self, event: &MemberEvent, was_primary: bool) {
        let location = &self.locations[event.member];
        let is_in_group = |other: &Location| other.group == location.group;
        let out_of_group = self.known_out(event.at, is_in_group) + 1;
        let out_of_zone = self.known_out(event.at, |other| other.zone == location.zone) + 1;
        let out_of_fleet = self.known_out(event.at, |_| true) + 1;
        let group_size = self.locations.iter().filter(|other| is_in_group(other)).count();
        // One of those that are left is the primary.
        let lacks_replica = group_size > MAX_GROUP_WITHOUT_REPLICA && group_size - out_of_group < 2;
        self.violations.group += usize::from(out_of_group > self.budget.per_group);
        self.violations.zone += usize::from(out_of_zone > self.budget.per_zone);
        self.violations.fleet += usize::from(out_of_fleet > self.budget.fleet);
        self.violations.primary += usize::from(was_primary);
        self.violations.last_replica += usize::from(lacks_replica);
    }

    /// How many members of some locations are out whose outage the permit server could know of.
    fn known_out(&self, now: Micros, is_counted: impl Fn(&Location) -> bool) -> usize {
        let is_known =
            |outage: &Outage| outage.cause == OutageCause::Order || now - outage.since > DETECTION_TIME;
        let known = self.out.iter().filter(|(_, outage)| is_known(outage));
        known.filter(|(member, _)| is_counted(&self.locations[**member])).count()
    }
}
