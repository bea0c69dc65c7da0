//! Detects when the signal file holds a new command.

use std::time::SystemTime;

/// When a file was last modified, and its length in bytes.
pub type FileStamp = (SystemTime, u64);

/// What is known of the signal file.
#[derive(Clone, Debug, Default)]
pub struct SignalFileWatcher {
    was_checked: bool,
    last: Option<FileStamp>,
}

impl SignalFileWatcher {
    /// Takes in the file's current stamp, or that there is no file, and returns whether its command is new. What the
    /// file held before this process started is old: a proxy that restarts must not start a rollout again.
    pub fn has_new_command(&mut self, stamp: Option<FileStamp>) -> bool {
        let is_first_check = !std::mem::replace(&mut self.was_checked, true);
        let has_changed = std::mem::replace(&mut self.last, stamp) != stamp;
        // An empty file is still being written.
        let is_written = stamp.is_some_and(|(_, length)| length > 0);
        has_changed && !is_first_check && is_written
    }

    /// The new command could not be read: it is new at the next check again.
    pub fn on_read_failed(&mut self) {
        self.last = None;
    }
}
