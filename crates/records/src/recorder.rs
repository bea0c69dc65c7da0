//! The recorder: a bounded queue of records, behind which a thread of its own writes the store.

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

/// How many records are submitted to the thread together, at most. Each submission wakes the thread, which costs more
/// than a record does.
const MAX_SUBMISSION: usize = 64;
/// How long a record waits for others before it is submitted.
pub(crate) const MAX_SUBMISSION_DELAY: Micros = 100_000;
/// The least capacity of the queue, in submissions.
const MIN_QUEUED_SUBMISSIONS: usize = 4;
/// How long the last flush may take when the process ends.
const LAST_FLUSH_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval at which the end of the last flush is checked.
const LAST_FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The configuration of a [`Recorder`].
#[derive(Clone, Debug)]
pub struct RecorderConfig {
    /// The directory of the stores.
    pub directory: PathBuf,
    /// The proxy's name.
    pub proxy: String,
    /// How many records may wait in the queue.
    pub queue_capacity: usize,
    /// How long a record waits for the next flush.
    pub flush_interval: Duration,
    /// The bounds of the store.
    pub limits: StoreLimits,
}

/// Takes records without ever waiting. Dropping it flushes what waits and ends the run.
pub struct Recorder {
    queue: SyncSender<Message>,
    gathered: RefCell<Vec<TimedRecord>>,
    submitted_at: Cell<Micros>,
    progress: Arc<Progress>,
    now: Box<dyn Fn() -> Micros>,
    writer: Option<JoinHandle<()>>,
}

impl Recorder {
    /// Starts the thread. It opens the store itself, so that a disk that hangs does not hold up the proxy's start. `now`
    /// is the clock; `report` is called with what an operator should know.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread cannot be started.
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
            gathered: RefCell::default(),
            submitted_at: Cell::new(now()),
            progress,
            now: Box::new(now),
            writer: Some(writer),
        })
    }

    /// Records something that happened now.
    pub fn record(&self, record: Record) {
        let at = (self.now)();
        let gathered = {
            let mut gathered = self.gathered.borrow_mut();
            gathered.push((at, record));
            gathered.len()
        };
        if gathered >= MAX_SUBMISSION || at - self.submitted_at.get() >= MAX_SUBMISSION_DELAY {
            self.submit();
        }
    }

    /// Submits the gathered records to the thread. To be called at a steady pace, so that little is lost when the process
    /// is killed.
    pub fn submit(&self) {
        let at = (self.now)();
        self.submitted_at.set(at);
        let batch = Batch { records: self.gathered.take(), complete_until: at };
        let count = batch.records.len() as u64;
        if self.queue.try_send(Message::Records(batch)).is_err() {
            self.progress.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }

    /// How many records are in the store.
    pub fn stored_count(&self) -> u64 {
        self.progress.stored.load(Ordering::Acquire)
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let deadline = Instant::now() + LAST_FLUSH_TIMEOUT;
        let batch = Batch { records: self.gathered.take(), complete_until: (self.now)() };
        let mut message = Message::End(batch);
        while let Err(TrySendError::Full(unsent)) = self.queue.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            std::thread::sleep(LAST_FLUSH_POLL_INTERVAL);
            message = unsent;
        }
        // If the disk hangs the thread is left behind: the process must be able to end.
        let is_writing = || self.writer.as_ref().is_some_and(|writer| !writer.is_finished());
        while is_writing() && Instant::now() < deadline {
            std::thread::sleep(LAST_FLUSH_POLL_INTERVAL);
        }
    }
}
