//! The queues of requests waiting for a member to become available, one per group.

use super::{GroupId, Micros, RejectReason, RequestId, Router};
use std::cmp::Ordering;

/// The rank of a queued request in the order of dispatch.
struct QueueRank {
    value_density: f64,
    arrived_at: Micros,
    id: RequestId,
}

impl QueueRank {
    /// Orders by highest value per work, then by newest arrival, which has the most time left.
    fn compare(&self, other: &Self) -> Ordering {
        let by_value = other.value_density.total_cmp(&self.value_density);
        by_value.then(other.arrived_at.cmp(&self.arrived_at)).then(self.id.cmp(&other.id))
    }
}

impl Router {
    /// Queues the request until a member of its group becomes available, or until it expires.
    pub(super) fn enqueue(&mut self, id: RequestId, group: GroupId) {
        let Some(group) = self.groups.get_mut(&group) else {
            return self.give_up(id, RejectReason::NoMember);
        };
        group.queued.insert(id);
        let Some(pending) = self.pending.get(&id) else { return };
        let expiry =
            self.first_queued_expiry.map_or(pending.useful_until, |first| first.min(pending.useful_until));
        self.first_queued_expiry = Some(expiry);
    }

    /// Dispatches the group's queued requests. Those that still cannot be sent are queued again.
    pub(super) fn dispatch_queued(&mut self, group: GroupId) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let queued = std::mem::take(&mut group.queued);
        let mut ranks: Vec<QueueRank> = queued.iter().filter_map(|id| self.queue_rank(*id)).collect();
        ranks.sort_unstable_by(QueueRank::compare);
        for rank in ranks {
            self.dispatch(rank.id);
        }
    }

    /// Dispatches the queued requests of all groups.
    pub(super) fn dispatch_all_queued(&mut self) {
        let groups: Vec<GroupId> = self.groups.keys().copied().collect();
        for group in groups {
            self.dispatch_queued(group);
        }
    }

    fn queue_rank(&self, id: RequestId) -> Option<QueueRank> {
        let pending = self.pending.get(&id)?;
        let class = &self.settings.classes[pending.request.class.0];
        let is_in_time = self.now - pending.arrived_at < class.latency_objective;
        let value_fraction = if is_in_time { 1.0 } else { class.late_weight };
        Some(QueueRank {
            value_density: class.priority_weight * value_fraction
                / self.typical_latency[pending.request.class.0],
            arrived_at: pending.arrived_at,
            id,
        })
    }
}
