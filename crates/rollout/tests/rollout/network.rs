//! The network between proxies and members, and the delivery of its messages.

use crate::fleet::{MS, SECOND};
use crate::simulation::{InFlight, Message, Recipient, Simulation};
use rand::Rng;
use wharfplank_rollout::{Micros, NodeId, OutageCause};

impl Simulation {
    fn is_reachable(&self, proxy: usize, to: Recipient) -> bool {
        let side = self.proxies[proxy].side;
        match to {
            Recipient::Proxy(index) => self.proxies[index].side == side,
            Recipient::Member(id) => self.fleet.members[id as usize].side.is_none_or(|its| its == side),
        }
    }

    /// Sends a message between a proxy and another proxy or a member.
    pub fn send(&mut self, proxy: usize, to: Recipient, message: Message) {
        if !self.is_reachable(proxy, to) || self.rng.random::<f64>() < self.loss {
            return;
        }
        let longest_delay = if self.loss > 0.0 { 300 * MS } else { 20 * MS };
        let copies = if self.rng.random::<f64>() < self.loss { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.rng.random_range(MS..longest_delay);
            self.deliver_at(at, proxy, to, message.clone());
        }
        let may_be_delayed = !matches!(message, Message::Poll(..) | Message::Drains(..));
        if may_be_delayed && self.rng.random::<f64>() < self.hour_delay_probability {
            self.deliver_at(self.now + 3_600 * SECOND, proxy, to, message);
        }
    }

    fn deliver_at(&mut self, at: Micros, proxy: usize, to: Recipient, message: Message) {
        self.sent += 1;
        self.in_flight.insert((at, self.sent), InFlight { proxy, to, message });
    }

    pub fn deliver(&mut self, from: usize, to: Recipient, message: Message) {
        match to {
            Recipient::Member(id) => self.deliver_to_member(from, id, message),
            Recipient::Proxy(index) => self.deliver_to_proxy(from, index, message),
        }
    }

    fn deliver_to_proxy(&mut self, from: usize, index: usize, message: Message) {
        let clock = self.clock(index);
        let proxy = &mut self.proxies[index];
        if !proxy.alive {
            return;
        }
        if proxy.paused_until > self.now {
            let at = proxy.paused_until;
            return self.deliver_at(at, from, Recipient::Proxy(index), message);
        }
        match message {
            Message::Observation(id, observation) => proxy.peer.on_observation(clock, id, observation),
            Message::Peer(bytes) => proxy.peer.on_message(clock, from as u64 + 1, &bytes),
            Message::Drains(number, drained) if number > proxy.last_drains => {
                proxy.last_drains = number;
                proxy.peer.set_outages(OutageCause::Drain, &drained);
            }
            _ => {}
        }
    }

    fn deliver_to_member(&mut self, from: usize, id: NodeId, message: Message) {
        match message {
            Message::Poll(at) => {
                let observation = self.fleet.members[id as usize].observe(self.now, at);
                self.send(from, Recipient::Member(id), Message::Observation(id, observation));
            }
            // The reply to a poll. Loss is drawn a second time, since the reply passes through the same
            // network.
            Message::Observation(..) => self.deliver(from, Recipient::Proxy(from), message),
            Message::Order(order) => self.fleet.on_order(self.now, &order, &mut self.rng),
            Message::HandOver(id, incarnation) => self.fleet.hand_over(self.now, id, incarnation),
            _ => {}
        }
    }
}
