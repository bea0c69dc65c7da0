//! One proxy's view of the others: SWIM's failure detection and dissemination by `foca`, driven by the
//! caller's clock.

use crate::config::SwimConfig;
use crate::dissemination::NoteReceiver;
use crate::event::MembershipEvent;
use crate::note::Note;
use crate::note_store::NoteStore;
use crate::peer::Peer;
use crate::timers::TimerQueue;
use crate::traffic::{Datagram, Traffic};
use crate::Micros;
use foca::{AccumulatingRuntime, Foca, PostcardCodec};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::cell::{Ref, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// The maximum number of datagrams queued for the driver. When the queue is full, the oldest is dropped,
/// since SWIM sends its information repeatedly.
const MAX_OUTGOING: usize = 1024;
const MICROS_PER_MS: Micros = 1000;

/// The reason why a note was not published.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The note cannot be encoded.
    #[error("note cannot be encoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// foca rejected the note.
    #[error("note cannot be disseminated: {0}")]
    Dissemination(#[from] foca::Error),
    /// The store rejected the note: its body is too large, or the store is full.
    #[error("note was not stored: its body is too large or the note store is full")]
    NotStored,
}

/// One proxy's view of the other proxies and of the notes that all proxies publish.
pub struct Membership {
    foca: Foca<Peer, PostcardCodec, SmallRng, NoteReceiver>,
    notes: Rc<RefCell<NoteStore>>,
    runtime: AccumulatingRuntime<Peer>,
    timers: TimerQueue,
    now: Micros,
    seeds: Vec<SocketAddrV4>,
    /// The time of the next join request to the seeds if no live peer is known.
    join_at: Micros,
    join_interval: Micros,
    outgoing: VecDeque<Datagram>,
    events: Vec<MembershipEvent>,
    /// The version of this proxy's newest note.
    note_version: u64,
    /// Traffic sent.
    pub sent: Traffic,
    /// Traffic received, accepted or not.
    pub received: Traffic,
    /// Datagrams that foca rejected: malformed, too large, from an older generation or from a peer declared
    /// down.
    pub rejected: u64,
    /// Datagrams and timers dropped because a queue was full.
    pub dropped: u64,
}

impl Membership {
    /// Creates the membership of a proxy that knows no peers yet, at time `now`.
    pub fn new(local_peer: Peer, config: SwimConfig, seed: u64, now: Micros) -> Self {
        let notes = Rc::new(RefCell::new(NoteStore::default()));
        let rng = SmallRng::seed_from_u64(seed);
        let receiver = NoteReceiver(Rc::clone(&notes));
        Membership {
            foca: Foca::with_custom_broadcast(local_peer, config.to_foca(), rng, PostcardCodec, receiver),
            notes,
            runtime: AccumulatingRuntime::new(),
            timers: TimerQueue::default(),
            now,
            seeds: Vec::new(),
            join_at: now,
            join_interval: config.join_interval_ms.max(1) as Micros * MICROS_PER_MS,
            outgoing: VecDeque::new(),
            events: Vec::new(),
            note_version: 0,
            sent: Traffic::default(),
            received: Traffic::default(),
            rejected: 0,
            dropped: 0,
        }
    }

    /// Returns the current identity of this proxy. Its generation increases when it rejoins after being
    /// declared down.
    pub fn local_peer(&self) -> &Peer {
        self.foca.identity()
    }

    /// Sends join requests to these addresses and repeats them while no live peer is known.
    pub fn join(&mut self, seeds: &[SocketAddrV4], now: Micros) {
        let local_addr = self.local_peer().addr;
        self.seeds = seeds.iter().copied().filter(|seed| *seed != local_addr).collect();
        self.join_at = now;
        self.tick(now);
    }

    /// Handles a received datagram.
    pub fn on_datagram(&mut self, now: Micros, datagram: &[u8]) {
        self.advance_clock(now);
        self.received.count(datagram);
        if self.foca.handle_data(datagram, &mut self.runtime).is_err() {
            self.rejected += 1;
        }
        self.drain_runtime();
    }

    /// Fires the timers that are due, and sends join requests to the seeds if no live peer is known.
    pub fn tick(&mut self, now: Micros) {
        self.advance_clock(now);
        while let Some(timer) = self.timers.pop_due(self.now) {
            // foca reports a timer of an earlier probe round as an error, which has no effect.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
        if self.needs_to_join() && self.now >= self.join_at {
            self.send_join_requests();
        }
        self.drain_runtime();
    }

    /// Returns the time at which [`Membership::tick`] is next due.
    pub fn next_due(&self) -> Micros {
        let timer = self.timers.next_due().unwrap_or(Micros::MAX);
        let join = if self.needs_to_join() { self.join_at } else { Micros::MAX };
        timer.min(join)
    }

    /// Publishes this proxy's newest note of a topic, which replaces the previous one.
    pub fn publish(&mut self, topic: u8, body: Vec<u8>) -> Result<(), PublishError> {
        self.note_version += 1;
        let Peer { addr: origin, generation, .. } = *self.local_peer();
        let note = Note { origin, generation, topic, version: self.note_version, body };
        let bytes = postcard::to_allocvec(&note)?;
        let is_stored = self.foca.add_broadcast(&bytes);
        self.drain_runtime();
        if is_stored? {
            Ok(())
        } else {
            Err(PublishError::NotStored)
        }
    }

    /// Returns an iterator over the live peers, excluding this proxy.
    pub fn live_peers(&self) -> impl Iterator<Item = &Peer> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// Returns the stored notes, including this proxy's own.
    pub fn notes(&self) -> Ref<'_, NoteStore> {
        self.notes.borrow()
    }

    /// Takes the datagrams to send.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing).into()
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Leaves the membership, as at a graceful shutdown, so that the others need not wait for a ping to time
    /// out.
    pub fn leave(&mut self) {
        // foca can fail only to encode the leave message. The others then detect the departure by their
        // pings.
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime();
    }

    fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    fn needs_to_join(&self) -> bool {
        self.foca.num_members() == 0 && !self.seeds.is_empty()
    }

    fn send_join_requests(&mut self) {
        self.join_at = self.now + self.join_interval;
        for seed in &self.seeds {
            // A request that cannot be encoded is handled like a lost one: it is repeated.
            let _ = self.foca.announce(Peer::unknown_at(*seed), &mut self.runtime);
        }
    }

    /// Collects foca's output: datagrams to send, timers and notifications.
    fn drain_runtime(&mut self) {
        while let Some((to, payload)) = self.runtime.to_send() {
            self.sent.count(&payload);
            if self.outgoing.len() >= MAX_OUTGOING {
                self.outgoing.pop_front();
                self.dropped += 1;
            }
            self.outgoing.push_back(Datagram { to: to.addr, payload: payload.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            let after = after.as_micros().min(Micros::MAX as u128) as Micros;
            if self.timers.schedule(self.now.saturating_add(after), timer).is_err() {
                self.dropped += 1;
            }
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.events.extend(MembershipEvent::from_foca(notification));
        }
    }
}
