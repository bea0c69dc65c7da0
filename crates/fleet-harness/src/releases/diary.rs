//! What members did, as their agents noted it, and the rules that were broken by it.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_lab::fleet::Micros;

/// A failure or a drain so shortly before an order may not have been known to the bank when it gave the permit: it
/// looks each second, the agents are asked each half, and an order is said again each second until it comes through.
pub const UNKNOWN: Micros = 6_000_000;

/// Why a member went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Why {
    /// An order.
    Order,
    /// It fell.
    Fell,
    /// Discovery drained it.
    Drained,
}

/// What a member did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// When.
    pub at: Micros,
    /// Who.
    pub member: usize,
    /// What it did.
    pub what: What,
}

/// What a member did.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum What {
    /// It went out, at this launch, as its group's primary or not.
    Out {
        /// Why.
        why: Why,
        /// The launch that ended.
        launch: u64,
        /// Whether it was its group's primary.
        primary: bool,
        /// Whether it served before.
        served: bool,
    },
    /// It serves again, at this launch, as that version.
    Back {
        /// The launch.
        launch: u64,
        /// The version.
        version: u64,
    },
}

/// A member's group and zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its group.
    pub group: usize,
    /// Its zone.
    pub zone: &'static str,
}

/// What may be out at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Of a group.
    pub group: usize,
    /// Of a zone.
    pub zone: usize,
    /// Of all.
    pub fleet: usize,
}

/// The rules that were broken, counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Members that went out by order although as many of their group were out as may be.
    pub group: usize,
    /// Of their zone.
    pub zone: usize,
    /// Of the fleet.
    pub fleet: usize,
    /// Primaries that an order took out.
    pub primary: usize,
    /// Last replicas of their groups that an order took out.
    pub last_replica: usize,
    /// Launches that ended twice.
    pub twice: usize,
}

impl Broken {
    /// All of them.
    pub fn count(&self) -> usize {
        self.group + self.zone + self.fleet + self.primary + self.last_replica + self.twice
    }
}

/// Counts the broken rules of a run.
pub fn check(events: &[Event], sites: &[Site], bounds: Bounds) -> Broken {
    let mut broken = Broken::default();
    let mut out: BTreeMap<usize, (Micros, Why)> = BTreeMap::new();
    let mut ended: BTreeSet<(usize, u64)> = BTreeSet::new();
    for event in events {
        let What::Out { why, launch, primary, served } = event.what else {
            out.remove(&event.member);
            continue;
        };
        // A drained member that an order ends did not end by the drain.
        if why != Why::Drained && !ended.insert((event.member, launch)) {
            broken.twice += 1;
        }
        // What was out already adds nothing.
        if why == Why::Order && served && !out.contains_key(&event.member) {
            let known = |at: Micros, why: Why| why == Why::Order || event.at - at > UNKNOWN;
            let gone: Vec<usize> =
                out.iter().filter(|(_, (at, why))| known(*at, *why)).map(|(member, _)| *member).collect();
            let (site, of) = (&sites[event.member], |keep: &dyn Fn(&Site) -> bool| {
                gone.iter().filter(|member| keep(&sites[**member])).count() + 1
            });
            let kin = |s: &Site| s.group == site.group;
            broken.group += usize::from(of(&kin) > bounds.group);
            broken.zone += usize::from(of(&|s| s.zone == site.zone) > bounds.zone);
            broken.fleet += usize::from(of(&|_| true) > bounds.fleet);
            broken.primary += usize::from(primary);
            // One of those that are left is the primary; in a group of two it serves the reads.
            let all = sites.iter().filter(|s| kin(s)).count();
            broken.last_replica += usize::from(all > 2 && all - of(&kin) < 2);
        }
        out.entry(event.member).or_insert((event.at, why));
    }
    broken
}
