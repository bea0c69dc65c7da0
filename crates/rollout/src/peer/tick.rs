//! The periodic work of a proxy: it gossips its rollouts, and leads them if it is the leader.

use super::message::PeerMessage;
use super::{Destination, Effect, RolloutPeer};
use crate::{ControllerAction, Micros, RolloutId};

/// The interval at which a proxy sends its rollouts to one of the others.
const GOSSIP_INTERVAL: Micros = 200_000;
/// The number of heartbeats that the leader sends within the peer timeout.
const HEARTBEATS_PER_TIMEOUT: Micros = 3;

impl RolloutPeer {
    /// Performs the work that is due now.
    pub fn on_tick(&mut self, now: Micros) {
        self.gossip(now);
        self.is_leader = self.election.check_leadership(now);
        if self.is_leader {
            self.send_heartbeats(now);
            self.lead_rollouts(now);
        }
    }

    /// Sends all rollouts to the next proxy in turn, or a heartbeat if there are none.
    fn gossip(&mut self, now: Micros) {
        if now < self.next_gossip_at || self.peers.is_empty() {
            return;
        }
        self.next_gossip_at = now + GOSSIP_INTERVAL;
        self.gossip_round += 1;
        let peer = Destination::Proxy(self.peers[self.gossip_round % self.peers.len()]);
        let rollouts: Vec<PeerMessage> = self.rollouts.iter().cloned().map(PeerMessage::Rollout).collect();
        for message in &rollouts {
            self.send(peer, message);
        }
        if rollouts.is_empty() {
            self.send(peer, &PeerMessage::Heartbeat);
        }
    }

    /// Sends a heartbeat to all other proxies. In a large fleet the gossip rounds are too rare to show
    /// that the leader is alive.
    fn send_heartbeats(&mut self, now: Micros) {
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + self.peer_timeout / HEARTBEATS_PER_TIMEOUT;
        for peer in self.peers.clone() {
            self.send(Destination::Proxy(peer), &PeerMessage::Heartbeat);
        }
    }

    fn lead_rollouts(&mut self, now: Micros) {
        let mut actions = Vec::new();
        for rollout in self.rollouts.iter_mut() {
            let id = rollout.id;
            actions.extend(self.controller.on_tick(now, rollout).into_iter().map(|action| (id, action)));
        }
        for (rollout, action) in actions {
            self.perform(rollout, action);
        }
    }

    fn perform(&mut self, rollout: RolloutId, action: ControllerAction) {
        match action {
            ControllerAction::RequestPermits(server, request) => {
                self.send(Destination::PermitServer(server), &PeerMessage::PermitRequest(request));
            }
            ControllerAction::ReturnPermit(server, returned) => {
                self.send(Destination::PermitServer(server), &PeerMessage::PermitReturn(returned));
            }
            ControllerAction::Restart(order) => self.effects.push(Effect::Restart(order)),
            ControllerAction::HandOver(id, incarnation) => {
                self.effects.push(Effect::HandOver(id, incarnation));
            }
            action => self.effects.push(Effect::Log(rollout, action)),
        }
    }
}
