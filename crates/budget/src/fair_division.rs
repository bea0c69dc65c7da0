//! Max-min fair division of an amount among holders.

use crate::{HolderId, Micros};
use std::collections::BTreeMap;
use twox_hash::XxHash3_64;

/// The interval at which the units that cannot be divided evenly move to other holders, so that with fewer
/// units than holders each holder gets its turn.
pub const ROTATION_PERIOD: Micros = 5_000_000;

/// The computed shares of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Division {
    /// The time of the computation.
    pub computed_at: Micros,
    /// The share of each holder, in units.
    pub shares: BTreeMap<HolderId, u64>,
}

/// A holder's position in the division: ordered by demand, with ties broken pseudo-randomly.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Claimant {
    demand: u64,
    tie_breaker: u64,
    holder: HolderId,
}

/// Divides an amount by max-min fairness: no holder gets more than its demand, and holders whose demand
/// cannot be met in full get equal shares. The remainder that cannot be divided evenly rotates among the
/// holders.
pub fn divide_max_min(
    amount: u64,
    now: Micros,
    demand: impl Iterator<Item = (HolderId, u64)>,
) -> BTreeMap<HolderId, u64> {
    let rotation = now.div_euclid(ROTATION_PERIOD);
    let mut claimants: Vec<Claimant> = demand
        .map(|(holder, demand)| Claimant { demand, tie_breaker: tie_breaker(holder, rotation), holder })
        .collect();
    claimants.sort_unstable();
    let mut left = amount;
    let mut shares = BTreeMap::new();
    // Smallest demand first. The remainder goes to the holders at the end, which have the largest demand or
    // the higher tie breaker.
    let mut claimants_left = claimants.len() as u64;
    for claimant in claimants {
        let share = claimant.demand.min(left / claimants_left);
        left -= share;
        claimants_left -= 1;
        shares.insert(claimant.holder, share);
    }
    shares
}

/// Returns a pseudo-random number that is stable for a holder within one rotation.
fn tie_breaker(holder: HolderId, rotation: Micros) -> u64 {
    XxHash3_64::oneshot(&[holder.to_le_bytes(), rotation.to_le_bytes()].concat())
}
