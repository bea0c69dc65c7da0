//! The queues of requests that wait for a member to become available, one for each group.

use super::{GroupId, Micros, RejectReason, RequestId, Router};
use std::cmp::Ordering;

/// A queued request's place in the order in which they are sent.
struct QueueRank {
    value_density: f64,
    arrived_at: Micros,
    id: RequestId,
}

impl QueueRank {
    /// Most value for the work first, then the newest, which has most time left.
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

    /// Tries to send the group's queued requests; what still cannot be sent is queued again.
    pub(super) fn dispatch_queued(&mut self, group: GroupId) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let queued = std::mem::take(&mut group.queued);
        let mut ranks: Vec<QueueRank> = queued.iter().filter_map(|id| self.queue_rank(*id)).collect();
        ranks.sort_unstable_by(QueueRank::compare);
        for rank in ranks {
            self.dispatch(rank.id);
        }
    }

    /// Tries to send the queued requests of all groups.
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
        let value_part = if is_in_time { 1.0 } else { class.late_weight };
        Some(QueueRank {
            value_density: class.priority_weight * value_part / self.usual_latency[pending.request.class.0],
            arrived_at: pending.arrived_at,
            id,
        })
    }
}
