//! One proxy's view of the others: SWIM's failure detection and dissemination by `foca`, driven by the caller's
//! time. foca asks for timers; they are kept here in a queue and fired by [`Peers::tick`].

use crate::board::{Board, Handler, Note, NOTE_BYTES_MOST};
use crate::Micros;
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PeriodicParams, PostcardCodec, Timer,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// The most bytes of a zone's name.
pub const ZONE_BYTES_MOST: usize = 64;
/// The most timers that foca may have asked for; it asks for a few per peer that it probes at a time.
const TIMERS_MOST: usize = 4096;
/// The most datagrams waiting for the driver; older ones are dropped, since SWIM sends again.
const SENDS_MOST: usize = 1024;

/// Who a proxy is to the others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Where the others send to: the same after a restart.
    pub addr: SocketAddrV4,
    /// Its zone, as the list of members names it.
    pub zone: String,
    /// The generation of its process, higher after each restart (the start time in ms will do): its views and notes
    /// replace those of the process before.
    pub generation: u64,
}

impl Peer {
    /// A peer; a zone's name is cut to [`ZONE_BYTES_MOST`] bytes.
    pub fn new(addr: SocketAddrV4, zone: &str, generation: u64) -> Self {
        let mut end = zone.len().min(ZONE_BYTES_MOST);
        while !zone.is_char_boundary(end) {
            end -= 1;
        }
        Peer { addr, zone: zone[..end].to_string(), generation }
    }
}

impl Identity for Peer {
    type Addr = SocketAddrV4;

    /// Declared down, for instance after a pause, it comes back as a newer generation at once.
    fn renew(&self) -> Option<Self> {
        Some(Peer { generation: self.generation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.generation > adversary.generation
    }
}

/// How often and how far a proxy talks to the others. Traffic per proxy depends on these, not on how many proxies
/// there are: a probe and its answer each `probe_ms`, a message to `fanout` peers each `gossip_ms`, each at most
/// `packet_bytes`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Milliseconds between probes of one peer chosen at random.
    pub probe_ms: u64,
    /// Milliseconds that a probe's answer may take before others are asked to probe it too.
    pub probe_rtt_ms: u64,
    /// Milliseconds that a suspect has to refute its suspicion before it counts as down.
    pub suspect_ms: u64,
    /// Milliseconds between messages of gossip, and to how many peers each.
    pub gossip_ms: u64,
    /// Peers that each gossip goes to.
    pub fanout: usize,
    /// The largest datagram sent or taken.
    pub packet_bytes: usize,
    /// How many proxies there are about: updates are passed on about 4 log10(n + 1) times each.
    pub expected: u32,
    /// Milliseconds between calls to the seeds while no peer is known.
    pub seeds_ms: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            probe_ms: 500,
            probe_rtt_ms: 150,
            suspect_ms: 2_000,
            gossip_ms: 100,
            fanout: 3,
            packet_bytes: 1400,
            expected: 100,
            seeds_ms: 1_000,
        }
    }
}

impl Terms {
    fn config(&self) -> Config {
        let nonzero = |n: usize| NonZeroUsize::new(n.max(1)).unwrap_or(NonZeroUsize::MIN);
        let mut config = Config::new_lan(
            std::num::NonZeroU32::new(self.expected.max(1)).unwrap_or(std::num::NonZeroU32::MIN),
        );
        config.probe_period = Duration::from_millis(self.probe_ms.max(2));
        config.probe_rtt = Duration::from_millis(self.probe_rtt_ms.clamp(1, self.probe_ms.max(2) - 1));
        config.suspect_to_down_after = Duration::from_millis(self.suspect_ms.max(1));
        config.max_packet_size = nonzero(self.packet_bytes.max(NOTE_BYTES_MOST * 2));
        config.max_transmissions = config.max_transmissions.max(NonZeroU8::MIN);
        config.remove_down_after = Duration::from_secs(600);
        config.periodic_gossip = Some(PeriodicParams {
            frequency: Duration::from_millis(self.gossip_ms.max(1)),
            num_members: nonzero(self.fanout),
        });
        config.periodic_announce =
            Some(PeriodicParams { frequency: Duration::from_secs(5), num_members: NonZeroUsize::MIN });
        config.periodic_announce_to_down_members =
            Some(PeriodicParams { frequency: Duration::from_secs(3), num_members: nonzero(2) });
        config
    }
}

/// A peer that came or went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is alive.
    Up(Peer),
    /// It is declared down by the others.
    Down(Peer),
    /// This proxy was declared down and came back as a newer generation.
    Renewed(Peer),
}

/// Datagrams and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// One proxy's view of the others, and the notes that all publish.
pub struct Peers {
    foca: Foca<Peer, PostcardCodec, SmallRng, Handler>,
    board: Rc<RefCell<Board>>,
    runtime: AccumulatingRuntime<Peer>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    waiting: BTreeMap<u64, Timer<Peer>>,
    numbered: u64,
    now: Micros,
    seeds: Vec<SocketAddrV4>,
    seeds_at: Micros,
    seeds_every: Micros,
    sends: Vec<(SocketAddrV4, Vec<u8>)>,
    changes: Vec<Change>,
    version: u64,
    /// What was sent and taken.
    pub sent: Traffic,
    /// What was received, read or not.
    pub received: Traffic,
    /// Datagrams that foca would not take: from an older generation, garbled, too large, of a peer declared down.
    pub rejected: u64,
    /// Datagrams and timers dropped since a queue was full.
    pub dropped: u64,
}

