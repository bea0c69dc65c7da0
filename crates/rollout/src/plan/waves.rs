//! The division of a rollout's members into waves.

use crate::NodeId;

/// Divides members, in this order, into waves that double in size. A wave with more members than may be
/// out of service at the same time is rounded up to a multiple of that number, because the last members
/// of a wave waste the part of the budget that they do not use.
pub(super) fn doubling_waves(members: &[NodeId], budget: usize) -> Vec<Vec<NodeId>> {
    let mut waves = Vec::new();
    let mut rest = members;
    let mut size = 1_usize;
    while !rest.is_empty() {
        if size > budget {
            size = size.next_multiple_of(budget.max(1));
        }
        // A last wave that would be smaller than this one is joined with it, which avoids one pause late
        // in the rollout.
        let take = if rest.len() < 2 * size { rest.len() } else { size };
        let (wave, later) = rest.split_at(take);
        waves.push(wave.to_vec());
        rest = later;
        size *= 2;
    }
    waves
}
