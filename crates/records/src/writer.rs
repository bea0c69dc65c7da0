//! The writer thread of a recorder: collects records into flushes, writes them to the store, and counts lost
//! records.

use crate::record::{Micros, Record, TimedRecord};
use crate::recorder::{RecorderConfig, MAX_SUBMISSION_DELAY};
use crate::store::{OpenedStore, Store};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The number of records at which a flush is written. One submission more may be included.
const MAX_FLUSH_RECORDS: usize = 8192;
/// The interval between attempts to open a store that could not be opened or written.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between retention steps when nothing is left to remove.
const RETENTION_INTERVAL: Duration = Duration::from_secs(60);
/// The interval between retention steps while there is more to remove.
const RETENTION_INTERVAL_WHILE_MORE: Duration = Duration::from_secs(1);

/// Records, and the time up to which the records of this process are complete once these are stored.
pub(crate) struct Batch {
    pub(crate) records: Vec<TimedRecord>,
    pub(crate) complete_until: Micros,
}

/// A message from the serving thread.
pub(crate) enum Message {
    /// Records to store.
    Records(Batch),
    /// The last records of the run.
    End(Batch),
}

/// Counters that the serving thread and the writer thread share.
#[derive(Default)]
pub(crate) struct Progress {
    /// Records that were dropped because the queue was full, and not yet counted as lost.
    pub(crate) dropped: AtomicU64,
    /// Records that were written to the store.
    pub(crate) stored: AtomicU64,
}

/// Records that could not be stored.
#[derive(Clone, Copy)]
struct LostRecords {
    count: u64,
    since: Micros,
}

/// The state of the writer thread.
pub(crate) struct Writer<Now, Report> {
    config: RecorderConfig,
    messages: Receiver<Message>,
    progress: Arc<Progress>,
    now: Now,
    report: Report,
    store: Option<Store>,
    lost: Option<LostRecords>,
    /// The records of the next flush.
    pending: Vec<TimedRecord>,
    complete_until: Micros,
    /// The time at which the run ended, once it has.
    ended_at: Option<Micros>,
    reopen_at: Instant,
    next_retention_at: Instant,
}

impl<Now: Fn() -> Micros, Report: Fn(&str)> Writer<Now, Report> {
    pub(crate) fn new(
        config: RecorderConfig,
        messages: Receiver<Message>,
        progress: Arc<Progress>,
        now: Now,
        report: Report,
    ) -> Writer<Now, Report> {
        Writer {
            config,
            messages,
            progress,
            complete_until: now(),
            now,
            report,
            store: None,
            lost: None,
            pending: Vec::new(),
            ended_at: None,
            reopen_at: Instant::now(),
            next_retention_at: Instant::now() + RETENTION_INTERVAL,
        }
    }

    /// Runs until the recorder is dropped.
    pub(crate) fn run(mut self) {
        loop {
            self.collect();
            self.count_dropped();
            self.open_if_due();
            self.flush();
            if let Some(ended_at) = self.ended_at {
                self.end_run(ended_at);
                return;
            }
            self.apply_retention_if_due();
        }
    }

    /// Collects the records of the next flush.
    fn collect(&mut self) {
        let flush_at = Instant::now() + self.config.flush_interval;
        while self.pending.len() < MAX_FLUSH_RECORDS && self.ended_at.is_none() {
            let timeout = flush_at.saturating_duration_since(Instant::now());
            match self.messages.recv_timeout(timeout) {
                Ok(Message::Records(batch)) => self.add(batch),
                Ok(Message::End(batch)) => {
                    self.ended_at = Some(batch.complete_until);
                    self.add(batch);
                }
                Err(RecvTimeoutError::Timeout) => return,
                Err(RecvTimeoutError::Disconnected) => self.ended_at = Some((self.now)()),
            }
        }
    }

    fn add(&mut self, batch: Batch) {
        self.pending.extend(batch.records);
        self.complete_until = batch.complete_until;
    }

    /// Counts the records that were dropped from the full queue as lost. They were made since the last flush.
    fn count_dropped(&mut self) {
        let dropped = self.progress.dropped.swap(0, Ordering::Relaxed);
        let flush_interval = self.config.flush_interval.as_micros() as Micros;
        let since = (self.now)() - flush_interval - MAX_SUBMISSION_DELAY;
        self.count_lost(dropped, since);
    }

    fn count_lost(&mut self, count: u64, since: Micros) {
        if count == 0 {
            return;
        }
        let before = self.lost.unwrap_or(LostRecords { count: 0, since });
        self.lost = Some(LostRecords { count: before.count + count, since: before.since.min(since) });
    }

    fn open_if_due(&mut self) {
        let is_due = Instant::now() >= self.reopen_at || self.ended_at.is_some();
        if self.store.is_none() && is_due {
            self.open();
            self.reopen_at = Instant::now() + REOPEN_INTERVAL;
        }
    }

    fn open(&mut self) {
        let now = (self.now)();
        match Store::open(&self.config.directory, &self.config.proxy, self.config.limits, now) {
            Ok(OpenedStore { store, quarantined }) => {
                self.store = Some(store);
                if let Some(file) = quarantined {
                    let path = file.path.display();
                    (self.report)(&format!("a store was set aside as {path}: {}", file.reason));
                }
            }
            // Reported once per series of lost records.
            Err(error) if self.lost.is_none() => {
                (self.report)(&format!("the store cannot be opened: {error}"));
            }
            Err(_) => {}
        }
    }

    /// Appends the pending records to the store. If that fails, they are counted as lost.
    fn flush(&mut self) {
        let mut records = std::mem::take(&mut self.pending);
        // The run is known to be alive up to the last submission: records that were buffered since then are
        // lost if the process is killed.
        let alive_at = self.complete_until;
        let first_at = records.first().map_or(alive_at, |(at, _)| *at);
        let count = records.len() as u64;
        // Earlier losses are recorded as the first record of the next flush that succeeds.
        if let Some(LostRecords { count, since }) = self.lost {
            records.insert(0, (first_at, Record::Lost { count, since }));
        }
        let result = self.store.as_mut().map(|store| store.append(&records, alive_at));
        match result {
            Some(Ok(())) => {
                self.lost = None;
                self.progress.stored.fetch_add(count, Ordering::Release);
            }
            Some(Err(error)) => {
                (self.report)(&format!("records cannot be kept: {error}"));
                // The file may be gone, full or damaged, so it is opened again.
                self.store = None;
                self.count_lost(count, first_at);
            }
            None => self.count_lost(count, first_at),
        }
        records.clear();
        self.pending = records;
    }

    fn end_run(&mut self, ended_at: Micros) {
        if let Some(store) = &mut self.store {
            // If this fails, the run looks as if it had been killed, but no record is lost.
            let _ = store.end_run(ended_at);
        }
    }

    fn apply_retention_if_due(&mut self) {
        if Instant::now() < self.next_retention_at {
            return;
        }
        let now = (self.now)();
        let result = self.store.as_mut().map(|store| store.apply_retention(now));
        let interval = match result {
            Some(Ok(true)) => RETENTION_INTERVAL_WHILE_MORE,
            _ => RETENTION_INTERVAL,
        };
        self.next_retention_at = Instant::now() + interval;
    }
}
