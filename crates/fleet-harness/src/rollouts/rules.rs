//! The rules of a rollout, and the checker that counts their violations.

use super::events::{MemberEvent, MemberEventKind, StopCause};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_lab::member_model::Micros;

/// The time within which a crash or a drain may not yet have been known when a later order was permitted.
/// Permits are checked every second, agents are polled every half second, and an order is repeated every
/// second until it arrives.
pub const DETECTION_TIME: Micros = 6_000_000;
/// The number of members that must keep serving in a group of more than two: the primary, and a replica for
/// reads.
const MIN_MEMBERS_LEFT: usize = 2;

/// A member's group and zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its group.
    pub group: usize,
    /// Its zone.
    pub zone: &'static str,
}

/// The maximum numbers of members that may be down at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DisruptionLimits {
    /// In a group.
    pub group: usize,
    /// In a zone.
    pub zone: usize,
    /// In the fleet.
    pub fleet: usize,
}

/// The numbers of rule violations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RuleViolations {
    /// Orders that stopped a member when the limit of its group was already reached.
    pub group: usize,
    /// Orders that stopped a member when the limit of its zone was already reached.
    pub zone: usize,
    /// Orders that stopped a member when the limit of the fleet was already reached.
    pub fleet: usize,
    /// Primaries that an order stopped.
    pub primary: usize,
    /// Last replicas of their groups that an order stopped.
    pub last_replica: usize,
    /// Incarnations that ended twice.
    pub twice: usize,
}

impl RuleViolations {
    /// Returns the number of all violations.
    pub fn count(&self) -> usize {
        self.group + self.zone + self.fleet + self.primary + self.last_replica + self.twice
    }
}

/// Counts the rule violations of a run.
pub fn check(events: &[MemberEvent], sites: &[Site], limits: DisruptionLimits) -> RuleViolations {
    let mut checker = Checker { sites, limits, down: BTreeMap::new(), violations: RuleViolations::default() };
    let mut ended: BTreeSet<(usize, u64)> = BTreeSet::new();
    for event in events {
        let MemberEventKind::Stopped { cause, incarnation, was_primary, was_serving } = event.kind else {
            checker.down.remove(&event.member);
            continue;
        };
        // A drain does not end an incarnation, so an order may still end it.
        if cause != StopCause::Drained && !ended.insert((event.member, incarnation)) {
            checker.violations.twice += 1;
        }
        // Stopping a member that is already down is no disruption.
        let is_disruption = was_serving && !checker.down.contains_key(&event.member);
        if cause == StopCause::Ordered && is_disruption {
            checker.check_order(event);
            checker.violations.primary += usize::from(was_primary);
        }
        checker.down.entry(event.member).or_insert(Down { since: event.at, cause });
    }
    checker.violations
}

/// A member that is down.
#[derive(Clone, Copy)]
struct Down {
    since: Micros,
    cause: StopCause,
}

impl Down {
    /// Returns whether it could be known when an order that arrived at `at` was permitted.
    fn was_known(&self, at: Micros) -> bool {
        self.cause == StopCause::Ordered || at - self.since > DETECTION_TIME
    }
}

struct Checker<'a> {
    sites: &'a [Site],
    limits: DisruptionLimits,
    down: BTreeMap<usize, Down>,
    violations: RuleViolations,
}

impl Checker<'_> {
    /// Counts the limits that are exceeded by an order that stops a serving member.
    fn check_order(&mut self, order: &MemberEvent) {
        let site = &self.sites[order.member];
        let is_in_group = |other: &Site| other.group == site.group;
        let down_of_group = self.down_with(order, is_in_group);
        let down_of_zone = self.down_with(order, |other| other.zone == site.zone);
        let down_of_fleet = self.down_with(order, |_| true);
        // One of the remaining members is the primary; in a group of two it serves the reads.
        let group_size = self.sites.iter().filter(|other| is_in_group(other)).count();
        let is_last_replica = group_size > 2 && group_size - down_of_group < MIN_MEMBERS_LEFT;
        self.violations.group += usize::from(down_of_group > self.limits.group);
        self.violations.zone += usize::from(down_of_zone > self.limits.zone);
        self.violations.fleet += usize::from(down_of_fleet > self.limits.fleet);
        self.violations.last_replica += usize::from(is_last_replica);
    }

    /// Returns the number of members at the counted sites that are down, as far as could be known, including
    /// the one that the order stops.
    fn down_with(&self, order: &MemberEvent, is_counted: impl Fn(&Site) -> bool) -> usize {
        let known = self.down.iter().filter(|(_, down)| down.was_known(order.at));
        known.filter(|(member, _)| is_counted(&self.sites[**member])).count() + 1
    }
}
