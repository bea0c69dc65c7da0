//! The actual state of the members, and a checker that counts the members out of service whenever an
//! order takes down one more.

use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::BTreeMap;
use wharfplank_rollout::{
    DisruptionBudget, Incarnation, Micros, Node, NodeId, NodeObservation, RestartOrder, Version,
};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MS;
/// The time in which a permit server need not know of a failure or a drain by service discovery. One that
/// began less than this before a permit was granted, or later, is not counted as a violation, since an
/// order that was sent can't be revoked.
const DETECTION_TIME: Micros = 4 * SECOND;

/// A version that is never ready, and a version that fails many attempts under load.
pub const NEVER_READY: Version = 66;
pub const BAD_UNDER_LOAD: Version = 77;

#[derive(Clone, Debug)]
pub struct Member {
    pub node: Node,
    pub incarnation: Incarnation,
    pub version: Version,
    /// The time from which it serves.
    pub up_at: Micros,
    /// The time since which it is out of service without an order.
    pub crashed_at: Option<Micros>,
    /// The time since which service discovery has been draining it.
    pub drained_at: Option<Micros>,
    /// Whether it served when an order ended its incarnation.
    pub out_by_order: bool,
    pub primary: bool,
    /// The side of a network partition that it is on. `None` if all proxies reach it.
    pub side: Option<bool>,
    /// The incarnations of this member that an order ended.
    pub ended: Vec<Incarnation>,
}

impl Member {
    fn new(node: Node, primary: bool) -> Member {
        Member {
            node,
            incarnation: 1,
            version: 1,
            up_at: 0,
            crashed_at: None,
            drained_at: None,
            out_by_order: false,
            primary,
            side: None,
            ended: vec![],
        }
    }

    pub fn serves(&self, now: Micros) -> bool {
        self.up_at <= now && self.drained_at.is_none()
    }

    /// Returns the observation of the member now, for a poll that was sent at `at`.
    pub fn observe(&self, now: Micros, at: Micros) -> NodeObservation {
        let is_up = self.up_at <= now;
        NodeObservation {
            incarnation: self.incarnation,
            version: self.version,
            healthy: is_up,
            down: !is_up,
            primary: self.primary,
            at,
        }
    }

    pub fn crash(&mut self, now: Micros, back_at: Micros) {
        if self.up_at <= now {
            self.crashed_at = Some(now);
            self.out_by_order = false;
        }
        self.incarnation += 1;
        self.up_at = back_at.max(self.up_at);
    }

    /// Returns whether the member counts as out of service when another member is taken out now, under a
    /// permit that was granted at `granted_at`.
    fn counts_as_out(&self, now: Micros, granted_at: Micros) -> bool {
        let is_undetected = |at: Option<Micros>| at.is_some_and(|at| granted_at - at < DETECTION_TIME);
        let is_down = self.up_at > now && !is_undetected(self.crashed_at);
        is_down || self.drained_at.is_some() && !is_undetected(self.drained_at)
    }
}

/// The members, and the checker of the disruption budget.
pub struct Fleet {
    pub members: Vec<Member>,
    pub budget: DisruptionBudget,
    /// The shortest and the longest time of a restart.
    pub restart_time: (Micros, Micros),
    /// The time at which the permit for an incarnation of a member was first stored in a server's ledger.
    pub granted_at: BTreeMap<(NodeId, Incarnation), Micros>,
    /// The violations: more members out of service than the budget allows, a primary or a last replica
    /// taken down, or an order followed twice.
    pub violations: Vec<String>,
    /// The number of outages by orders, and their total duration.
    pub outages: u64,
    pub outage_time: Micros,
}

impl Fleet {
    pub fn new(nodes: &[Node], budget: DisruptionBudget, restart_time: (Micros, Micros)) -> Fleet {
        let is_first_of_group =
            |node: &Node| !nodes.iter().any(|other| other.group == node.group && other.id < node.id);
        Fleet {
            members: nodes.iter().map(|node| Member::new(*node, is_first_of_group(node))).collect(),
            budget,
            restart_time,
            granted_at: BTreeMap::new(),
            violations: vec![],
            outages: 0,
            outage_time: 0,
        }
    }

