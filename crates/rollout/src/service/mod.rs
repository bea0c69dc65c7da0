//! The complete rollout service of one proxy, for a caller that provides a socket, a file and a clock. It
//! takes the broker's views, datagrams and operators' commands, and returns datagrams, the ledger and log
//! events.

mod event;
pub mod status;

pub use event::{CommandFailure, ServiceEvent};

use crate::{
    AgentPoller, AttemptCounter, ControllerAction, Destination, Effect, FleetView, Inventory, Micros, NodeId,
    OperatorCommand, OutageCause, PeerIdentity, PermitLedger, PhaseRevision, RolloutConfig, RolloutId,
    RolloutPeer,
};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The maximum number of characters of a command that the status and the log show.
const MAX_SHOWN_CHARACTERS: usize = 80;

/// A datagram to send, and its destination.
pub type OutgoingDatagram = (SocketAddrV4, Vec<u8>);

/// The configuration of a service.
#[derive(Clone, Debug)]
pub struct ServiceSetup {
    /// The identity of this proxy.
    pub identity: PeerIdentity,
    /// The nodes and their disruption budget.
    pub inventory: Inventory,
    /// The timing and policy settings.
    pub config: RolloutConfig,
    /// The addresses of the proxies, by rank from 1.
    pub proxies: Vec<SocketAddrV4>,
    /// The addresses of the members' agents.
    pub agents: BTreeMap<NodeId, SocketAddrV4>,
}

/// The rollout service of one proxy.
pub struct RolloutService {
    peer: RolloutPeer,
    agents: AgentPoller,
    counter: AttemptCounter,
    view: FleetView,
    proxies: Vec<SocketAddrV4>,
    rank: u64,
    /// Whether the permit server was last reported as open. `None` if this proxy is not a permit server.
    reported_open: Option<bool>,
    reported_leader: bool,
    /// The phases that were reported last. The map is bounded by the number of stored rollouts.
    reported_phases: BTreeMap<RolloutId, PhaseRevision>,
    events: Vec<ServiceEvent>,
    /// The last command and its result, for the status.
    last_answer: String,
    /// The number of datagrams from unknown proxies or without a rank.
    pub rejected: u64,
}

impl RolloutService {
    /// Creates the service of a process that has just started. `ledger` is the permit server's ledger as
    /// read from its file.
    pub fn new(setup: ServiceSetup, ledger: Option<PermitLedger>, now: Micros) -> RolloutService {
        let ServiceSetup { identity, inventory, config, proxies, agents } = setup;
        let mut peer = RolloutPeer::new(identity, inventory, config, ledger, now);
        peer.set_peers((1..=proxies.len() as u64).filter(|rank| *rank != identity.rank).collect());
        RolloutService {
            peer,
            agents: AgentPoller::new(agents, identity.process, now),
            counter: AttemptCounter::default(),
            view: FleetView::default(),
            proxies,
            rank: identity.rank,
            reported_open: None,
            reported_leader: false,
            reported_phases: BTreeMap::new(),
            events: Vec::new(),
            last_answer: String::from("-"),
            rejected: 0,
        }
    }

    /// Handles the broker's current view of the members. If this proxy is a permit server, drains by
    /// service discovery and cordons at this proxy count as causes of outages. A member that is not on
    /// the endpoint list is not healthy.
    pub fn on_view(&mut self, view: FleetView) {
        self.peer.set_outages(OutageCause::Drain, &view.members_where(|member| member.draining));
        self.peer.set_outages(OutageCause::Cordon, &view.members_where(|member| member.cordoned));
        self.peer.set_primaries(view.members_where(|member| member.primary));
        for (rollout, counts) in self.counter.count(self.rank, &view, self.peer.rollouts().iter()) {
            self.peer.record_counts(rollout, &counts);
        }
        self.view = view;
    }

    /// Handles a datagram. If the sender's address is an agent's, the datagram is an agent's reply;
    /// otherwise it is a proxy's message, which starts with the sender's rank.
    pub fn on_datagram(&mut self, now: Micros, from: SocketAddrV4, bytes: &[u8]) {
        if let Some(id) = self.agents.member_at(from) {
            if let Some(observation) = self.agents.on_datagram(id, bytes, &self.view) {
                self.peer.on_observation(now, id, observation);
            }
            return;
        }
        match self.split_rank(bytes) {
            Some((rank, message)) => self.peer.on_message(now, rank, message),
            None => self.rejected += 1,
        }
    }

