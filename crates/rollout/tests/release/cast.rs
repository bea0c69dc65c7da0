//! Members as they truly are, and the checker that counts who is out when one more goes.

use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::BTreeMap;
use wharfplank_rollout::{Allowance, Launch, Micros, Order, Place, Sight, Version};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000 * MS;
/// What a bank couldn't know when it gave a permit is not held against it: a failure, or a drain by discovery, so long
/// before, or since then. An order that left can't be called back.
const KNOWN_WITHIN: Micros = 4 * S;

/// A version that is never ready, and one that refuses much under load.
pub const NEVER_READY: Version = 66;
pub const BAD_UNDER_LOAD: Version = 77;

#[derive(Clone, Debug)]
pub struct Member {
    pub place: Place,
    pub launch: Launch,
    pub version: Version,
    /// From when on it serves.
    pub up_at: Micros,
    /// Since when it is out by no order, and whether discovery drains it.
    pub fell_at: Option<Micros>,
    pub drained_at: Option<Micros>,
    /// Whether it served when an order took it out.
    pub by_order: bool,
    pub primary: bool,
    /// The side of a cut that it is on; none: all reach it.
    pub side: Option<bool>,
    /// Launches of this member that an order ended.
    pub ended: Vec<Launch>,
}

impl Member {
    pub fn serves(&self, now: Micros) -> bool {
        self.up_at <= now && self.drained_at.is_none()
    }

    pub fn sight(&self, now: Micros, at: Micros) -> Sight {
        let (launch, version) = (self.launch, self.version);
        Sight { launch, version, sound: self.up_at <= now, down: self.up_at > now, primary: self.primary, at }
    }

    pub fn falls(&mut self, now: Micros, back_at: Micros) {
        if self.up_at <= now {
            (self.fell_at, self.by_order) = (Some(now), false);
        }
        (self.launch, self.up_at) = (self.launch + 1, back_at.max(self.up_at));
    }

    /// Out in a way that counts when another goes out now.
    fn counts(&self, now: Micros, given: Micros) -> bool {
        let excused = |at: Option<Micros>| at.is_some_and(|at| given - at < KNOWN_WITHIN);
        let down = self.up_at > now && !excused(self.fell_at);
        down || self.drained_at.is_some() && !excused(self.drained_at)
    }
}

/// All members.
pub struct Cast {
    pub members: Vec<Member>,
    pub allowance: Allowance,
    pub restart: (Micros, Micros),
    /// When a bank had the permit for a launch of a member in its ledger, as the disks tell.
    pub given: BTreeMap<(u64, Launch), Micros>,
    /// More out than allowed, a primary or a last replica let out, an order followed twice.
    pub breaches: Vec<String>,
    /// Outages by orders, and their time in all.
    pub outages: u64,
    pub away: Micros,
}

impl Cast {
    pub fn new(places: &[Place], allowance: Allowance, restart: (Micros, Micros)) -> Cast {
        let new = |place: &Place| Member {
            place: *place,
            launch: 1,
            version: 1,
            up_at: 0,
            fell_at: None,
            drained_at: None,
            by_order: false,
            primary: !places.iter().any(|other| other.group == place.group && other.id < place.id),
            side: None,
            ended: vec![],
        };
        let (given, breaches, outages, away) = (BTreeMap::new(), vec![], 0, 0);
        Cast { members: places.iter().map(new).collect(), allowance, restart, given, breaches, outages, away }
    }

    /// A member gets an order: it is followed at the launch that it names only.
    pub fn ordered(&mut self, now: Micros, order: &Order, rng: &mut SmallRng) {
        let i = order.id as usize;
        let member = &self.members[i];
        if member.launch != order.launch || order.down && member.up_at <= now {
            return;
        }
        let serves = member.serves(now);
        if member.ended.contains(&order.launch) {
            self.breaches.push(format!("launch {} of {i} ended twice", order.launch));
        }
        let takes = rng.random_range(self.restart.0..self.restart.1);
        let up_at = if order.version == NEVER_READY { Micros::MAX } else { now + takes };
        let member = &mut self.members[i];
        member.ended.push(order.launch);
        (member.launch, member.version, member.up_at) = (order.launch + 1, order.version, up_at);
        if serves {
            (member.fell_at, member.by_order) = (None, true);
            self.outages += 1;
            self.away += takes;
            self.check(now, i);
        }
    }

    fn check(&mut self, now: Micros, i: usize) {
        let it = &self.members[i];
        let Some(given) = self.given.get(&(it.place.id, it.launch - 1)).copied() else {
            return self.breaches.push(format!("{i} went out at {now} by no permit"));
        };
        let others = |keep: &dyn Fn(&Member) -> bool| {
            let others = self.members.iter().enumerate().filter(|(j, other)| *j != i && keep(other));
            others.filter(|(_, other)| other.counts(now, given)).count() as u32
        };
        let counts = [
            ("group", others(&|other| other.place.group == it.place.group), self.allowance.group),
            ("zone", others(&|other| other.place.zone == it.place.zone), self.allowance.zone),
            ("fleet", others(&|_| true), self.allowance.fleet),
        ];
        let mut found: Vec<String> = counts
            .iter()
            .filter(|(_, out, most)| out + 1 > *most)
            .map(|(what, out, most)| format!("{} out of {what} {i} at {now}, {most} allowed", out + 1))
            .collect();
        let kin = |other: &&Member| other.place.group == it.place.group && other.place.id != it.place.id;
        let left = self
            .members
            .iter()
            .filter(kin)
            .filter(|other| !other.counts(now, given) && !other.primary)
            .count();
        if left == 0 {
            found.push(format!("last replica {i} at {now}"));
        }
        if it.primary {
            found.push(format!("primary {i} at {now}"));
        }
        self.breaches.append(&mut found);
    }

    /// Makes another the primary, where this launch of this one is it and a sound replica is there.
    pub fn hand_over(&mut self, now: Micros, id: u64, launch: Launch) {
        let from = &self.members[id as usize];
        let (group, fits) = (from.place.group, from.primary && from.launch == launch);
        let version = from.version;
        let mut able: Vec<usize> = (0..self.members.len())
            .filter(|j| self.members[*j].place.group == group && *j != id as usize)
            .filter(|j| self.members[*j].serves(now))
            .collect();
        // A released one is better: it need not go out again.
        able.sort_by_key(|j| self.members[*j].version == version);
        if let Some(to) = able.first().filter(|_| fits) {
            self.members[*to].primary = true;
            self.members[id as usize].primary = false;
        }
    }

    /// Outages by orders now, as no excuse covers them.
    pub fn out_by_order(&self, now: Micros) -> u32 {
        let out = |m: &&Member| m.up_at > now && m.by_order;
        self.members.iter().filter(out).count() as u32
    }
}
