//! What members are seen to be: each member's agent is asked, and its word is held against what the broker sees. A
//! member is sound where its agent says that it serves, and the broker has it at the same launch, on the list and not
//! suspected. The sight is as old as the older of the two.

use crate::agent::{Call, Status, What};
use crate::{Id, Launch, Micros, Order, Sight, View};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// How often an agent is asked.
const ASK_EVERY: Micros = 500_000;
/// Calls to one agent whose answers are still taken.
const OPEN_MOST: usize = 4;

#[derive(Clone, Debug)]
struct Agent {
    address: SocketAddrV4,
    due: Micros,
    /// Calls that may still be answered, with their times, the newest last.
    open: VecDeque<(u64, Micros)>,
}

/// The agents of all members.
#[derive(Clone, Debug)]
pub struct Agents {
    agents: BTreeMap<Id, Agent>,
    members: BTreeMap<SocketAddrV4, Id>,
    number: u64,
    sends: Vec<(SocketAddrV4, Vec<u8>)>,
    /// Datagrams that were no answer to an open call.
    pub rejected: u64,
}

impl Agents {
    /// The agents' addresses. `first`: a number of this process, so that answers to another are none to it.
    pub fn new(addresses: BTreeMap<Id, SocketAddrV4>, first: u64, now: Micros) -> Agents {
        let members = addresses.iter().map(|(id, address)| (*address, *id)).collect();
        let count = addresses.len().max(1) as Micros;
        // Spread over the pace, so that no moment has all of them.
        let agent = |n: usize, address| Agent {
            address,
            due: now + ASK_EVERY * n as Micros / count,
            open: VecDeque::new(),
        };
        let agents = addresses.into_iter().enumerate().map(|(n, (id, address))| (id, agent(n, address)));
        // JSON of others holds 53 bits.
        Agents { agents: agents.collect(), members, number: first >> 12, sends: Vec::new(), rejected: 0 }
    }

    /// Whose agent has this address.
    pub fn member(&self, address: SocketAddrV4) -> Option<Id> {
        self.members.get(&address).copied()
    }

    fn call(&mut self, now: Micros, id: Id, what: What) {
        let Some(agent) = self.agents.get_mut(&id) else { return };
        self.number += 1;
        if agent.open.len() >= OPEN_MOST {
            agent.open.pop_front();
        }
        agent.open.push_back((self.number, now));
        self.sends.push((agent.address, Call { number: self.number, what }.to_bytes()));
    }

    /// Asks those that are due.
    pub fn tick(&mut self, now: Micros) {
        let due: Vec<Id> =
            self.agents.iter().filter(|(_, agent)| agent.due <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.call(now, id, What::Status);
            self.agents.entry(id).and_modify(|agent| {
                // One that was not asked for a while is not asked for it all at once.
                agent.due = (agent.due + ASK_EVERY).max(now + ASK_EVERY / 2);
            });
        }
    }

    /// Passes an order on.
    pub fn order(&mut self, now: Micros, order: &Order) {
        let Order { id, launch, version, down } = *order;
        self.call(now, id, What::Leave { launch, version, down });
    }

    /// Passes on that a primary's group is to be handed over.
    pub fn hand_over(&mut self, now: Micros, id: Id, launch: Launch) {
        self.call(now, id, What::HandOver { launch });
    }

    /// An agent's datagram: what its member is seen to be by it and the broker's newest view.
    pub fn received(&mut self, id: Id, bytes: &[u8], view: &View) -> Option<Sight> {
        let status = Status::read(bytes);
        let agent = self.agents.get_mut(&id)?;
        let place =
            status.and_then(|status| agent.open.iter().position(|(number, _)| *number == status.number));
        let (Some(status), Some(place)) = (status, place) else {
            self.rejected += 1;
            return None;
        };
        // What was asked before it is older, and must not come after it.
        let (_, asked) = agent.open.drain(..=place).next_back()?;
        let look = view.members.get(&id).filter(|look| look.launch == status.launch);
        Some(Sight {
            launch: status.launch,
            version: status.version,
            down: !status.ready,
            sound: status.ready && look.is_some_and(|look| look.well),
            primary: look.is_some_and(|look| look.primary),
            at: asked.min(view.at),
        })
    }

    /// Datagrams that are to leave.
    pub fn take_sends(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        std::mem::take(&mut self.sends)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Look;

    fn agents() -> Agents {
        let address = |port| SocketAddrV4::new([127, 0, 0, 1].into(), port);
        Agents::new(BTreeMap::from([(1, address(11)), (2, address(12))]), 5 << 12, 0)
    }

    fn asked(agents: &mut Agents) -> Vec<Call> {
        agents.take_sends().iter().filter_map(|(_, bytes)| Call::read(bytes)).collect()
    }

    fn view(at: Micros, launch: Launch, well: bool) -> View {
        View { at, members: BTreeMap::from([(1, Look { launch, well, ..Look::default() })]) }
    }

    fn status(number: u64, launch: Launch, ready: bool) -> Vec<u8> {
        Status { number, launch, version: 6, ready }.to_bytes()
    }

    /// Guards against a member that counts as back on its agent's word alone, or on an old look of the broker.
    #[test]
    fn a_member_is_sound_where_its_agent_and_the_broker_say_so_of_one_launch() {
        let cases = [
            (7, true, view(100, 7, true), true),
            (7, false, view(100, 7, true), false),
            (7, true, view(100, 7, false), false),
            (8, true, view(100, 7, true), false),
            (7, true, view(100, 8, true), false),
            (7, true, View::default(), false),
        ];
        for (launch, ready, view, sound) in cases {
            let mut agents = agents();
            agents.tick(200);
            let number = asked(&mut agents)[0].number;
            let sight = agents.received(1, &status(number, launch, ready), &view).unwrap();
            assert_eq!((sight.sound, sight.launch, sight.at), (sound, launch, view.at), "{view:?}");
        }
    }

    /// Guards against answers of another process, late, doubled or out of order.
    #[test]
    fn an_answer_is_to_an_open_call_and_as_old_as_that() {
        let mut agents = agents();
        agents.tick(0);
        agents.tick(600_000);
        let numbers: Vec<u64> = asked(&mut agents).iter().map(|call| call.number).collect();
        assert_eq!(numbers.len(), 3, "one was asked twice, the other once");
        let now = view(9_000_000, 7, true);
        assert_eq!(agents.received(1, &status(3, 7, true), &now), None, "none of this process's numbers");
        let sight = agents.received(1, &status(numbers[1], 7, true), &now);
        assert_eq!(sight.map(|sight| sight.at), Some(600_000));
        assert_eq!(agents.received(1, &status(numbers[1], 7, true), &now), None, "doubled");
        assert_eq!(agents.received(1, &status(numbers[0], 7, true), &now), None, "older than the last");
        assert_eq!(agents.received(1, b"no status", &now), None);
        assert_eq!(agents.rejected, 4);
        (0..100).for_each(|n| agents.order(n, &Order { id: 1, launch: 7, version: 7, down: false }));
        assert_eq!(agents.agents[&1].open.len(), OPEN_MOST);
    }
}