    /// Splits a proxy's datagram into the sender's rank and the message.
    fn split_rank<'a>(&self, bytes: &'a [u8]) -> Option<(u64, &'a [u8])> {
        let (rank, message) = bytes.split_first_chunk::<4>()?;
        let rank = u64::from(u32::from_be_bytes(*rank));
        let is_known = (1..=self.proxies.len() as u64).contains(&rank);
        is_known.then_some((rank, message))
    }

    /// Applies an operator's command, as read from the signal file.
    pub fn on_command(&mut self, now_ms: u64, text: &str) {
        let shown: String = text.trim().chars().take(MAX_SHOWN_CHARACTERS).collect();
        let result = self.parse_and_apply(now_ms, text);
        self.last_answer = match &result {
            Ok(rollout) => format!("yes word=\"{shown}\" release={}", status::rollout_name(*rollout)),
            Err(failure) => format!("no word=\"{shown}\" what=\"{failure}\""),
        };
        self.events.push(ServiceEvent::Command { text: shown, result });
    }

    fn parse_and_apply(&mut self, now_ms: u64, text: &str) -> Result<RolloutId, CommandFailure> {
        let command: OperatorCommand = text.parse()?;
        Ok(self.peer.apply_command(now_ms, &command)?)
    }

    /// Performs the work that is due now.
    pub fn on_tick(&mut self, now: Micros) {
        self.peer.on_tick(now);
        if self.peer.needs_observations() {
            self.agents.on_tick(now);
        }
        for effect in self.peer.take_effects() {
            self.perform(now, effect);
        }
        self.report_phases();
        self.report_roles();
    }

    fn perform(&mut self, now: Micros, effect: Effect) {
        match effect {
            Effect::Restart(order) => self.agents.restart(now, &order),
            Effect::HandOver(id, incarnation) => self.agents.hand_over(now, id, incarnation),
            // Each proxy that knows the rollout reports the phase change itself.
            Effect::Log(_, ControllerAction::PhaseChanged(_)) => {}
            Effect::Log(rollout, action) => self.events.push(ServiceEvent::Action(rollout, action)),
        }
    }

    /// Reports the phases that have changed.
    fn report_phases(&mut self) {
        let current: BTreeMap<RolloutId, PhaseRevision> =
            self.peer.rollouts().iter().map(|rollout| (rollout.id, rollout.phase_revision)).collect();
        for (rollout, revision) in &current {
            if self.reported_phases.get(rollout) != Some(revision) {
                let action = ControllerAction::PhaseChanged(revision.phase);
                self.events.push(ServiceEvent::Action(*rollout, action));
            }
        }
        self.reported_phases = current;
    }

    /// Reports whether this proxy leads and whether its permit server is open, if that has changed.
    fn report_roles(&mut self) {
        let is_open = self.peer.is_permit_server().then(|| !self.peer.is_permit_server_closed());
        let is_leader = self.peer.is_leader();
        if let Some(open) = is_open.filter(|_| is_open != self.reported_open) {
            self.events.push(ServiceEvent::PermitServerOpen(open));
        }
        if is_leader != self.reported_leader {
            self.events.push(ServiceEvent::Leader(is_leader));
        }
        self.reported_open = is_open;
        self.reported_leader = is_leader;
    }

    /// Removes and returns the datagrams to be sent. Messages to this proxy itself are handled
    /// immediately.
    pub fn take_datagrams(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        let mut datagrams = Vec::new();
        loop {
            let messages = self.peer.take_outbox();
            if messages.is_empty() {
                break;
            }
            for (to, bytes) in messages {
                let rank = rank_of(to);
                if rank == self.rank {
                    self.peer.on_message(now, rank, &bytes);
                } else if let Some(address) = self.proxies.get(rank as usize - 1) {
                    let sender = (self.rank as u32).to_be_bytes();
                    datagrams.push((*address, [&sender, &bytes[..]].concat()));
                }
            }
        }
        datagrams.extend(self.agents.take_outbox());
        datagrams
    }

    /// Removes and returns the events to be logged.
    pub fn take_events(&mut self) -> Vec<ServiceEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the permit server's ledger if it has to be written to disk before responses are sent.
    pub fn ledger_to_store(&self) -> Option<&PermitLedger> {
        self.peer.ledger_to_store()
    }

    /// Records that the ledger is on disk up to this revision.
    pub fn on_ledger_stored(&mut self, revision: u64) {
        self.peer.on_ledger_stored(revision);
    }

    /// Returns whether this proxy's permit server waits for a ledger.
    pub fn is_permit_server_closed(&self) -> bool {
        self.peer.is_permit_server_closed()
    }

    /// Opens the permit server with the ledger that an operator provided.
    pub fn open_permit_server(&mut self, ledger: PermitLedger) {
        self.peer.open_permit_server(ledger);
    }
}

/// Returns the rank of the proxy to which a message is sent. The permit servers are the proxies with the
/// lowest ranks.
fn rank_of(destination: Destination) -> u64 {
    match destination {
        Destination::PermitServer(server) => u64::from(server) + 1,
        Destination::Proxy(rank) => rank,
    }
}
