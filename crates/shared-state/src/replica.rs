//! One proxy's copy of the replicated state: facts of its own go in, datagrams and the time go in; datagrams to send
//! and news of others come out.

mod exchange;
mod facts;

use crate::clock::Clock;
use crate::entry::{Doubt, Entry, Key, Mark, Value};
use crate::snapshot::{self, Fault};
use crate::spread::{transmissions, Budget, Spread};
use crate::store::{Offer, Store};
use crate::sync::{differing, fill, lacking, tell, Message, BODY_MOST};
use crate::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use wharfplank_health::Voice;

/// The bytes of a position with its key, about.
const POSITION_BYTES: u64 = 40;
/// Positions closer together than this are not told apart: reads that need one that new ask the member.
const STEP_LEAST: Micros = 250_000;
/// A suspicion that still holds is said again this often, within its life; a count within its own.
const MARK_AGAIN: Micros = 4_000_000;
const COUNT_AGAIN: Micros = 60_000_000;
/// Exchanges follow each other this soon while they still find differences.
const SYNC_FAST: Micros = 100_000;
/// What was vouched for this long ago should have come as a rumour: an exchange that finds it missing is followed by
/// another at once. What is younger is on its way.
const RUMOURED: Micros = 3_000_000;
/// Messages of one answer in an exchange.
const ANSWERS: usize = 8;
/// Peers that a new doubt about a write is told at once, by each proxy that learns it as a rumour: a client may come
/// back within a second, and rumours on the membership's datagrams take about that.
const URGENT_TO: usize = 4;
/// Datagrams that may wait to be taken by the driver, and news for the broker; past that the oldest go.
const SENDS_MOST: usize = 256;
const NEWS_MOST: usize = 4096;

/// How much and how often a proxy talks of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Bytes a second: one half for what changed, one for exchanges.
    pub bytes_per_second: u64,
    /// Between exchanges with a peer drawn at random, while nothing differs.
    pub sync: Micros,
    /// Entries held at most.
    pub entries_most: usize,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { bytes_per_second: 16_384, sync: 2_000_000, entries_most: crate::ENTRIES_MOST }
    }
}

/// What another proxy has learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// A member's position is at least this in that epoch.
    Position {
        /// The member.
        member: u64,
        /// When its process started, in ms.
        epoch: i64,
        /// The position in µs.
        at: Micros,
    },
    /// A proxy suspects a member.
    Suspected {
        /// The member.
        member: u64,
        /// When it was said, on that proxy's clock.
        at: Micros,
    },
    /// What is known of a write in doubt changed.
    Doubt {
        /// The write.
        write: u64,
        /// What is known of it.
        doubt: Doubt,
        /// When it was last vouched for.
        at: Micros,
    },
}

/// What was done, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Exchanges begun, and those whose answer brought or drew something.
    pub asked: u64,
    /// See `asked`.
    pub differed: u64,
    /// Entries of others that changed what is held.
    pub taken: u64,
    /// Entries of others that were held already.
    pub known: u64,
    /// Messages that could not be read.
    pub unread: u64,
    /// Bytes sent in exchanges, and messages of exchanges not sent since their budget was spent.
    pub sync_bytes: u64,
    /// See `sync_bytes`.
    pub held_back: u64,
    /// Datagrams and news dropped since a queue was full.
    pub dropped: u64,
}

/// One proxy's copy.
pub struct Replica {
    me: u64,
    terms: Terms,
    clock: Clock,
    store: Store,
    spread: Spread,
    exchanges: Budget,
    rng: SmallRng,
    alive: BTreeSet<SocketAddrV4>,
    sync_at: Micros,
    expire_at: Micros,
    own: BTreeMap<u32, (u64, Micros)>,
    sends: Vec<(SocketAddrV4, Vec<u8>)>,
    news: Vec<News>,
    /// What was done.
    pub counts: Counts,
}

