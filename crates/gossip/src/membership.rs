//! One proxy's view of the others: SWIM's failure detection and dissemination by `foca`, driven by the caller's time.

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

/// The most datagrams waiting for the driver; older ones are dropped, since SWIM sends again.
const MAX_OUTGOING: usize = 1024;
const MICROS_PER_MS: Micros = 1000;

/// Why a note was not published.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// It cannot be encoded.
    #[error("the note cannot be encoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// foca does not take it.
    #[error("the note cannot be disseminated: {0}")]
    Dissemination(#[from] foca::Error),
    /// The store does not take it: its body is too large, or the store is full.
    #[error("the note is not stored: it is too large, or too many are held")]
    NotStored,
}

/// One proxy's view of the others, and the notes that all publish.
pub struct Membership {
    foca: Foca<Peer, PostcardCodec, SmallRng, NoteReceiver>,
    notes: Rc<RefCell<NoteStore>>,
    runtime: AccumulatingRuntime<Peer>,
    timers: TimerQueue,
    now: Micros,
    seeds: Vec<SocketAddrV4>,
    /// When the seeds are next sent a join request, where no peer is known.
    join_at: Micros,
    join_interval: Micros,
    outgoing: VecDeque<Datagram>,
    events: Vec<MembershipEvent>,
    /// The version of the newest note of this proxy.
    note_version: u64,
    /// What was sent.
    pub sent: Traffic,
    /// What was received, accepted or not.
    pub received: Traffic,
    /// Datagrams that foca did not accept: from an older generation, garbled, too large, of a peer declared down.
    pub rejected: u64,
    /// Datagrams and timers dropped since a queue was full.
    pub dropped: u64,
}

impl Membership {
    /// A proxy that knows nobody yet, at time `now`.
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

    /// Who this proxy is now: its generation grows where it was declared down and rejoined.
    pub fn local_peer(&self) -> &Peer {
        self.foca.identity()
    }

    /// Sends join requests to these addresses, and again while no peer is known.
    pub fn join(&mut self, seeds: &[SocketAddrV4], now: Micros) {
        let local_addr = self.local_peer().addr;
        self.seeds = seeds.iter().copied().filter(|seed| *seed != local_addr).collect();
        self.join_at = now;
        self.tick(now);
    }

    /// Takes a datagram that was received.
    pub fn on_datagram(&mut self, now: Micros, datagram: &[u8]) {
        self.advance_clock(now);
        self.received.count(datagram);
        if self.foca.handle_data(datagram, &mut self.runtime).is_err() {
            self.rejected += 1;
        }
        self.drain_runtime();
    }

    /// Fires the timers that are due, and sends join requests to the seeds where no peer is known.
    pub fn tick(&mut self, now: Micros) {
        self.advance_clock(now);
        while let Some(timer) = self.timers.pop_due(self.now) {
            // A timer of an older round is harmless; foca reports it as an error that changes nothing.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
        if self.needs_to_join() && self.now >= self.join_at {
            self.send_join_requests();
        }
        self.drain_runtime();
    }

    /// When [`Membership::tick`] is next due.
    pub fn next_due(&self) -> Micros {
        let timer = self.timers.next_due().unwrap_or(Micros::MAX);
        let join = if self.needs_to_join() { self.join_at } else { Micros::MAX };
        timer.min(join)
    }

    /// Publishes this proxy's newest note of a topic; it replaces the one before.
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

    /// The peers that are alive, this proxy not among them.
    pub fn live_peers(&self) -> impl Iterator<Item = &Peer> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// The notes held, this proxy's own among them.
    pub fn notes(&self) -> Ref<'_, NoteStore> {
        self.notes.borrow()
    }

    /// Takes the datagrams that are to be sent.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing).into()
    }

    /// Takes what changed since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Leaves on purpose, as at a graceful shutdown: the others need not wait for a ping to time out.
    pub fn leave(&mut self) {
        // foca fails only to encode the farewell; the others then find out by their pings.
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
            // A request that cannot be encoded is as one lost on the wire: it is sent again.
            let _ = self.foca.announce(Peer::unknown_at(*seed), &mut self.runtime);
        }
    }

    /// Takes over what foca asked for: datagrams to send, timers and notifications.
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
