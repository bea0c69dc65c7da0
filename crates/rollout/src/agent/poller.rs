//! Observes members by polling their agents and comparing the replies with the broker's view. A member is
//! healthy if its agent reports that it serves, and if the broker sees the same incarnation on the
//! endpoint list and does not suspect it. The observation is as old as the older of the two sources.

use super::protocol::{AgentCommand, AgentRequest, AgentStatus};
use crate::{FleetView, Incarnation, Micros, NodeId, NodeObservation, RestartOrder};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// The interval between polls of an agent.
const POLL_INTERVAL: Micros = 500_000;
/// A request whose reply is still accepted.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    sequence: u64,
    sent_at: Micros,
}

#[derive(Clone, Debug)]
struct Agent {
    address: SocketAddrV4,
    next_poll_at: Micros,
    /// Ordered from the oldest to the newest.
    pending: VecDeque<PendingRequest>,
}

/// Polls the agents of all members, and forwards orders to them.
#[derive(Clone, Debug)]
pub struct AgentPoller {
    agents: BTreeMap<NodeId, Agent>,
    members_by_address: BTreeMap<SocketAddrV4, NodeId>,
    last_sequence: u64,
    outbox: Vec<(SocketAddrV4, Vec<u8>)>,
    /// The number of datagrams that did not answer a pending request.
    pub rejected: u64,
}

impl AgentPoller {
    /// The number of requests to one agent whose replies are still accepted.
    pub const MAX_PENDING: usize = 4;

    /// Creates a poller of the agents at these addresses. `process` is a number that no other process
    /// has, so that replies to another process's requests do not match requests of this one.
    pub fn new(addresses: BTreeMap<NodeId, SocketAddrV4>, process: u64, now: Micros) -> AgentPoller {
        let members_by_address = addresses.iter().map(|(id, address)| (*address, *id)).collect();
        let count = addresses.len().max(1) as Micros;
        // Spreads the polls over the interval.
        let agent = |index: usize, address| Agent {
            address,
            next_poll_at: now + POLL_INTERVAL * index as Micros / count,
            pending: VecDeque::new(),
        };
        let agents = addresses
            .into_iter()
            .enumerate()
            .map(|(index, (id, address))| (id, agent(index, address)))
            .collect();
        AgentPoller {
            agents,
            members_by_address,
            // The JSON numbers of other programs hold 53 bits.
            last_sequence: process >> 12,
            outbox: Vec::new(),
            rejected: 0,
        }
    }

    /// Returns the member whose agent has this address.
    pub fn member_at(&self, address: SocketAddrV4) -> Option<NodeId> {
        self.members_by_address.get(&address).copied()
    }

    /// Returns the number of requests to a member's agent whose replies are still accepted.
    pub fn pending_requests(&self, id: NodeId) -> usize {
        self.agents.get(&id).map_or(0, |agent| agent.pending.len())
    }

    fn send(&mut self, now: Micros, id: NodeId, command: AgentCommand) {
        let Some(agent) = self.agents.get_mut(&id) else { return };
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        if agent.pending.len() >= Self::MAX_PENDING {
            agent.pending.pop_front();
        }
        agent.pending.push_back(PendingRequest { sequence, sent_at: now });
        self.outbox.push((agent.address, AgentRequest { sequence, command }.to_bytes()));
    }

    /// Polls the agents that are due.
    pub fn on_tick(&mut self, now: Micros) {
        let due: Vec<NodeId> =
            self.agents.iter().filter(|(_, agent)| agent.next_poll_at <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.send(now, id, AgentCommand::Status);
            if let Some(agent) = self.agents.get_mut(&id) {
                // Polls that were missed while the process was paused are not all sent at once.
                agent.next_poll_at = (agent.next_poll_at + POLL_INTERVAL).max(now + POLL_INTERVAL / 2);
            }
        }
    }

    /// Forwards a restart order to the member's agent.
    pub fn restart(&mut self, now: Micros, order: &RestartOrder) {
        let RestartOrder { id, incarnation, version, only_if_down } = *order;
        self.send(now, id, AgentCommand::Restart { incarnation, version, only_if_down });
    }

    /// Forwards the order to hand over the group of a primary.
    pub fn hand_over(&mut self, now: Micros, id: NodeId, incarnation: Incarnation) {
        self.send(now, id, AgentCommand::HandOver { incarnation });
    }

    /// Handles an agent's datagram. If it answers a pending request, returns the observation that follows
    /// from it and from the broker's newest view.
    pub fn on_datagram(&mut self, id: NodeId, bytes: &[u8], view: &FleetView) -> Option<NodeObservation> {
        let agent = self.agents.get_mut(&id)?;
        let Some((status, sent_at)) = agent.match_reply(bytes) else {
            self.rejected += 1;
            return None;
        };
        let member = view.members.get(&id).filter(|member| member.incarnation == status.incarnation);
        Some(NodeObservation {
            incarnation: status.incarnation,
            version: status.version,
            down: !status.ready,
            healthy: status.ready && member.is_some_and(|member| member.healthy),
            primary: member.is_some_and(|member| member.primary),
            at: sent_at.min(view.at),
        })
    }

    /// Removes and returns the datagrams to be sent.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        std::mem::take(&mut self.outbox)
    }
}

impl Agent {
    /// Decodes a reply to a pending request, and returns it with the time of that request. Earlier
    /// requests are removed, so that their replies are not accepted after this one.
    fn match_reply(&mut self, bytes: &[u8]) -> Option<(AgentStatus, Micros)> {
        let status = AgentStatus::from_bytes(bytes).ok()?;
        let position = self.pending.iter().position(|request| request.sequence == status.sequence)?;
        let request = self.pending.drain(..=position).next_back()?;
        Some((status, request.sent_at))
    }
}
