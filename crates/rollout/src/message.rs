//! What goes between stations, and from a station to its driver.

use crate::{Action, Answer, Ask, Id, Launch, Order, Plan, PlanId, Return};
use serde::{Deserialize, Serialize};

/// Where a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// The proxy that is this bank.
    Bank(u32),
    /// The proxy with this rank.
    Proxy(u64),
}

/// What goes between proxies.
#[derive(Serialize, Deserialize)]
pub(crate) enum Message {
    Ask(Ask),
    Answer(u32, Answer),
    Return(Return),
    Plan(Plan),
    /// Nothing but that it is there.
    Here,
}

/// What a station asks its driver to do at members, and what it tells the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deed {
    /// Pass on an order.
    Order(Order),
    /// Hand over the group of this primary, at this launch of it.
    HandOver(Id, Launch),
    /// For the log: what was done in a release.
    Did(PlanId, Action),
}

/// Who a station is.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Among proxies: the least that is heard drives. Above 0.
    pub rank: u64,
    /// Of this process: no other has it, nor had.
    pub number: u64,
    /// Which bank it is.
    pub bank: Option<u32>,
}
