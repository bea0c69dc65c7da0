//! The loop of the gossip worker.

use super::handle::Observation;
use super::{GossipLogEvent, GossipUpdate, GossipWorker, StallDetector};
use crate::worker::{RingReceiver, RingSender};
use async_io::{Async, Timer};
use futures_lite::future;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use wharfplank_failover::MemberOutcome;
use wharfplank_gossip::Datagram;
use wharfplank_routing::Micros;
use wharfplank_shared_state::{Frame, FRAME_OVERHEAD};

/// How often the traffic is logged.
const TRAFFIC_LOG_INTERVAL: Micros = 5_000_000;
/// How often a changed digest of the shared state is logged.
const DIGEST_LOG_INTERVAL: Micros = 1_000_000;
/// How often a snapshot of the shared state is saved.
const SNAPSHOT_INTERVAL: Micros = 5_000_000;
/// The largest datagram that a rumour is put on.
const MAX_PIGGYBACK_BYTES: usize = 1400;
/// State updates wait in their own bounded table while fewer slots than this are free in the ring: shares and factors
/// go first.
const RESERVED_SLOTS: usize = 64;
/// Datagrams that are read in one turn: reading several costs less, and the rest of the turn must not starve.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// The size of the read buffer, which holds any datagram.
const DATAGRAM_BUFFER_BYTES: usize = 65_536;
/// The longest wait for a timer.
const MAX_WAIT: Micros = 1_000_000;

/// The worker in its loop.
pub(super) struct Driver {
    pub(super) worker: GossipWorker,
    pub(super) updates: RingSender<GossipUpdate>,
    /// The shares that were reported to the broker last.
    pub(super) reported_shares: BTreeMap<String, f64>,
    next_traffic_log_at: Micros,
    logged_digest: u64,
    next_digest_at: Micros,
    next_snapshot_at: Micros,
}

/// Why the loop continues after a wait.
enum Wakeup {
    Datagram { length: usize, from: SocketAddr },
    Observation(Observation),
    TimerExpired,
    HandleDropped,
}

/// Runs until the broker's side is dropped.
pub(super) async fn run(
    worker: GossipWorker,
    socket: UdpSocket,
    mut observations: RingReceiver<Observation>,
    updates: RingSender<GossipUpdate>,
    stall_detector: Arc<StallDetector>,
) {
    // Without a socket in the reactor nothing is received: this proxy then decides alone.
    let Ok(socket) = Async::new(socket) else { return };
    let now = (worker.now)();
    let mut driver = Driver::new(worker, updates, now);
    driver.start(now);
    let mut buffer = vec![0_u8; DATAGRAM_BUFFER_BYTES];
    loop {
        let wakeup = driver.wait(&socket, &mut buffer, &mut observations).await;
        let now = driver.now();
        stall_detector.record_turn(now);
        match wakeup {
            Wakeup::Datagram { length, from } => {
                driver.on_datagram(now, from, &buffer[..length]);
                driver.receive_more(now, &socket, &mut buffer);
            }
            Wakeup::Observation(observation) => driver.on_observation(now, observation),
            Wakeup::TimerExpired => {}
            Wakeup::HandleDropped => {
                driver.worker.membership.leave();
                driver.send_datagrams(now, &socket).await;
                return;
            }
        }
        while let Some(observation) = observations.try_recv() {
            driver.on_observation(now, observation);
        }
        driver.on_turn(now, observations.dropped());
        driver.send_datagrams(now, &socket).await;
    }
}

impl Driver {
    fn new(worker: GossipWorker, updates: RingSender<GossipUpdate>, now: Micros) -> Driver {
        Driver {
            worker,
            updates,
            reported_shares: BTreeMap::new(),
            next_traffic_log_at: now + TRAFFIC_LOG_INTERVAL,
            logged_digest: 0,
            next_digest_at: now,
            next_snapshot_at: now + SNAPSHOT_INTERVAL,
        }
    }

    fn now(&self) -> Micros {
        (self.worker.now)()
    }

