//! The places of client connections: how many there are, and who makes room.

use super::{ClientListener, Peer};
use std::time::{Duration, Instant};

/// Connections that have asked nothing for so long make room first: a client sends its startup at once.
const MUTE: Duration = Duration::from_millis(20);
/// Then those that stood idle for so long since their last answer.
const REST: Duration = Duration::from_secs(2);
/// Connections beyond those of the limit `places`, while they are told that there is none for them, or while others
/// still close for them: their descriptors are kept free beside the places.
pub fn overflow_connections(places: usize) -> usize {
    places / 10
}

/// As many may come beside that where there are few places; the process keeps descriptors of its own for them.
const BESIDE: usize = 2;

impl ClientListener {
    /// How many are open.
    pub fn open_connections(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Room for so many connections from now on.
    pub fn set_max_connections(&self, most: usize) {
        self.most.set(most);
    }

    /// Whether a connection that has been accepted finds no place. One that was asked to make room may have read a
    /// request meanwhile and stay: past what is kept for that none is asked.
    pub(super) fn is_full(&self) -> bool {
        let (open, most) = (self.open_connections(), self.most.get());
        open >= most && (open >= most + overflow_connections(most) + BESIDE || !self.evict(|_| true))
    }

    /// Whether a connection may be kept until its last error has arrived.
    pub(crate) fn may_linger(&self) -> bool {
        let most = self.most.get();
        self.lingering.get() < most / 4 && self.open_connections() <= most + overflow_connections(most)
    }

    /// Counts a connection that asks something. ClientListener share a bound number of connections: past two fifths of
    /// the places the one idle longest gives way.
    pub(crate) fn count(&self, peer: &Peer) {
        if !peer.asked.replace(true) {
            self.asked.set(self.asked.get() + 1);
            if self.asked.get() > self.most.get() * 2 / 5 {
                self.evict(|p| p.asked.get());
            }
        }
    }

    /// Asks a connection without an open request to close: one that has asked nothing yet, else the one that
    /// stood idle longest. One that asked lately is likely to ask again, so the newest mute ones go before it.
    pub(super) fn evict(&self, which: impl Fn(&Peer) -> bool) -> bool {
        let peers = self.peers.borrow();
        let now = Instant::now();
        let rank = |p: &Peer, since: Instant| match (p.asked.get(), now - since) {
            (false, age) if age >= MUTE => 0,
            (true, age) if age >= REST => 1,
            (false, _) => 2,
            (true, _) => 3,
        };
        let idle = peers.values().filter(|p| !p.evicted.get() && which(p));
        let idle = idle.filter_map(|p| p.idle.get().map(|since| (rank(p, since), since, p)));
        let Some((.., peer)) = idle.min_by_key(|(rank, since, _)| (*rank, *since)) else { return false };
        peer.evicted.set(true);
        peer.lane.wake();
        true
    }
}
