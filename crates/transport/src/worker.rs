//! A worker: a background thread with a single task, connected to the serving thread by two bounded rings.
//!
//! Neither side ever blocks on the other: items that do not fit into a ring are dropped and counted. Each
//! side can detect that the other has ended. A worker that panics closes its ends of the rings, and the
//! serving thread continues.

use atomic_waker::AtomicWaker;
use rtrb::{Consumer, Producer, RingBuffer};
use std::future::{poll_fn, Future};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// The divisor of a ring's capacity that gives the number of slots reserved for [`RingSender::send`].
const RESERVED_SLOTS_DIVISOR: usize = 8;

/// The state that the two ends of a ring share besides its items.
#[derive(Debug, Default)]
struct Shared {
    receiver: AtomicWaker,
    sender_panicked: AtomicBool,
    dropped: AtomicU64,
}

/// The sending end of a ring.
#[derive(Debug)]
pub struct RingSender<T> {
    /// `None` only while the sender is being dropped.
    ring: Option<Producer<T>>,
    shared: Arc<Shared>,
}

/// The receiving end of a ring. Items are received in the order in which they were sent.
#[derive(Debug)]
pub struct RingReceiver<T> {
    ring: Consumer<T>,
    shared: Arc<Shared>,
}

/// Creates a ring with a capacity of this many items, at least one.
pub fn ring<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (producer, consumer) = RingBuffer::new(capacity.max(1));
    let shared = Arc::new(Shared::default());
    let sender = RingSender { ring: Some(producer), shared: Arc::clone(&shared) };
    (sender, RingReceiver { ring: consumer, shared })
}

impl<T> RingSender<T> {
    /// Sends an item and wakes the receiver. Returns false if the item is dropped because the ring is full or
    /// its receiver has ended.
    pub fn send(&mut self, item: T) -> bool {
        let is_sent = self.enqueue(item);
        self.shared.receiver.wake();
        is_sent
    }

    /// Sends an item and wakes the receiver only once half of the ring is in use; until then the item waits
    /// for the next wake-up. Intended for items that are frequent and not urgent. The last eighth of the ring
    /// is reserved for [`RingSender::send`]. Returns false if the item is dropped.
    pub fn send_lazy(&mut self, item: T) -> bool {
        let total = self.ring.as_ref().map_or(0, |ring| ring.buffer().capacity());
        let free = self.free_slots();
        if free <= total / 2 + 1 {
            self.shared.receiver.wake();
        }
        if free > total / RESERVED_SLOTS_DIVISOR {
            return self.enqueue(item);
        }
        self.count_dropped();
        false
    }

    /// Returns the number of free slots. Until the next send it can only grow.
    pub fn free_slots(&self) -> usize {
        self.ring.as_ref().map_or(0, Producer::slots)
    }

    /// Returns the number of items dropped so far.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Returns whether the receiver has ended, so that every item is dropped.
    pub fn is_closed(&self) -> bool {
        self.ring.as_ref().is_none_or(Producer::is_abandoned)
    }

    fn enqueue(&mut self, item: T) -> bool {
        let is_sent = !self.is_closed() && self.ring.as_mut().is_some_and(|ring| ring.push(item).is_ok());
        if !is_sent {
            self.count_dropped();
        }
        is_sent
    }

    fn count_dropped(&self) {
        self.shared.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

impl<T> Drop for RingSender<T> {
    /// Closes the ring. The panic flag is stored first, so that the receiver sees it together with the end.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.shared.sender_panicked.store(true, Ordering::Release);
        }
        self.ring = None;
        self.shared.receiver.wake();
    }
}

impl<T> RingReceiver<T> {
    /// Returns the next item, if there is one now.
    pub fn try_recv(&mut self) -> Option<T> {
        self.ring.pop().ok()
    }

    /// Waits for the next item; `None` once the sender has ended and all its items have been received.
    pub async fn recv(&mut self) -> Option<T> {
        poll_fn(|cx| self.poll_recv(cx)).await
    }

    /// Polls for the next item, see [`RingReceiver::recv`].
    pub fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Option<T>> {
        if let Some(item) = self.try_recv() {
            return Poll::Ready(Some(item));
        }
        // An item sent after this wakes the task; one sent before is found by the second attempt.
        self.shared.receiver.register(cx.waker());
        let is_closed = self.ring.is_abandoned();
        match self.try_recv() {
            Some(item) => Poll::Ready(Some(item)),
            None if is_closed => Poll::Ready(None),
            None => Poll::Pending,
        }
    }

    /// Returns the number of items that the sender has dropped so far.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Returns whether the sender ended by a panic. This is known at the latest when [`RingReceiver::recv`]
    /// has returned `None`.
    pub fn has_panicked(&self) -> bool {
        self.shared.sender_panicked.load(Ordering::Acquire)
    }
}

/// Starts a worker thread with this name and a ring of this capacity in each direction, and returns the
/// serving thread's ends.
///
/// The future that `run` creates stays on the worker's thread and need not be `Send`. The worker ends with
/// its future: normally after its receiver has returned `None`, or by a panic, which the serving thread
/// detects with [`RingReceiver::has_panicked`].
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start<Input, Output, Run, Finished>(
    name: &str,
    capacity: usize,
    run: Run,
) -> std::io::Result<(RingSender<Input>, RingReceiver<Output>)>
where
    Input: Send + 'static,
    Output: Send + 'static,
    Run: FnOnce(RingReceiver<Input>, RingSender<Output>) -> Finished + Send + 'static,
    Finished: Future<Output = ()>,
{
    let (to_worker, input) = ring(capacity);
    let (output, from_worker) = ring(capacity);
    let run_to_end = move || async_io::block_on(run(input, output));
    std::thread::Builder::new().name(name.to_string()).spawn(run_to_end)?;
    Ok((to_worker, from_worker))
}
