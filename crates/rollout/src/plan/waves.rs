//! The division of a rollout's members into waves.

use crate::NodeId;

/// Divides members, in this order, into waves that double in size. A wave of more members than may be out at once is
/// rounded up to a multiple of that number: the last members of a wave that do not use the whole budget waste the rest
/// of it.
pub(super) fn doubling_waves(members: &[NodeId], budget: usize) -> Vec<Vec<NodeId>> {
    let mut waves = Vec::new();
    let mut rest = members;
    let mut size = 1_usize;
    while !rest.is_empty() {
        if size > budget {
            size = size.next_multiple_of(budget.max(1));
        }
        // A last wave that would be smaller than this one joins it, which saves a pause late in the rollout.
        let take = if rest.len() < 2 * size { rest.len() } else { size };
        let (wave, later) = rest.split_at(take);
        waves.push(wave.to_vec());
        rest = later;
        size *= 2;
    }
    waves
}
