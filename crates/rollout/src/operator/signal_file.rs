//! Detects new commands in the signal file.

use std::time::SystemTime;

/// A file's modification time and its length in bytes.
pub type FileStamp = (SystemTime, u64);

/// The last known state of the signal file.
#[derive(Clone, Debug, Default)]
pub struct SignalFileWatcher {
    was_checked: bool,
    last: Option<FileStamp>,
}

impl SignalFileWatcher {
    /// Records the file's current stamp, or `None` if there is no file, and returns whether the file
    /// holds a new command. A command that was in the file before this process started is not new: a
    /// proxy that restarts must not start a rollout again.
    pub fn has_new_command(&mut self, stamp: Option<FileStamp>) -> bool {
        let is_first_check = !std::mem::replace(&mut self.was_checked, true);
        let has_changed = std::mem::replace(&mut self.last, stamp) != stamp;
        // An empty file has been created but not written yet.
        let is_written = stamp.is_some_and(|(_, length)| length > 0);
        has_changed && !is_first_check && is_written
    }

    /// Notes that the new command could not be read. It is new again at the next check.
    pub fn on_read_failed(&mut self) {
        self.last = None;
    }
}