impl Peers {
    /// A proxy that knows nobody yet, at time `now`.
    pub fn new(me: Peer, terms: Terms, seed: u64, now: Micros) -> Self {
        let board = Rc::new(RefCell::new(Board::default()));
        let rng = SmallRng::seed_from_u64(seed);
        let foca =
            Foca::with_custom_broadcast(me, terms.config(), rng, PostcardCodec, Handler(Rc::clone(&board)));
        Peers {
            foca,
            board,
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            numbered: 0,
            now,
            seeds: Vec::new(),
            seeds_at: now,
            seeds_every: terms.seeds_ms.max(1) as Micros * 1000,
            sends: Vec::new(),
            changes: Vec::new(),
            version: 0,
            sent: Traffic::default(),
            received: Traffic::default(),
            rejected: 0,
            dropped: 0,
        }
    }

    /// Who this proxy is now: its generation grows where it was declared down and came back.
    pub fn me(&self) -> &Peer {
        self.foca.identity()
    }

    /// Asks these addresses to let it in; asked again while no peer is known.
    pub fn join(&mut self, seeds: &[SocketAddrV4], now: Micros) {
        let me = self.me().addr;
        self.seeds = seeds.iter().copied().filter(|s| *s != me).collect();
        self.seeds_at = now;
        self.tick(now);
    }

    /// A datagram came.
    pub fn received(&mut self, now: Micros, datagram: &[u8]) {
        self.now = self.now.max(now);
        self.received.datagrams += 1;
        self.received.bytes += datagram.len() as u64;
        if self.foca.handle_data(datagram, &mut self.runtime).is_err() {
            self.rejected += 1;
        }
        self.drain();
    }

    /// Fires the timers that are due, and calls the seeds where nobody is known.
    pub fn tick(&mut self, now: Micros) {
        self.now = self.now.max(now);
        while let Some(Reverse((at, number))) = self.timers.peek().copied() {
            if at > self.now {
                break;
            }
            self.timers.pop();
            if let Some(timer) = self.waiting.remove(&number) {
                // A timer of an older round is harmless; foca says so with an error that changes nothing.
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
            }
        }
        if self.foca.num_members() == 0 && self.now >= self.seeds_at && !self.seeds.is_empty() {
            self.seeds_at = self.now + self.seeds_every;
            for seed in self.seeds.clone() {
                let _ = self.foca.announce(Peer::new(seed, "", 0), &mut self.runtime);
            }
        }
        self.drain();
    }

    /// When [`Peers::tick`] is next due.
    pub fn next_due(&self) -> Micros {
        let timer = self.timers.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        let seeds =
            if self.foca.num_members() == 0 && !self.seeds.is_empty() { self.seeds_at } else { Micros::MAX };
        timer.min(seeds)
    }

    /// Publishes this proxy's newest note of a topic; it replaces the one before. False where the body is too large.
    pub fn publish(&mut self, topic: u8, body: Vec<u8>) -> bool {
        self.version += 1;
        let me = self.me().clone();
        let note = Note { origin: me.addr, generation: me.generation, topic, version: self.version, body };
        let Ok(bytes) = postcard::to_allocvec(&note) else { return false };
        let taken = matches!(self.foca.add_broadcast(&bytes), Ok(true));
        self.drain();
        taken
    }

    /// The peers that are alive, this one not among them.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// The notes held, this proxy's own among them.
    pub fn board(&self) -> std::cell::Ref<'_, Board> {
        self.board.borrow()
    }

    /// Datagrams to send: to whom, and what.
    pub fn take_sends(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        std::mem::take(&mut self.sends)
    }

    /// Peers that came and went since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Leaves on purpose, as at a planned end: the others need not wait for a probe to time out.
    pub fn leave(&mut self) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain();
    }

    fn drain(&mut self) {
        while let Some((to, data)) = self.runtime.to_send() {
            self.sent.datagrams += 1;
            self.sent.bytes += data.len() as u64;
            if self.sends.len() >= SENDS_MOST {
                self.sends.remove(0);
                self.dropped += 1;
            }
            self.sends.push((to.addr, data.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            if self.waiting.len() >= TIMERS_MOST {
                self.dropped += 1;
                continue;
            }
            self.numbered += 1;
            let at = self.now.saturating_add(after.as_micros().min(i64::MAX as u128) as Micros);
            self.timers.push(Reverse((at, self.numbered)));
            self.waiting.insert(self.numbered, timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(peer) => self.changes.push(Change::Up(peer)),
                OwnedNotification::MemberDown(peer) => self.changes.push(Change::Down(peer)),
                OwnedNotification::Rejoin(peer) => self.changes.push(Change::Renewed(peer)),
                OwnedNotification::Rename(_, peer) => self.changes.push(Change::Up(peer)),
                _ => {}
            }
        }
    }
}
