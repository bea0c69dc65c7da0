//! The choice of the proxies that report on a member, by rendezvous hashing. All proxies choose the same
//! reporters from the proxies that are alive, so the number of observations of a member does not grow with
//! the fleet, and observations of other proxies are ignored.

use std::collections::BTreeSet;
use twox_hash::XxHash3_64;

/// The maximum number of proxies that report on one member.
pub const MAX_REPORTERS: usize = 16;
/// The maximum number of reporters that are preferred from the member's own zone, whose proxies use it most.
const MAX_LOCAL_REPORTERS: usize = 12;

/// A proxy that may report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proxy {
    /// The id of the proxy.
    pub id: u64,
    /// The id of its zone.
    pub zone: u64,
}

/// Returns the hash by which a member orders the proxies.
pub fn rendezvous_hash(member: u64, proxy: u64) -> u64 {
    let bytes = [member.to_le_bytes(), proxy.to_le_bytes()].concat();
    XxHash3_64::oneshot(&bytes)
}

/// Returns the reporters of a member, ordered by their hash. In a fleet of at most [`MAX_REPORTERS`] proxies
/// all are reporters.
pub fn sample_reporters(member: u64, zone: u64, proxies: &BTreeSet<Proxy>) -> Vec<u64> {
    let position = |proxy: &Proxy| (rendezvous_hash(member, proxy.id), proxy.id);
    let (mut local, mut remote): (Vec<Proxy>, Vec<Proxy>) =
        proxies.iter().partition(|proxy| proxy.zone == zone);
    local.sort_by_key(position);
    remote.sort_by_key(position);
    let local_reporters = MAX_LOCAL_REPORTERS.min(local.len());
    let other_local = local.split_off(local_reporters);
    let others = remote.into_iter().chain(other_local).take(MAX_REPORTERS - local_reporters);
    let mut reporters: Vec<u64> = local.into_iter().chain(others).map(|proxy| proxy.id).collect();
    reporters.sort_by_key(|proxy| rendezvous_hash(member, *proxy));
    reporters
}
