//! The bounded queue before the store and the thread behind it.

use crate::record::{Micros, Record};
use crate::store::{Limits, Note, Store};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Records that are handed over together at most, and the time after which fewer are.
const GATHER: usize = 64;
const HAND_OVER: Micros = 100_000;
/// Records of one flush at most, give or take a hand-over.
const BATCH: usize = 8192;
/// The pause between tries where the store cannot be opened or written.
const RETRY: Duration = Duration::from_secs(1);
/// The pause between steps of retirement.
const RETIRE_EVERY: Duration = Duration::from_secs(60);

/// How long the last flush may take at the process's end, and the pause between looks at it.
const LAST_FLUSH: Duration = Duration::from_millis(1500);
const POLL: Duration = Duration::from_millis(1);

/// How a recorder works.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The directory of the stores.
    pub directory: PathBuf,
    /// The proxy's name.
    pub proxy: String,
    /// Records that may wait.
    pub queue: usize,
    /// How long a record waits for its flush.
    pub flush: Duration,
    /// The bounds of the store.
    pub limits: Limits,
}

/// What the serving thread hands over: records, and the time up to which these are all.
enum Message {
    Records(Vec<(Micros, Record)>, Micros),
    End(Vec<(Micros, Record)>, Micros),
}

#[derive(Default)]
struct Counts {
    /// Records dropped since the last one that got through.
    dropped: AtomicU64,
    flushed: AtomicU64,
}

/// Takes records without ever waiting; dropping it flushes what waits and ends the run.
///
/// Records are handed over a few at a time: each hand-over wakes the thread, which would cost more than the record.
pub struct Recorder {
    queue: SyncSender<Message>,
    gathered: RefCell<Vec<(Micros, Record)>>,
    handed_at: Cell<Micros>,
    counts: Arc<Counts>,
    now: Box<dyn Fn() -> Micros>,
    writer: Option<JoinHandle<()>>,
}

impl Recorder {
    /// Starts the thread. The store is opened there: a disk that hangs does not stop the proxy's start. `now` is the
    /// caller's clock, `tell` hears what an operator should know.
    pub fn start(
        terms: Terms,
        now: impl Fn() -> Micros + Clone + Send + 'static,
        tell: impl Fn(&str) + Send + 'static,
    ) -> std::io::Result<Recorder> {
        let (queue, received) = sync_channel((terms.queue / GATHER).max(4));
        let counts = Arc::new(Counts::default());
        let (shared, clock) = (Arc::clone(&counts), now.clone());
        let work =
            move || Writer { terms, received, counts: shared, store: None, lost: None, tell }.run(&clock);
        let writer = std::thread::Builder::new().name("records".to_string()).spawn(work)?;
        let (gathered, handed_at) = (RefCell::default(), Cell::new(now()));
        Ok(Recorder { queue, gathered, handed_at, counts, now: Box::new(now), writer: Some(writer) })
    }

    /// Notes something that happened now.
    pub fn note(&self, record: Record) {
        let at = (self.now)();
        let mut gathered = self.gathered.borrow_mut();
        gathered.push((at, record));
        let full = gathered.len() >= GATHER;
        drop(gathered);
        if full || at - self.handed_at.get() >= HAND_OVER {
            self.hand_over();
        }
    }

