//! The files of the rollout service: the permit ledger, the operators' signal file and the status file.

use super::atomic_file::{read_bounded, replace, with_suffix, Durability};
use super::RolloutLogEvent;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use wharfplank_rollout::{
    decode_ledger, encode_ledger, Micros, PermitLedger, RolloutService, SignalFileWatcher,
};

/// The interval at which the files that operators write are checked, and the delay before a failed write is
/// retried.
const CHECK_INTERVAL: Micros = 500_000;
/// The maximum number of bytes that are read from a signal file.
const MAX_SIGNAL_BYTES: u64 = 4096;
/// The maximum number of bytes that are read from a ledger, which has at most one permit per member.
const MAX_LEDGER_BYTES: u64 = 16 << 20;

/// The paths of the files and the state of reading and writing them.
#[derive(Default)]
pub(super) struct RolloutFiles {
    ledger_path: Option<PathBuf>,
    signal_path: Option<PathBuf>,
    signal_watcher: SignalFileWatcher,
    /// The last status that was written.
    written_status: String,
    next_check_at: Micros,
    /// When writing the ledger is retried after a failure.
    retry_ledger_at: Micros,
}

/// Loads the stored ledger; `None` if there is no readable file, or if its content is not a complete ledger.
pub(super) fn load_ledger(path: &Path, log: &impl Fn(RolloutLogEvent<'_>)) -> Option<PermitLedger> {
    match read_bounded(path, MAX_LEDGER_BYTES) {
        Ok(bytes) => decode_ledger(&bytes).ok(),
        Err(error) => {
            log(RolloutLogEvent::FileFailed { path, error: &error });
            None
        }
    }
}

impl RolloutFiles {
    pub(super) fn new(ledger_path: Option<PathBuf>, signal_path: Option<PathBuf>) -> Self {
        RolloutFiles { ledger_path, signal_path, ..RolloutFiles::default() }
    }

    /// Stores the ledger if it has changed.
    pub(super) fn store_ledger(
        &mut self,
        now: Micros,
        service: &mut RolloutService,
        log: &impl Fn(RolloutLogEvent<'_>),
    ) {
        let (Some(path), Some(ledger)) = (&self.ledger_path, service.ledger_to_store()) else { return };
        if now < self.retry_ledger_at {
            return;
        }
        let revision = ledger.revision;
        match replace(path, &encode_ledger(ledger), Durability::Synced) {
            Ok(()) => service.on_ledger_stored(revision),
            Err(error) => {
                self.retry_ledger_at = now + CHECK_INTERVAL;
                log(RolloutLogEvent::FileFailed { path, error: &error });
            }
        }
    }

    /// Checks the files that operators write, and writes the status, if a check is due.
    pub(super) fn check_if_due(
        &mut self,
        now: Micros,
        service: &mut RolloutService,
        log: &impl Fn(RolloutLogEvent<'_>),
    ) {
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now + CHECK_INTERVAL;
        self.check_ledger(service);
        let Some(signal_path) = self.signal_path.clone() else { return };
        self.check_signal(&signal_path, service, log);
        self.write_status(&signal_path, service, log);
    }

    /// Opens a permit server that has no ledger once an operator has provided one.
    fn check_ledger(&self, service: &mut RolloutService) {
        let Some(path) = &self.ledger_path else { return };
        if !service.is_permit_server_closed() {
            return;
        }
        let Ok(bytes) = read_bounded(path, MAX_LEDGER_BYTES) else { return };
        if let Ok(ledger) = decode_ledger(&bytes) {
            service.open_permit_server(ledger);
        }
    }

    /// Passes a new command from the signal file to the service.
    fn check_signal(
        &mut self,
        path: &Path,
        service: &mut RolloutService,
        log: &impl Fn(RolloutLogEvent<'_>),
    ) {
        // A failure does not count as an absent file: otherwise the same command would later be considered
        // new again.
        let stamp = match file_stamp(path) {
            Ok(stamp) => stamp,
            Err(error) => return log(RolloutLogEvent::FileFailed { path, error: &error }),
        };
        if !self.signal_watcher.has_new_command(stamp) {
            return;
        }
        match read_bounded(path, MAX_SIGNAL_BYTES) {
            Ok(command) => service.on_command(unix_millis(), &String::from_utf8_lossy(&command)),
            Err(error) => {
                self.signal_watcher.on_read_failed();
                log(RolloutLogEvent::FileFailed { path, error: &error });
            }
        }
    }

    /// Writes the status next to the signal file if it has changed. A failed write is retried at the next
    /// check.
    fn write_status(
        &mut self,
        signal_path: &Path,
        service: &RolloutService,
        log: &impl Fn(RolloutLogEvent<'_>),
    ) {
        let status = service.status();
        if status == self.written_status {
            return;
        }
        let path = with_suffix(signal_path, ".status");
        match replace(&path, status.as_bytes(), Durability::Buffered) {
            Ok(()) => self.written_status = status,
            Err(error) => log(RolloutLogEvent::FileFailed { path: &path, error: &error }),
        }
    }
}

/// Returns the modification time and the length of a file; `None` if there is no file.
fn file_stamp(path: &Path) -> io::Result<Option<(SystemTime, u64)>> {
    match fs::metadata(path) {
        Ok(metadata) => Ok(Some((metadata.modified()?, metadata.len()))),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
