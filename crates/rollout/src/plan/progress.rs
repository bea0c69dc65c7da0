//! The progress of a rollout at one member.

use crate::Incarnation;
use serde::{Deserialize, Serialize};

/// The progress of a rollout at one member. The variants are in the order of the steps: of two copies the one
/// that is further wins, so that no step is repeated. The order is also part of the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum UpgradeState {
    /// Nothing was ordered.
    Pending,
    /// A permit was held for this incarnation, and the order to end it may have been sent.
    Ordered(Incarnation),
    /// It was observed healthy at this incarnation, and with the new version.
    Upgraded(Incarnation),
    /// As [`UpgradeState::Ordered`], for the restart with the previous version.
    RollbackOrdered(Incarnation),
    /// It was observed healthy, and not with the new version.
    RolledBack,
}

impl UpgradeState {
    /// Returns whether the member does not run the new version and was not ordered to.
    pub fn is_untouched(self) -> bool {
        matches!(self, UpgradeState::Pending | UpgradeState::RolledBack)
    }
}