    /// Announces this proxy to its seeds.
    fn start(&mut self, now: Micros) {
        (self.worker.log)(GossipLogEvent::Started(self.worker.membership.local_peer()));
        // The router learns at once that zones are decided in common: near members win among ties from now on.
        self.updates.send(GossipUpdate::ZoneShares(Vec::new()));
        self.worker.membership.join(&self.worker.seeds, now);
    }

    /// Waits for a datagram, an observation or the next timer.
    async fn wait(
        &self,
        socket: &Async<UdpSocket>,
        buffer: &mut [u8],
        observations: &mut RingReceiver<Observation>,
    ) -> Wakeup {
        let wait = (self.next_due() - self.now()).clamp(0, MAX_WAIT);
        let timer = async {
            Timer::after(Duration::from_micros(wait as u64)).await;
            Wakeup::TimerExpired
        };
        let datagram = async {
            match socket.recv_from(buffer).await {
                Ok((length, from)) => Wakeup::Datagram { length, from },
                // An error may come from an unreachable peer: it says nothing about the socket.
                Err(_) => Wakeup::TimerExpired,
            }
        };
        let observation =
            async { observations.recv().await.map_or(Wakeup::HandleDropped, Wakeup::Observation) };
        future::or(future::or(datagram, observation), timer).await
    }

    /// When the next timer expires.
    fn next_due(&self) -> Micros {
        let worker = &self.worker;
        let mut due = worker.membership.next_due().min(worker.failover.next_due(self.now()));
        due = due.min(self.next_traffic_log_at);
        if let Some(shared_state) = &worker.shared_state {
            due = due.min(shared_state.next_due()).min(self.next_digest_at);
        }
        if let Some(health) = &worker.health {
            due = due.min(health.next_evaluation_at());
        }
        due
    }

    /// Takes an observation of the broker. Zones are evaluated by the time at which this thread receives it, which is what
    /// its own stall is about.
    fn on_observation(&mut self, now: Micros, observation: Observation) {
        let offset = self.worker.clock_offset;
        let worker = &mut self.worker;
        match (observation, &mut worker.shared_state, &mut worker.health) {
            (Observation::Contact(contact), ..) if contact.answered => {
                worker.failover.record(now, &contact.zone, contact.member, MemberOutcome::Answered)
            }
            (Observation::Contact(contact), ..) => {
                let sent_at = contact.sent_at + offset;
                worker.failover.record_timeout(now, sent_at, &contact.zone, contact.member)
            }
            (Observation::Position { at, member, epoch, position }, Some(state), _) => {
                state.record_position(at + offset, member, epoch, position)
            }
            (Observation::MemberStatus { at, member, status }, Some(state), _) => {
                state.record_member_status(at + offset, member, status)
            }
            (Observation::Counter { at, counter }, Some(state), _) => {
                state.add_to_counter(at + offset, counter, 1)
            }
            (Observation::WriteOutcome { at, write, outcome }, Some(state), _) => {
                state.record_write_outcome(at + offset, write, outcome)
            }
            (Observation::EndpointListed(endpoint), _, Some(health)) => health.on_endpoint_listed(&endpoint),
            (Observation::MembersRetained(listed), _, Some(health)) => health.retain_members(&listed),
            (Observation::RequestOutcome { at, member, outcome }, _, Some(health)) => {
                health.record_request_outcome(at + offset, member, outcome)
            }
            (Observation::Lag { at, member, lag }, _, Some(health)) => {
                health.record_lag(at + offset, member, lag)
            }
            // The part that it is for is not in use.
            _ => {}
        }
    }

    /// Does what is due: each part does its own, and what changed goes to the others, the broker and the log.
    fn on_turn(&mut self, now: Micros, observations_dropped: u64) {
        self.tick_membership(now);
        self.exchange_votes(now);
        self.evaluate_health(now);
        self.tick_shared_state(now);
        if self.worker.failover.evaluate(now) || !self.reported_shares.is_empty() {
            self.report_shares(now);
        }
        self.log_traffic(now, observations_dropped);
        self.log_digest(now);
        self.save_snapshot(now);
    }

    fn tick_membership(&mut self, now: Micros) {
        self.worker.membership.tick(now);
        for event in self.worker.membership.take_events() {
            (self.worker.log)(GossipLogEvent::PeerChanged(&event));
        }
    }

