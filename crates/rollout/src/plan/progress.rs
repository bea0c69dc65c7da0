//! The progress of a rollout at one member.

use crate::Incarnation;
use serde::{Deserialize, Serialize};

/// The progress of a rollout at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum UpgradeState {
    /// Nothing was ordered.
    Pending,
    /// A permit was held for this incarnation, and the order to end it may have been sent.
    Ordered(Incarnation),
    /// It was observed healthy at this incarnation, and with the new version.
    Upgraded(Incarnation),
    /// As [`UpgradeState::Ordered`], to go back.
    RollbackOrdered(Incarnation),
    /// It was observed healthy, and not with the new version.
    RolledBack,
}

impl UpgradeState {
    /// Whether the member does not run the new version, and is under no order to.
    pub fn is_untouched(self) -> bool {
        matches!(self, UpgradeState::Pending | UpgradeState::RolledBack)
    }
}
