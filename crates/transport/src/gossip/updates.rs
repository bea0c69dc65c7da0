//! The gossip worker's updates for the serving thread. They arrive over a ring and are queued for the broker;
//! a newer update of zone shares or member factors replaces the older one. In-doubt writes never wait for the
//! broker: the ring is read and they are merged whenever a write is looked up.

use super::{GossipLogEvent, LogGossip};
use crate::worker::RingReceiver;
use crate::ProxyEvent;
use async_channel::Sender;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use wharfplank_routing::Micros;
use wharfplank_shared_state::{InDoubtWrites, StateUpdate, WriteOutcome, WriteRecord, MAX_ENTRIES};

/// The maximum number of state updates that wait for the broker; beyond that the oldest are dropped. State
/// updates are lower bounds and are sent again.
pub const MAX_QUEUED_UPDATES: usize = 4096;

/// A report of the worker.
#[derive(Debug)]
pub enum GossipUpdate {
    /// The share of its reads that each listed zone receives; other zones receive all of theirs.
    ZoneShares(Vec<(String, f64)>),
    /// The latency factors of the members that the fleet considers unhealthy.
    MemberFactors(Vec<(u64, f64)>),
    /// State updates from other proxies.
    StateUpdates(Vec<StateUpdate>),
}

/// The queue of the worker's updates on the serving thread.
pub struct UpdateQueue {
    updates: RingReceiver<GossipUpdate>,
    in_doubt_writes: InDoubtWrites,
    zone_shares: Option<Vec<(String, f64)>>,
    member_factors: Option<Vec<(u64, f64)>>,
    state_updates: Vec<StateUpdate>,
}

impl UpdateQueue {
    /// Creates an empty queue with the write records of a snapshot.
    pub fn new(updates: RingReceiver<GossipUpdate>, write_records: Vec<WriteRecord>) -> UpdateQueue {
        let mut in_doubt_writes = InDoubtWrites::new(MAX_ENTRIES);
        for record in write_records {
            in_doubt_writes.merge(record);
        }
        UpdateQueue {
            updates,
            in_doubt_writes,
            zone_shares: None,
            member_factors: None,
            state_updates: Vec::new(),
        }
    }

    /// Records the outcome of a write as observed by this proxy itself. It takes effect at once, even if the
    /// worker is stalled.
    pub fn record_write_outcome(&mut self, now: Micros, write: u64, outcome: WriteOutcome) {
        self.in_doubt_writes.expire(now);
        self.in_doubt_writes.merge(WriteRecord { write, outcome, refreshed_at: now });
    }

    /// Returns whether a write may have been executed, according to all reports of the worker so far.
    pub fn is_in_doubt(&mut self, write: u64) -> bool {
        while let Some(update) = self.updates.try_recv() {
            self.enqueue(update);
        }
        self.in_doubt_writes.contains(write)
    }

    /// Returns the number of state updates that wait for the broker, at most [`MAX_QUEUED_UPDATES`].
    pub fn queued_state_updates(&self) -> usize {
        self.state_updates.len()
    }

    /// Polls for the next event for the broker; `None` once the worker has ended.
    pub fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<ProxyEvent>> {
        let has_ended = self.receive(cx);
        match self.dequeue() {
            Some(event) => Poll::Ready(Some(event)),
            None if has_ended => Poll::Ready(None),
            None => Poll::Pending,
        }
    }

    /// Moves all updates from the ring to the queue, and returns whether the worker has ended.
    fn receive(&mut self, cx: &mut Context<'_>) -> bool {
        loop {
            match self.updates.poll_recv(cx) {
                Poll::Ready(Some(update)) => self.enqueue(update),
                Poll::Ready(None) => return true,
                Poll::Pending => return false,
            }
        }
    }

    fn enqueue(&mut self, update: GossipUpdate) {
        match update {
            GossipUpdate::ZoneShares(shares) => self.zone_shares = Some(shares),
            GossipUpdate::MemberFactors(factors) => self.member_factors = Some(factors),
            GossipUpdate::StateUpdates(updates) => self.enqueue_state_updates(updates),
        }
    }

    fn enqueue_state_updates(&mut self, updates: Vec<StateUpdate>) {
        for update in updates {
            match update {
                StateUpdate::Write(record) => self.in_doubt_writes.merge(record),
                other => self.state_updates.push(other),
            }
        }
        let excess = self.state_updates.len().saturating_sub(MAX_QUEUED_UPDATES);
        self.state_updates.drain(..excess);
    }

    /// Removes the next event: zone shares first, then member factors, then state updates.
    fn dequeue(&mut self) -> Option<ProxyEvent> {
        if let Some(shares) = self.zone_shares.take() {
            return Some(ProxyEvent::ZoneShares(shares));
        }
        if let Some(factors) = self.member_factors.take() {
            return Some(ProxyEvent::MemberFactors(factors));
        }
        if self.state_updates.is_empty() {
            return None;
        }
        Some(ProxyEvent::StateUpdates(std::mem::take(&mut self.state_updates)))
    }
}

/// Forwards the worker's updates to the broker until the worker ends. After a panic nothing would report the
/// recovery of a zone or member any more: all zones and members are therefore reset to their full shares, as
/// without peers.
pub async fn forward_updates(updates: Rc<RefCell<UpdateQueue>>, events: Sender<ProxyEvent>, log: LogGossip) {
    while let Some(event) = poll_fn(|cx| updates.borrow_mut().poll_event(cx)).await {
        let _ = events.send(event).await;
    }
    if updates.borrow().updates.has_panicked() {
        log(GossipLogEvent::WorkerFailed);
        for event in [ProxyEvent::ZoneShares(Vec::new()), ProxyEvent::MemberFactors(Vec::new())] {
            let _ = events.send(event).await;
        }
    }
}
