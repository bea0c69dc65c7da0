//! What other proxies have learned, for the driver to pass on, in a bounded queue.

use crate::entry::Entry;
use crate::in_doubt::WriteRecord;
use crate::key::Key;
use crate::value::{MemberStatus, Value};
use crate::Micros;

/// How many updates wait at most.
const MAX_UPDATES: usize = 4096;

/// What another proxy has learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateUpdate {
    /// A member's log position is at least this in that epoch.
    Position {
        /// The member.
        member: u64,
        /// When its process started, in Unix milliseconds.
        epoch: i64,
        /// The position in microseconds.
        position: Micros,
    },
    /// A proxy suspects a member.
    Suspected {
        /// The member.
        member: u64,
        /// Since when, by that proxy's clock, in microseconds.
        since: Micros,
    },
    /// The known outcome of a write changed.
    Write(WriteRecord),
}

impl StateUpdate {
    /// What an entry means to `process`, if it is of interest there. A process's own suspicions are not.
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

/// The updates that wait to be taken by the driver.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    updates: Vec<StateUpdate>,
}

impl UpdateQueue {
    /// Queues an update. Returns whether another was dropped to make room.
    ///
    /// The oldest position or suspicion is dropped first, since these come again; the loss of a write's outcome may
    /// cost a write that is executed twice.
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
