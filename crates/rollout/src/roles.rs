//! What of a group must stay, whatever its allowance: its primary before that is handed over, and a replica for reads.

use crate::bank::Cause;
use crate::{Bank, Kind, Place, Refusal};

impl Bank {
    /// What of its role forbids that a member goes out.
    pub(crate) fn role(&self, out: &[(Place, Cause)], place: Place) -> Option<Refusal> {
        if place.kind == Kind::Proxy {
            return None;
        }
        let primary = |place: &Place| self.sights.get(&place.id).is_some_and(|sight| sight.primary);
        let (mut primaries, mut replicas, mut kin) = (0, 0, 0);
        for other in self.roster.places().filter(|other| other.group == place.group && other.id != place.id) {
            kin += 1;
            if out.iter().any(|(gone, _)| gone.id == other.id) {
                continue;
            }
            if primary(other) {
                primaries += 1;
            } else {
                replicas += 1;
            }
        }
        if primary(&place) {
            return Some(Refusal::Primary);
        }
        if primaries == 0 {
            return Some(Refusal::NoPrimary);
        }
        // A group of two has no second replica: its primary serves the reads then.
        (replicas == 0 && kin > 1).then_some(Refusal::LastReplica)
    }
}
