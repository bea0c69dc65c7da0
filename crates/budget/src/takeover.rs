//! Guards the takeover of a retired allocator's part by the others. An operator retires an allocator by
//! restarting the allocators in the next epoch. In any epoch after the first, an allocator grants leases
//! only once every other allocator of the epoch has announced the same epoch. From then on no allocator
//! grants leases by the division of an older epoch, and the leases already granted expire within a lease
//! duration.

use crate::{LeaseTerms, Micros};
use serde::{Deserialize, Serialize};

/// The first epoch. It has no predecessor whose leases could still be in force.
const FIRST_EPOCH: u64 = 1;

/// The announcement that allocators send to each other. The encoded names and the order of the fields are
/// part of the protocol between proxies of different versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EpochAnnouncement {
    /// The sender's epoch.
    #[serde(rename = "set")]
    pub epoch: u64,
    /// Whether the receiver is retired in the sender's epoch.
    #[serde(rename = "gone")]
    pub is_receiver_retired: bool,
}

/// The known state of another allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AllocatorState {
    is_retired: bool,
    /// The time at which it first announced this epoch or acknowledged that it is retired.
    announced_at: Option<Micros>,
}

/// Determines from which time one allocator may grant leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TakeoverGuard {
    epoch: u64,
    own_index: usize,
    allocators: Vec<AllocatorState>,
    /// Whether this allocator is retired, in its own epoch or in a newer one.
    is_retired: bool,
}

impl TakeoverGuard {
    /// Creates the guard of allocator `own_index` in an epoch. `retired` holds for each allocator whether
    /// it is retired.
    pub fn new(epoch: u64, own_index: usize, retired: &[bool]) -> TakeoverGuard {
        let state = |is_retired: &bool| AllocatorState { is_retired: *is_retired, announced_at: None };
        TakeoverGuard {
            epoch,
            own_index,
            allocators: retired.iter().map(state).collect(),
            is_retired: retired.get(own_index).copied().unwrap_or(true),
        }
    }

    /// Returns whether this allocator is retired. It then grants nothing until it is started in another
    /// epoch.
    pub fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Returns the announcements to send periodically, each with the index of the receiver.
    pub fn announcements(&self) -> Vec<(usize, EpochAnnouncement)> {
        let announcement = |other: &AllocatorState| EpochAnnouncement {
            epoch: self.epoch,
            is_receiver_retired: other.is_retired,
        };
        self.others().map(|(index, other)| (index, announcement(other))).collect()
    }

    /// Returns the other allocators, or none in the first epoch, where there is no need to wait for them.
    fn others(&self) -> impl Iterator<Item = (usize, &AllocatorState)> {
        let all = self.allocators.iter().enumerate();
        all.filter(|(index, _)| *index != self.own_index && self.epoch > FIRST_EPOCH)
    }

    /// Processes another allocator's announcement. Returns the acknowledgement to send back if the
    /// announcement says that this allocator is retired.
    pub fn on_announcement(
        &mut self,
        now: Micros,
        from: usize,
        announcement: EpochAnnouncement,
    ) -> Option<EpochAnnouncement> {
        let retires_this = announcement.is_receiver_retired && announcement.epoch > self.epoch;
        // From here on this allocator grants nothing, which is what the acknowledgement confirms.
        self.is_retired |= retires_this;
        let is_same_epoch = announcement.epoch == self.epoch;
        if let Some(other) = self.allocators.get_mut(from) {
            if other.is_retired || is_same_epoch {
                other.announced_at.get_or_insert(now);
            }
        }
        retires_this.then_some(EpochAnnouncement { epoch: self.epoch, is_receiver_retired: false })
    }

    /// Returns the time from which this allocator may grant leases as far as the others are concerned.
    /// Returns `None` if it is retired or if an announcement is still missing.
    pub fn opens_at(&self, terms: &LeaseTerms) -> Option<Micros> {
        if self.is_retired {
            return None;
        }
        let mut opens_at = Micros::MIN;
        for (_, other) in self.others() {
            match other.announced_at {
                Some(announced_at) => opens_at = opens_at.max(announced_at + terms.startup_delay()),
                // A retired allocator that is stopped cannot answer. The operator's declaration replaces
                // its acknowledgement.
                None if other.is_retired => {}
                None => return None,
            }
        }
        Some(opens_at)
    }
}
