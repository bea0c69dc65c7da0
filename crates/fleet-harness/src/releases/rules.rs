//! The rules of a release, and the checker that counts where what members did broke them.

use super::events::{MemberEvent, MemberEventKind, StopCause};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_lab::fleet::Micros;

/// A crash or a drain so shortly before an order may not have been known when the order was permitted: the permits are
/// looked at each second, the agents are polled each half, and an order is repeated each second until it comes through.
pub const DETECTION_TIME: Micros = 6_000_000;
/// Members of a group that must be left where it has more than two: the primary, and a replica that serves reads.
const MIN_MEMBERS_LEFT: usize = 2;

/// A member's group and zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its group.
    pub group: usize,
    /// Its zone.
    pub zone: &'static str,
}

/// How many members may be down at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DisruptionLimits {
    /// Of a group.
    pub group: usize,
    /// Of a zone.
    pub zone: usize,
    /// Of the fleet.
    pub fleet: usize,
}

/// The rules that were broken, counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RuleViolations {
    /// Members that an order stopped although as many of their group were down as may be.
    pub group: usize,
    /// Of their zone.
    pub zone: usize,
    /// Of the fleet.
    pub fleet: usize,
    /// Primaries that an order stopped.
    pub primary: usize,
    /// Last replicas of their groups that an order stopped.
    pub last_replica: usize,
    /// Incarnations that ended twice.
    pub twice: usize,
}

impl RuleViolations {
    /// All of them.
    pub fn count(&self) -> usize {
        self.group + self.zone + self.fleet + self.primary + self.last_replica + self.twice
    }
}

/// Counts the broken rules of a run.
pub fn check(events: &[MemberEvent], sites: &[Site], limits: DisruptionLimits) -> RuleViolations {
    let mut checker = Checker { sites, limits, down: BTreeMap::new(), violations: RuleViolations::default() };
    let mut ended: BTreeSet<(usize, u64)> = BTreeSet::new();
    for event in events {
        let MemberEventKind::Stopped { cause, incarnation, was_primary, was_serving } = event.kind else {
            checker.down.remove(&event.member);
            continue;
        };
        // A drained member that an order ends did not end by the drain.
        if cause != StopCause::Drained && !ended.insert((event.member, incarnation)) {
            checker.violations.twice += 1;
        }
        // What was down already adds nothing.
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
    /// Whether it could be known when an order was permitted that came through at `at`.
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
    /// Counts the limits that an order breaks which stops a serving member.
    fn check_order(&mut self, order: &MemberEvent) {
        let site = &self.sites[order.member];
        let is_in_group = |other: &Site| other.group == site.group;
        let down_of_group = self.down_with(order, is_in_group);
        let down_of_zone = self.down_with(order, |other| other.zone == site.zone);
        let down_of_fleet = self.down_with(order, |_| true);
        // One of those that are left is the primary; in a group of two it serves the reads.
        let group_size = self.sites.iter().filter(|other| is_in_group(other)).count();
        let is_last_replica = group_size > 2 && group_size - down_of_group < MIN_MEMBERS_LEFT;
        self.violations.group += usize::from(down_of_group > self.limits.group);
        self.violations.zone += usize::from(down_of_zone > self.limits.zone);
        self.violations.fleet += usize::from(down_of_fleet > self.limits.fleet);
        self.violations.last_replica += usize::from(is_last_replica);
    }

    /// How many of the members at certain sites are down once the ordered one is, as far as that could be known.
    fn down_with(&self, order: &MemberEvent, is_counted: impl Fn(&Site) -> bool) -> usize {
        let known = self.down.iter().filter(|(_, down)| down.was_known(order.at));
        known.filter(|(member, _)| is_counted(&self.sites[**member])).count() + 1
    }
}
