//! The wire between proxies and members, and what comes off it.

use crate::cast::MS;
use crate::cast::S;
use crate::world::{Message, To, World};
use rand::Rng;
use wharfplank_rollout::{Cause, Id, Micros};

impl World {
    fn reached(&self, proxy: usize, to: To) -> bool {
        let side = self.proxies[proxy].side;
        match to {
            To::Proxy(i) => self.proxies[i].side == side,
            To::Member(id) => self.cast.members[id as usize].side.is_none_or(|its| its == side),
        }
    }

    /// Puts a message on the wire between a proxy and another, or a member.
    pub fn put(&mut self, proxy: usize, to: To, message: Message) {
        if !self.reached(proxy, to) || self.rng.random::<f64>() < self.loss {
            return;
        }
        let most = if self.loss > 0.0 { 300 * MS } else { 20 * MS };
        let copies = if self.rng.random::<f64>() < self.loss { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.rng.random_range(MS..most);
            self.fly(at, proxy, to, message.clone());
        }
        let kept = !matches!(message, Message::Probe(..) | Message::Drains(..));
        if kept && self.rng.random::<f64>() < self.hour_late {
            self.fly(self.now + 3_600 * S, proxy, to, message);
        }
    }

    fn fly(&mut self, at: Micros, proxy: usize, to: To, message: Message) {
        self.sent += 1;
        self.flying.insert((at, self.sent), (proxy, to, message));
    }

    pub fn deliver(&mut self, from: usize, to: To, message: Message) {
        let i = match to {
            To::Member(id) => return self.at_member(from, id, message),
            To::Proxy(i) => i,
        };
        let (now, clock) = (self.now, self.clock(i));
        let proxy = &mut self.proxies[i];
        if !proxy.alive {
            return;
        }
        if proxy.paused_until > now {
            let at = proxy.paused_until;
            return self.fly(at, from, to, message);
        }
        match message {
            Message::Sight(id, sight) => proxy.station.seen(clock, id, sight),
            Message::Station(bytes) => proxy.station.received(clock, from as u64 + 1, &bytes),
            Message::Drains(index, drained) if index > proxy.heard => {
                proxy.heard = index;
                proxy.station.told(Cause::Drain, &drained);
            }
            _ => {}
        }
    }

    fn at_member(&mut self, from: usize, id: Id, message: Message) {
        match message {
            Message::Probe(at) => {
                let sight = self.cast.members[id as usize].sight(self.now, at);
                self.put(from, To::Member(id), Message::Sight(id, sight));
            }
            // The way back of a probe: the wire is the same, so the loss is drawn twice.
            Message::Sight(..) => self.deliver(from, To::Proxy(from), message),
            Message::Order(order) => self.cast.ordered(self.now, &order, &mut self.rng),
            Message::HandOver(id, launch) => self.cast.hand_over(self.now, id, launch),
            _ => {}
        }
    }
}
