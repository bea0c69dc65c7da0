//! Updates from other proxies, queued for the driver.

use crate::entry::Entry;
use crate::in_doubt::WriteRecord;
use crate::key::Key;
use crate::value::{MemberStatus, Value};
use crate::Micros;

/// The maximum number of queued updates.
const MAX_UPDATES: usize = 4096;

/// A change that another proxy reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateUpdate {
    /// A member's log position is at least `position` in `epoch`.
    Position {
        /// The member.
        member: u64,
        /// The start time of the member's process, in Unix milliseconds.
        epoch: i64,
        /// The log position in microseconds.
        position: Micros,
    },
    /// A proxy suspects a member.
    Suspected {
        /// The member.
        member: u64,
        /// The time of the suspicion by the hybrid clock of the suspecting proxy, in microseconds.
        since: Micros,
    },
    /// The known outcome of a write changed.
    Write(WriteRecord),
}

impl StateUpdate {
    /// Converts an entry to an update for `process`. Returns `None` for entries that yield no update, such as
    /// the process's own suspicions.
    pub(super) fn from_entry(key: &Key, entry: &Entry, process: u64) -> Option<StateUpdate> {
        match (*key, entry.value()) {
            (Key::WriteOutcome(write), Value::WriteOutcome(outcome)) => {
                Some(StateUpdate::Write(WriteRecord { write, outcome, refreshed_at: entry.refreshed_at() }))
            }
            (Key::Position(member), Value::Position { epoch, position }) => {
                Some(StateUpdate::Position { member, epoch, position })
            }
            (
                Key::MemberStatus(member),
                Value::MemberStatus { timestamp, status: MemberStatus::Suspected },
            ) if timestamp.process != process => {
                Some(StateUpdate::Suspected { member, since: timestamp.wall })
            }
            _ => None,
        }
    }
}

/// A bounded queue of updates for the driver.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    updates: Vec<StateUpdate>,
}

impl UpdateQueue {
    /// Queues an update. Returns whether another update was dropped to make room.
    ///
    /// The oldest position or suspicion is dropped first, since these are reported again. The loss of a
    /// write's outcome may cause the write to be executed twice.
    pub(super) fn push(&mut self, update: StateUpdate) -> bool {
        let is_full = self.updates.len() >= MAX_UPDATES;
        if is_full {
            let expendable = self.updates.iter().position(|update| !matches!(update, StateUpdate::Write(_)));
            self.updates.remove(expendable.unwrap_or(0));
        }
        self.updates.push(update);
        is_full
    }

    /// Takes all updates, oldest first.
    pub(super) fn take(&mut self) -> Vec<StateUpdate> {
        std::mem::take(&mut self.updates)
    }
}