    /// Delivers an order to a member. It has an effect only at the incarnation that it names.
    pub fn on_order(&mut self, now: Micros, order: &RestartOrder, rng: &mut SmallRng) {
        let index = order.id as usize;
        let member = &self.members[index];
        if member.incarnation != order.incarnation || order.only_if_down && member.up_at <= now {
            return;
        }
        let served = member.serves(now);
        if member.ended.contains(&order.incarnation) {
            self.violations.push(format!("incarnation {} of {index} ended twice", order.incarnation));
        }
        let restart_time = rng.random_range(self.restart_time.0..self.restart_time.1);
        let member = &mut self.members[index];
        member.ended.push(order.incarnation);
        member.incarnation = order.incarnation + 1;
        member.version = order.version;
        member.up_at = if order.version == NEVER_READY { Micros::MAX } else { now + restart_time };
        if served {
            member.crashed_at = None;
            member.out_by_order = true;
            self.outages += 1;
            self.outage_time += restart_time;
            self.check(now, index);
        }
    }

    /// Checks the rules after an order has taken a member down.
    fn check(&mut self, now: Micros, index: usize) {
        let member = &self.members[index];
        let permit = (member.node.id, member.incarnation - 1);
        let Some(granted_at) = self.granted_at.get(&permit).copied() else {
            return self.violations.push(format!("{index} was taken down at {now} without a permit"));
        };
        let mut found = self.budget_violations(now, index, granted_at);
        let in_group =
            |other: &Member| other.node.group == member.node.group && other.node.id != member.node.id;
        let is_replica_left =
            |other: &Member| in_group(other) && !other.counts_as_out(now, granted_at) && !other.primary;
        if !self.members.iter().any(is_replica_left) {
            found.push(format!("last replica {index} was taken down at {now}"));
        }
        if member.primary {
            found.push(format!("primary {index} was taken down at {now}"));
        }
        self.violations.append(&mut found);
    }

    fn budget_violations(&self, now: Micros, index: usize, granted_at: Micros) -> Vec<String> {
        let node = self.members[index].node;
        let others_out = |applies: &dyn Fn(&Member) -> bool| {
            let others =
                self.members.iter().enumerate().filter(|(other, member)| *other != index && applies(member));
            others.filter(|(_, member)| member.counts_as_out(now, granted_at)).count() as u32
        };
        let counts = [
            ("group", others_out(&|other| other.node.group == node.group), self.budget.per_group),
            ("zone", others_out(&|other| other.node.zone == node.zone), self.budget.per_zone),
            ("fleet", others_out(&|_| true), self.budget.fleet),
        ];
        counts
            .iter()
            .filter(|(_, out, budget)| out + 1 > *budget)
            .map(|(scope, out, budget)| {
                format!("{} out of service in the {scope} of {index} at {now}, {budget} allowed", out + 1)
            })
            .collect()
    }

    /// Makes another member the primary if this incarnation of this member is the primary and a healthy
    /// replica exists.
    pub fn hand_over(&mut self, now: Micros, id: NodeId, incarnation: Incarnation) {
        let old = &self.members[id as usize];
        if !old.primary || old.incarnation != incarnation {
            return;
        }
        let (group, version) = (old.node.group, old.version);
        let can_take_over = |index: &usize| {
            let member = &self.members[*index];
            member.node.group == group && *index != id as usize && member.serves(now)
        };
        // An upgraded replica is preferred, since it need not be restarted again.
        let successor = (0..self.members.len())
            .filter(can_take_over)
            .min_by_key(|index| self.members[*index].version == version);
        if let Some(new) = successor {
            self.members[new].primary = true;
            self.members[id as usize].primary = false;
        }
    }

    /// Returns the number of members that are out of service by orders now.
    pub fn out_by_order(&self, now: Micros) -> u32 {
        self.members.iter().filter(|member| member.up_at > now && member.out_by_order).count() as u32
    }
}
