//! The state of the model: the real bank, drivers that keep its rules, members, and what is on the way.

use std::collections::{BTreeMap, BTreeSet};
use wharfplank_rollout::{
    Allowance, Answer, Ask, Bank, Id, Kind, Launch, Ledger, Micros, Order, Permit, Place, PlanId, Return,
    Roster, Sight, Terms,
};

pub const MEMBERS: usize = 2;
pub const DRIVERS: usize = 2;
pub const PLAN: PlanId = PlanId { started_ms: 1, by: 1 };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Flying {
    Ask(Ask),
    Answer(Answer),
    Order(Order),
    Return(Return),
    Sight(Id, Sight),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub launch: Launch,
    pub up: bool,
    /// Whether it served when an order took it out.
    pub by_order: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Driver {
    pub asked: u64,
    pub answered: u64,
    pub permits: BTreeMap<Id, Permit>,
    pub ordered: BTreeSet<u64>,
    pub returned: BTreeMap<Id, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub bank: Bank,
    pub drivers: Vec<Driver>,
    pub members: Vec<Member>,
    pub flying: Vec<Flying>,
    pub asks: u32,
    pub looks: Micros,
    pub faults: u32,
    pub falls: u32,
    pub restarts: u32,
    pub returns: u32,
}

pub fn roster() -> Roster {
    let place = |id| Place { id, group: id as u32, zone: 0, kind: Kind::Proxy };
    let allowance = Allowance { group: 1, zone: 1, fleet: 1, banks: 1 };
    Roster::new((0..MEMBERS as Id).map(place).collect(), allowance)
}

pub fn bank(ledger: Option<Ledger>) -> Bank {
    Bank::new(0, roster(), Terms::default(), ledger)
}

impl State {
    pub fn deliver(&mut self, flying: &Flying) {
        match flying {
            Flying::Ask(ask) => {
                let answer = self.bank.asked(self.looks, ask);
                self.flying.extend(answer.map(Flying::Answer));
            }
            Flying::Answer(answer) => {
                let driver = &mut self.drivers[answer.holder as usize];
                if answer.ask > driver.answered {
                    driver.answered = answer.ask;
                    let returned = &driver.returned;
                    let new = |permit: &&Permit| {
                        permit.shared || returned.get(&permit.id).is_none_or(|n| permit.number > *n)
                    };
                    driver.permits =
                        answer.held.iter().filter(new).map(|permit| (permit.id, *permit)).collect();
                }
            }
            Flying::Order(order) => {
                let member = &mut self.members[order.id as usize];
                if member.launch == order.launch && !(order.down && member.up) {
                    *member = Member {
                        launch: order.launch + 1,
                        up: false,
                        by_order: member.up || member.by_order,
                    };
                }
            }
            Flying::Return(back) => self.bank.returned(back),
            Flying::Sight(id, sight) => self.bank.seen(self.looks, *id, *sight),
        }
    }

    pub fn out_by_order(&self) -> usize {
        self.members.iter().filter(|member| !member.up && member.by_order).count()
    }
}