impl Replica {
    /// An empty copy of the process `me`, a number that no other process has.
    pub fn new(me: u64, terms: Terms, seed: u64, now: Micros) -> Replica {
        Replica {
            me,
            clock: Clock::new(me),
            store: Store::bounded(terms.entries_most),
            spread: Spread::new(terms.bytes_per_second / 2, now),
            exchanges: Budget::new(terms.bytes_per_second / 2, now),
            rng: SmallRng::seed_from_u64(seed),
            alive: BTreeSet::new(),
            sync_at: Micros::MAX,
            expire_at: now,
            own: BTreeMap::new(),
            sends: Vec::new(),
            news: Vec::new(),
            counts: Counts::default(),
            terms,
        }
    }

    /// Says something of its own.
    fn say(&mut self, now: Micros, key: Key, value: Value) -> bool {
        let taken = self.store.offer(key, &Entry::new(value, now), now) == Offer::Taken;
        if taken {
            self.spread.changed(key, self.alive.len());
        }
        taken
    }

    /// The peers alive now. Where one is new (this proxy or it returned, or a cut is over), an exchange follows.
    pub fn alive(&mut self, now: Micros, peers: impl Iterator<Item = SocketAddrV4>) {
        let peers: BTreeSet<SocketAddrV4> = peers.collect();
        if peers == self.alive {
            return;
        }
        let new = peers.iter().any(|peer| !self.alive.contains(peer));
        self.alive = peers;
        if self.alive.is_empty() {
            self.sync_at = Micros::MAX;
        } else if new {
            self.sync_at = self.sync_at.min(now + SYNC_FAST);
        }
    }

    /// What rides on a datagram of the membership that has so much room; `None`: nothing.
    pub fn ride(&mut self, now: Micros, room: usize) -> Option<Vec<u8>> {
        let entries = self.spread.ride(&self.store, room.min(BODY_MOST).saturating_sub(8), now);
        (!entries.is_empty()).then(|| postcard::to_allocvec(&Message::Delta(entries)).unwrap_or_default())
    }

    /// Does what is due: ends what is over, says counts again, begins exchanges.
    pub fn tick(&mut self, now: Micros) {
        if now >= self.expire_at {
            self.expire_at = now + 500_000;
            self.store.expire(now);
            let again: Vec<(u32, u64)> = self
                .own
                .iter()
                .filter(|(counter, (count, said))| {
                    let held = self.store.get(&Key::Count(**counter, self.me)).map(Entry::value);
                    now - said >= COUNT_AGAIN
                        || (held != Some(Value::Count(*count)) && now - said >= 1_000_000)
                })
                .map(|(counter, (count, _))| (*counter, *count))
                .collect();
            for (counter, count) in again {
                self.own.insert(counter, (count, now));
                self.say(now, Key::Count(counter, self.me), Value::Count(count));
            }
        }
        if now >= self.sync_at && !self.alive.is_empty() {
            let span = self.terms.sync.max(SYNC_FAST);
            self.sync_at = now + span * 3 / 4 + self.rng.random_range(0..=span / 2);
            let nth = self.rng.random_range(0..self.alive.len());
            let Some(peer) = self.alive.iter().nth(nth).copied() else { return };
            self.counts.asked += 1;
            self.answer(now, peer, &Message::Ask(self.store.leaves().to_vec()));
        }
    }

    /// When [`Replica::tick`] is next due.
    pub fn next_due(&self) -> Micros {
        self.sync_at.min(self.expire_at)
    }

    /// Datagrams to send.
    pub fn take_sends(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        std::mem::take(&mut self.sends)
    }

    /// What others have learned since the last call.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// What is held.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Rumours that wait, and bytes of them sent.
    pub fn spread(&self) -> &Spread {
        &self.spread
    }

    /// What is held as the bytes of a file.
    pub fn snapshot(&self, now: Micros) -> Vec<u8> {
        snapshot::write(now, self.store.iter().map(|(key, entry)| (*key, *entry)).collect())
    }

    /// Takes back a snapshot, each entry by its rule and age; how many were taken. Nothing of it is passed on as a
    /// rumour: the others moved on meanwhile, and an exchange settles what differs.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<usize, Fault> {
        let entries = snapshot::read(bytes)?;
        let before = self.counts.taken;
        self.merge(now, &entries, false);
        Ok((self.counts.taken - before) as usize)
    }
}
