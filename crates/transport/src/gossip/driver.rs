//! The loop of the gossip worker.

use super::claim::ClaimReplies;
use super::observation::Observation;
use super::{GossipLogEvent, GossipUpdate, GossipWorker, StallDetector};
use crate::socket::open;
use crate::worker::{RingReceiver, RingSender};
use async_io::{Async, Timer};
use futures_lite::future;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use wharfplank_routing::Micros;

/// The interval at which the traffic is logged.
const TRAFFIC_LOG_INTERVAL: Micros = 5_000_000;
/// The interval at which a changed digest of the shared state is logged.
const DIGEST_LOG_INTERVAL: Micros = 1_000_000;
/// The interval at which a snapshot of the shared state is saved.
const SNAPSHOT_INTERVAL: Micros = 5_000_000;
/// While no more slots than this are free in the ring, state updates wait in their own bounded table: the
/// slots are reserved for zone shares and member factors.
const RESERVED_SLOTS: usize = 64;
/// The size of the read buffer; no datagram is larger.
const DATAGRAM_BUFFER_BYTES: usize = 65_536;
/// The maximum wait for a timer.
const MAX_WAIT: Micros = 1_000_000;

/// The worker with the state of its loop.
pub(super) struct Driver {
    pub(super) worker: GossipWorker,
    pub(super) updates: RingSender<GossipUpdate>,
    /// The last shares that were reported to the broker.
    pub(super) reported_shares: BTreeMap<String, f64>,
    pub(super) claim_replies: ClaimReplies,
    next_traffic_log_at: Micros,
    logged_digest: u64,
    next_digest_at: Micros,
    next_snapshot_at: Micros,
}

/// The reason why the loop continues after a wait.
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
    // If the socket cannot be registered with the reactor, nothing is received, and this proxy decides alone.
    let Ok(socket) = open::register(&socket) else { return };
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
            claim_replies: ClaimReplies::default(),
            next_traffic_log_at: now + TRAFFIC_LOG_INTERVAL,
            logged_digest: 0,
            next_digest_at: now,
            next_snapshot_at: now + SNAPSHOT_INTERVAL,
        }
    }

    fn now(&self) -> Micros {
        (self.worker.now)()
    }

    /// Logs the start and announces this proxy to its seeds.
    fn start(&mut self, now: Micros) {
        (self.worker.log)(GossipLogEvent::Started(self.worker.membership.local_peer()));
        // Tells the router at once that the fleet decides on zones together: ties are now broken in favour of
        // near members.
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
                // The error may be caused by an unreachable peer; the socket remains usable.
                Err(_) => Wakeup::TimerExpired,
            }
        };
        let observation =
            async { observations.recv().await.map_or(Wakeup::HandleDropped, Wakeup::Observation) };
        future::or(future::or(datagram, observation), timer).await
    }

    /// Returns the time at which the next timer expires.
    fn next_due(&self) -> Micros {
        let worker = &self.worker;
        let mut due = worker.membership.next_due().min(worker.failover.next_due(self.now()));
        due = due.min(self.next_traffic_log_at);
        if let Some(shared_state) = &worker.shared_state {
            due = due.min(shared_state.next_due()).min(self.next_digest_at);
            if worker.save_snapshot.is_some() {
                due = due.min(self.next_snapshot_at);
            }
        }
        if let Some(health) = &worker.health {
            due = due.min(health.next_evaluation_at());
        }
        due
    }

    /// Runs the due work of each part, and passes changes to the other parts, the broker and the log.
    fn on_turn(&mut self, now: Micros, observations_dropped: u64) {
        self.tick_membership(now);
        self.exchange_votes(now);
        self.evaluate_health(now);
        self.tick_shared_state(now);
        self.reply_to_claims();
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
}