    /// Hands over what was gathered; to be called now and then, so that little is lost when the process is killed.
    pub fn hand_over(&self) {
        let at = (self.now)();
        self.handed_at.set(at);
        let records = self.gathered.take();
        let count = records.len() as u64;
        if self.queue.try_send(Message::Records(records, at)).is_err() {
            self.counts.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }

    /// Records that are in the store.
    pub fn flushed(&self) -> u64 {
        self.counts.flushed.load(Ordering::Acquire)
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let until = Instant::now() + LAST_FLUSH;
        let mut end = Message::End(self.gathered.take(), (self.now)());
        while let Err(TrySendError::Full(back)) = self.queue.try_send(end) {
            if Instant::now() >= until {
                return;
            }
            std::thread::sleep(POLL);
            end = back;
        }
        // The thread is left to itself where the disk hangs: the process must be able to end.
        while self.writer.as_ref().is_some_and(|writer| !writer.is_finished()) && Instant::now() < until {
            std::thread::sleep(POLL);
        }
    }
}

struct Writer<T> {
    terms: Terms,
    received: Receiver<Message>,
    counts: Arc<Counts>,
    store: Option<Store>,
    /// Records that could not be kept: how many, and since when.
    lost: Option<(u64, Micros)>,
    tell: T,
}

impl<T: Fn(&str)> Writer<T> {
    fn run(mut self, now: &dyn Fn() -> Micros) {
        let mut batch: Vec<(Micros, Record)> = Vec::new();
        let mut handed = now();
        let (mut retry_at, mut retire_at) = (Instant::now(), Instant::now() + RETIRE_EVERY);
        loop {
            let flush_at = Instant::now() + self.terms.flush;
            let mut end = None;
            while batch.len() < BATCH && end.is_none() {
                match self.received.recv_timeout(flush_at.saturating_duration_since(Instant::now())) {
                    Ok(Message::Records(records, at)) => {
                        batch.extend(records);
                        handed = at;
                    }
                    Ok(Message::End(records, at)) => {
                        batch.extend(records);
                        (handed, end) = (at, Some(at));
                    }
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => end = Some(now()),
                }
            }
            let dropped = self.counts.dropped.swap(0, Ordering::Relaxed);
            self.lose(dropped, now() - self.terms.flush.as_micros() as Micros - HAND_OVER);
            if self.store.is_none() && (Instant::now() >= retry_at || end.is_some()) {
                self.open(now());
                retry_at = Instant::now() + RETRY;
            }
            // The run is known up to the last hand-over: what was gathered since dies with the process.
            self.flush(&mut batch, handed);
            if let Some(at) = end {
                let _ = self.store.as_mut().map(|store| store.end(at));
                return;
            }
            if Instant::now() >= retire_at {
                let more = self.store.as_mut().map(|store| store.retire(now()));
                let pause = if matches!(more, Some(Ok(true))) { RETIRE_EVERY / 60 } else { RETIRE_EVERY };
                retire_at = Instant::now() + pause;
            }
        }
    }

    fn open(&mut self, now: Micros) {
        match Store::open(&self.terms.directory, &self.terms.proxy, self.terms.limits, now) {
            Ok((store, note)) => {
                self.store = Some(store);
                if let Some(Note::SetAside(path, why)) = note {
                    (self.tell)(&format!("a store was set aside as {}: {why}", path.display()));
                }
            }
            Err(e) if self.lost.is_none() => (self.tell)(&format!("the store cannot be opened: {e}")),
            Err(_) => {}
        }
    }

    /// Counts what could not be kept.
    fn lose(&mut self, count: u64, since: Micros) {
        if count > 0 {
            let (before, at) = self.lost.unwrap_or((0, since));
            self.lost = Some((before + count, at.min(since)));
        }
    }

    fn flush(&mut self, batch: &mut Vec<(Micros, Record)>, now: Micros) {
        // What was lost before is told with the first flush that works, as the first of its records.
        if let Some((count, since)) = self.lost {
            let first = batch.first().map_or(now, |(at, _)| *at);
            batch.insert(0, (first, Record::Lost { count, since }));
        }
        let kept = self.store.as_mut().map(|store| store.append(batch, now));
        let told = usize::from(self.lost.is_some());
        let count = (batch.len() - told) as u64;
        match kept {
            Some(Ok(())) => {
                self.lost = None;
                self.counts.flushed.fetch_add(count, Ordering::Release);
            }
            failed => {
                if let Some(Err(e)) = failed {
                    (self.tell)(&format!("records cannot be kept: {e}"));
                    // A file that failed is opened anew: it may be gone, full or damaged.
                    self.store = None;
                }
                let since = batch.get(told).map_or(now, |(at, _)| *at);
                self.lose(count, since);
            }
        }
        batch.clear();
    }
}
