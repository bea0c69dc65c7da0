//! Max-min fair division of an amount among holders.

use crate::{HolderId, Micros};
use std::collections::BTreeMap;
use twox_hash::XxHash3_64;

/// Where there are fewer units than holders, the units rotate among the holders this often.
pub const ROTATION_PERIOD: Micros = 5_000_000;

/// How a budget was divided, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Division {
    /// When it was computed.
    pub computed_at: Micros,
    /// The share of each holder.
    pub shares: BTreeMap<HolderId, u64>,
}

/// A holder's place in the division: by demand, and at random within an equal demand.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Claimant {
    demand: u64,
    lottery: u64,
    holder: HolderId,
}

/// Divides by max-min fairness: nobody gets more than its demand, and whoever wants more than the others leave gets as
/// much as any other. What cannot be divided evenly rotates among the holders.
pub fn divide_max_min(
    amount: u64,
    now: Micros,
    demand: impl Iterator<Item = (HolderId, u64)>,
) -> BTreeMap<HolderId, u64> {
    let rotation = now.div_euclid(ROTATION_PERIOD);
    let mut claimants: Vec<Claimant> = demand
        .map(|(holder, demand)| Claimant { demand, lottery: lottery(holder, rotation), holder })
        .collect();
    claimants.sort_unstable();
    let mut left = amount;
    let mut shares = BTreeMap::new();
    // The smallest demand first. The remainder that does not divide goes to those that come last: they want most, or
    // drew the higher lottery number.
    let mut claimants_left = claimants.len() as u64;
    for claimant in claimants {
        let share = claimant.demand.min(left / claimants_left);
        left -= share;
        claimants_left -= 1;
        shares.insert(claimant.holder, share);
    }
    shares
}

/// The number that a holder draws in a rotation: the same at each call.
fn lottery(holder: HolderId, rotation: Micros) -> u64 {
    XxHash3_64::oneshot(&[holder.to_le_bytes(), rotation.to_le_bytes()].concat())
}