    fn tick_shared_state(&mut self, now: Micros) {
        let Some(shared_state) = &mut self.worker.shared_state else { return };
        let live_peers = self.worker.membership.live_peers().map(|peer| peer.addr);
        shared_state.set_live_peers(now, live_peers);
        shared_state.tick(now);
        if self.updates.free_slots() <= RESERVED_SLOTS {
            return;
        }
        let state_updates = shared_state.take_updates();
        if !state_updates.is_empty() {
            self.updates.send(GossipUpdate::StateUpdates(state_updates));
        }
    }

    fn log_traffic(&mut self, now: Micros, observations_dropped: u64) {
        if now < self.next_traffic_log_at {
            return;
        }
        self.next_traffic_log_at = now + TRAFFIC_LOG_INTERVAL;
        (self.worker.log)(GossipLogEvent::Traffic {
            membership: &self.worker.membership,
            observations_dropped,
            updates_dropped: self.updates.dropped(),
        });
    }

    fn log_digest(&mut self, now: Micros) {
        let Some(shared_state) = &self.worker.shared_state else { return };
        if now < self.next_digest_at {
            return;
        }
        self.next_digest_at = now + DIGEST_LOG_INTERVAL;
        let digest = shared_state.store().digest();
        if digest != self.logged_digest {
            self.logged_digest = digest;
            (self.worker.log)(GossipLogEvent::SharedStateChanged(shared_state));
        }
    }

    fn save_snapshot(&mut self, now: Micros) {
        let Some(shared_state) = &self.worker.shared_state else { return };
        let Some(save_snapshot) = &self.worker.save_snapshot else { return };
        if now < self.next_snapshot_at {
            return;
        }
        self.next_snapshot_at = now + SNAPSHOT_INTERVAL;
        save_snapshot(shared_state.snapshot(now));
    }

    /// Reads the datagrams that are there already, up to the limit of a turn.
    fn receive_more(&mut self, now: Micros, socket: &Async<UdpSocket>, buffer: &mut [u8]) {
        for _ in 1..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, from)) = socket.get_ref().recv_from(buffer) else { break };
            self.on_datagram(now, from, &buffer[..length]);
        }
    }

    /// Takes a datagram of the membership protocol, with or without a message of the shared state behind it.
    fn on_datagram(&mut self, now: Micros, from: SocketAddr, datagram: &[u8]) {
        // A frame that cannot be decoded is passed on as it is: the membership counts it among what it rejects.
        let undecoded = Frame { membership: datagram, shared_state: &[] };
        let frame = Frame::decode(datagram).unwrap_or(undecoded);
        if !frame.membership.is_empty() {
            self.worker.membership.on_datagram(now, frame.membership);
        }
        if frame.shared_state.is_empty() {
            return;
        }
        if let (Some(shared_state), SocketAddr::V4(from)) = (&mut self.worker.shared_state, from) {
            shared_state.on_message(now, from, frame.shared_state);
        }
    }

    /// Sends what is to be sent. A datagram that cannot be sent is as one lost on the wire: SWIM sends again, and so do
    /// exchanges.
    async fn send_datagrams(&mut self, now: Micros, socket: &Async<UdpSocket>) {
        for Datagram { to, payload } in self.worker.membership.take_datagrams() {
            let datagram = self.with_rumour(now, payload);
            let _ = socket.send_to(&datagram, to).await;
        }
        let Some(shared_state) = &mut self.worker.shared_state else { return };
        for (to, message) in shared_state.take_datagrams() {
            let datagram = Frame { membership: &[], shared_state: &message }.encode();
            let _ = socket.send_to(&datagram, to).await;
        }
    }

    /// A datagram of the membership with a rumour of the shared state behind it, where there is one that fits.
    fn with_rumour(&mut self, now: Micros, payload: Vec<u8>) -> Vec<u8> {
        let Some(shared_state) = &mut self.worker.shared_state else { return payload };
        let max_bytes = MAX_PIGGYBACK_BYTES.saturating_sub(payload.len() + FRAME_OVERHEAD);
        match shared_state.piggyback(now, max_bytes) {
            Some(message) => Frame { membership: &payload, shared_state: &message }.encode(),
            None => payload,
        }
    }
}
