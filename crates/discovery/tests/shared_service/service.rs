//! A simulated discovery service that answers polls one by one.

use std::collections::VecDeque;

pub const MS: i64 = 1_000;
pub const SECOND: i64 = 1_000 * MS;
/// The longest time for which the service queues a poll.
const MAX_QUEUE_TIME: i64 = 2_300 * MS;
/// A watch keeps its place in the queue if it is continued within this time.
const CONTINUE_WITHIN: i64 = 200 * MS;
/// The full list takes this many times the service time of a watch.
const FULL_LIST_COST_FACTOR: i64 = 4;
/// The service time of refusing a poll.
const REFUSAL_COST: i64 = MS;

pub struct QueuedPoll {
    proxy: usize,
    queued_at: i64,
    is_full_list: bool,
    /// The time until which the client waits for the response.
    until: i64,
}

pub struct Service {
    pub service_time: i64,
    pub queue: VecDeque<QueuedPoll>,
    pub busy_until: i64,
    pub refused: usize,
    pub wasted: usize,
}

impl Service {
    /// Queues a poll. Returns false if it is refused.
    pub fn enqueue(&mut self, proxy: usize, now: i64, is_full_list: bool, until: i64) -> bool {
        if let Some(queued) = self
            .queue
            .iter_mut()
            .find(|queued| queued.proxy == proxy && !is_full_list && !queued.is_full_list)
        {
            if now <= queued.until + CONTINUE_WITHIN {
                (queued.until, queued.queued_at) = (until, now);
                return true;
            }
        }
        if (self.queue.len() as i64) * self.service_time >= MAX_QUEUE_TIME {
            self.refused += 1;
            self.busy_until = self.busy_until.max(now) + REFUSAL_COST;
            return false;
        }
        self.queue.push_back(QueuedPoll { proxy, queued_at: now, is_full_list, until });
        true
    }

    /// Returns the proxy that is answered now, and whether with the full list. A poll that has timed out
    /// still takes its service time.
    pub fn tick(&mut self, now: i64) -> Option<(usize, bool)> {
        if now < self.busy_until {
            return None;
        }
        let queued = self.queue.pop_front()?;
        self.busy_until =
            now + self.service_time * if queued.is_full_list { FULL_LIST_COST_FACTOR } else { 1 };
        let is_in_time = now <= queued.until && now - queued.queued_at <= MAX_QUEUE_TIME;
        self.wasted += usize::from(!is_in_time);
        is_in_time.then_some((queued.proxy, queued.is_full_list))
    }
}
