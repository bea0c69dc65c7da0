//! Guards the takeover of an allocator's part by the others. An operator declares an allocator retired by starting
//! the allocators anew in the next epoch. An allocator of an epoch after the first grants leases only once every other
//! allocator of the epoch has announced that it is in the same one: from then on nobody grants leases by the parts of
//! an older epoch, and those already granted expire within a lease's duration.

use crate::{LeaseTerms, Micros};
use serde::{Deserialize, Serialize};

/// The first epoch of the allocators: there is none before it to wait for.
const FIRST_EPOCH: u64 = 1;

/// What allocators announce to each other. The encoded names and the order of the fields are part of the protocol
/// between proxies of different versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EpochAnnouncement {
    /// The sender's epoch.
    #[serde(rename = "set")]
    pub epoch: u64,
    /// Whether the receiver is retired in that epoch.
    #[serde(rename = "gone")]
    pub is_receiver_retired: bool,
}

/// What is known of an allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AllocatorState {
    is_retired: bool,
    /// When it first announced that it is in this epoch, or acknowledged that it is retired.
    announced_at: Option<Micros>,
}

/// Tells one allocator from when on it may grant leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TakeoverGuard {
    epoch: u64,
    own_index: usize,
    allocators: Vec<AllocatorState>,
    /// This allocator is retired, in its own epoch or in a newer one.
    is_retired: bool,
}

impl TakeoverGuard {
    /// The guard of allocator `own_index` in an epoch; `retired` says of each allocator whether it is retired.
    pub fn new(epoch: u64, own_index: usize, retired: &[bool]) -> TakeoverGuard {
        let state = |is_retired: &bool| AllocatorState { is_retired: *is_retired, announced_at: None };
        TakeoverGuard {
            epoch,
            own_index,
            allocators: retired.iter().map(state).collect(),
            is_retired: retired.get(own_index).copied().unwrap_or(true),
        }
    }

    /// Whether this allocator is retired: it grants nothing until it is started in another epoch.
    pub fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// What to announce now and then, and to which allocator.
    pub fn announcements(&self) -> Vec<(usize, EpochAnnouncement)> {
        let announcement = |other: &AllocatorState| EpochAnnouncement {
            epoch: self.epoch,
            is_receiver_retired: other.is_retired,
        };
        self.others().map(|(index, other)| (index, announcement(other))).collect()
    }

    /// The other allocators, as far as they matter: nobody is waited for in the first epoch.
    fn others(&self) -> impl Iterator<Item = (usize, &AllocatorState)> {
        let all = self.allocators.iter().enumerate();
        all.filter(|(index, _)| *index != self.own_index && self.epoch > FIRST_EPOCH)
    }

    /// Takes another allocator's announcement. Returns the acknowledgement to send back, where it says that this
    /// allocator is retired.
    pub fn on_announcement(
        &mut self,
        now: Micros,
        from: usize,
        announcement: EpochAnnouncement,
    ) -> Option<EpochAnnouncement> {
        let retires_this = announcement.is_receiver_retired && announcement.epoch > self.epoch;
        // From here on it grants nothing: that is what the acknowledgement means.
        self.is_retired |= retires_this;
        let is_same_epoch = announcement.epoch == self.epoch;
        if let Some(other) = self.allocators.get_mut(from) {
            if other.is_retired || is_same_epoch {
                other.announced_at.get_or_insert(now);
            }
        }
        retires_this.then_some(EpochAnnouncement { epoch: self.epoch, is_receiver_retired: false })
    }

    /// From when on this allocator may grant leases, as far as the others are concerned; `None` while that is unknown,
    /// and where it is retired.
    pub fn opens_at(&self, terms: &LeaseTerms) -> Option<Micros> {
        if self.is_retired {
            return None;
        }
        let mut opens_at = Micros::MIN;
        for (_, other) in self.others() {
            match other.announced_at {
                Some(announced_at) => opens_at = opens_at.max(announced_at + terms.startup_delay()),
                // A retired one that is off cannot answer: the operator's declaration stands for it.
                None if other.is_retired => {}
                None => return None,
            }
        }
        Some(opens_at)
    }
}
