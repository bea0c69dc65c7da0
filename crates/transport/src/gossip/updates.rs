//! What the gossip worker reports to the serving thread: a ring, and behind it the updates that wait for the broker,
//! where a newer one replaces the older. Writes in doubt never wait for the broker: they are merged when they are looked
//! up.

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

/// State updates that may wait for the broker; past that the oldest are dropped. They are lower bounds, and come again.
pub const MAX_QUEUED_UPDATES: usize = 4096;

/// What the worker reports.
#[derive(Debug)]
pub enum GossipUpdate {
    /// The share of reads that each named zone may take; others take all.
    ZoneShares(Vec<(String, f64)>),
    /// The latency factors of the members that the fleet judges unhealthy.
    MemberFactors(Vec<(u64, f64)>),
    /// What other proxies shared.
    StateUpdates(Vec<StateUpdate>),
}

/// The serving thread's end of the worker's updates.
pub struct UpdateQueue {
    updates: RingReceiver<GossipUpdate>,
    in_doubt_writes: InDoubtWrites,
    zone_shares: Option<Vec<(String, f64)>>,
    member_factors: Option<Vec<(u64, f64)>>,
    state_updates: Vec<StateUpdate>,
}

impl UpdateQueue {
    /// A queue without updates that knows the write records of a snapshot.
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

    /// Records what this proxy itself knows of a write. It holds at once, whatever the worker does.
    pub fn record_write_outcome(&mut self, now: Micros, write: u64, outcome: WriteOutcome) {
        self.in_doubt_writes.expire(now);
        self.in_doubt_writes.merge(WriteRecord { write, outcome, refreshed_at: now });
    }

    /// Whether a write may have been executed, by all that the worker has reported until now.
    pub fn is_in_doubt(&mut self, write: u64) -> bool {
        while let Some(update) = self.updates.try_recv() {
            self.enqueue(update);
        }
        self.in_doubt_writes.contains(write)
    }

    /// The number of state updates that wait for the broker, at most [`MAX_QUEUED_UPDATES`].
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

    /// Takes all updates from the ring, and returns whether the worker has ended.
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

    /// The next event: shares first, then factors, then what other proxies shared.
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

/// Forwards the worker's updates to the broker until the worker ends. If it panicked, nothing will say when a zone is back
/// in service or a member healthy: all zones and members then count in full again, as they do without peers.
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
