//! The recorder: a bounded queue of records, and a separate thread that writes them to the store.

use crate::record::{Micros, Record, TimedRecord};
use crate::store::StoreLimits;
use crate::writer::{Batch, Message, Progress, Writer};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The maximum number of records in one submission to the writer thread. Each submission wakes the thread,
/// which costs more than a record does.
const MAX_SUBMISSION: usize = 64;
/// The time that a record waits for others before it is submitted.
pub(crate) const MAX_SUBMISSION_DELAY: Micros = 100_000;
/// The minimum capacity of the queue, in submissions.
const MIN_QUEUED_SUBMISSIONS: usize = 4;
/// The time limit for the last flush when the process exits.
const LAST_FLUSH_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval at which the completion of the last flush is checked.
const LAST_FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The configuration of a [`Recorder`].
#[derive(Clone, Debug)]
pub struct RecorderConfig {
    /// The directory of the stores.
    pub directory: PathBuf,
    /// The name of the proxy.
    pub proxy: String,
    /// The maximum number of records in the queue.
    pub queue_capacity: usize,
    /// The interval between flushes.
    pub flush_interval: Duration,
    /// The limits on the store's size and retention.
    pub limits: StoreLimits,
}

/// Accepts records without ever blocking. Dropping the recorder flushes pending records and ends the run.
pub struct Recorder {
    queue: SyncSender<Message>,
    buffered: RefCell<Vec<TimedRecord>>,
    submitted_at: Cell<Micros>,
    progress: Arc<Progress>,
    now: Box<dyn Fn() -> Micros>,
    writer: Option<JoinHandle<()>>,
}

impl Recorder {
    /// Starts the writer thread. The thread itself opens the store, so that a hanging disk does not delay the
    /// start of the proxy. `now` is the clock; `report` receives messages for operators.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn start(
        config: RecorderConfig,
        now: impl Fn() -> Micros + Clone + Send + 'static,
        report: impl Fn(&str) + Send + 'static,
    ) -> std::io::Result<Recorder> {
        let capacity = (config.queue_capacity / MAX_SUBMISSION).max(MIN_QUEUED_SUBMISSIONS);
        let (queue, messages) = sync_channel(capacity);
        let progress = Arc::new(Progress::default());
        let writer_progress = Arc::clone(&progress);
        let writer_clock = now.clone();
        let write = move || Writer::new(config, messages, writer_progress, writer_clock, report).run();
        let writer = std::thread::Builder::new().name("records".to_string()).spawn(write)?;
        Ok(Recorder {
            queue,
            buffered: RefCell::default(),
            submitted_at: Cell::new(now()),
            progress,
            now: Box::new(now),
            writer: Some(writer),
        })
    }

    /// Adds a record with the current time.
    pub fn record(&self, record: Record) {
        let at = (self.now)();
        let buffered = {
            let mut buffered = self.buffered.borrow_mut();
            buffered.push((at, record));
            buffered.len()
        };
        if buffered >= MAX_SUBMISSION || at - self.submitted_at.get() >= MAX_SUBMISSION_DELAY {
            self.submit();
        }
    }

    /// Submits the buffered records to the writer thread. Callers do this at regular intervals, so that
    /// little is lost when the process is killed.
    pub fn submit(&self) {
        let at = (self.now)();
        self.submitted_at.set(at);
        let batch = Batch { records: self.buffered.take(), complete_until: at };
        let count = batch.records.len() as u64;
        if self.queue.try_send(Message::Records(batch)).is_err() {
            self.progress.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }

    /// Returns the number of records that were written to the store.
    pub fn stored_count(&self) -> u64 {
        self.progress.stored.load(Ordering::Acquire)
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let deadline = Instant::now() + LAST_FLUSH_TIMEOUT;
        let batch = Batch { records: self.buffered.take(), complete_until: (self.now)() };
        let mut message = Message::End(batch);
        while let Err(TrySendError::Full(unsent)) = self.queue.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            std::thread::sleep(LAST_FLUSH_POLL_INTERVAL);
            message = unsent;
        }
        // If the disk hangs, the thread is not joined: the process must be able to exit.
        let is_writing = || self.writer.as_ref().is_some_and(|writer| !writer.is_finished());
        while is_writing() && Instant::now() < deadline {
            std::thread::sleep(LAST_FLUSH_POLL_INTERVAL);
        }
    }
}
