//! Slow start: how much a member that is warming up may be sent, so that all routers together do not overload
//! it.

use super::member::Member;
use super::random::unit_interval;
use super::{Micros, Router, SlowStartSends, SlowStartView};

/// The least rate of answers to all routers together, per µs, that is assumed of a warm member.
const LEAST_FLEET_RATE: f64 = 4e-6;
/// The part of the overload span that unused sends may accumulate over.
const BURST_PART: f64 = 0.1;

/// A member's start, and the sends that it has earned since. Sends are earned only while it may be warming
/// up.
#[derive(Default)]
pub(super) struct SlowStart {
    started_at: Option<Micros>,
    tokens: f64,
    updated_at: Micros,
    sent: SlowStartSends,
}

impl SlowStart {
    /// Begins anew for a process that started at `started_at`. The first send is due at a point of the
    /// router's own, so that not all routers send at once.
    pub(super) fn restart(&mut self, started_at: Micros, seed: u64, host: u32, now: Micros) {
        self.started_at = Some(started_at);
        self.tokens = unit_interval(seed, u64::from(host));
        self.updated_at = now;
        self.sent = SlowStartSends::default();
    }

    /// Uses one of `tokens`, which [`Router::send_budget`] gave at `now`, for a request of this work.
    pub(super) fn spend(&mut self, tokens: f64, work: f64, now: Micros) {
        self.tokens = tokens - 1.0;
        self.updated_at = now;
        self.sent.attempts += 1;
        self.sent.work += work;
    }
}

impl Router {
    /// Whether the member may be sent a request now, as far as slow start is concerned.
    pub(super) fn slow_start_admits(&self, member: &Member) -> bool {
        self.send_budget(member) >= 1.0
    }

    /// The sends that a member may get now. While it may be warming up they grow with what warm members of
    /// its group answer to this router, times its capacity, so that all routers together stay below what
    /// overloads it: warm members answer no more than they can do, so the overload multiple needs no further
    /// margin.
    pub(super) fn send_budget(&self, member: &Member) -> f64 {
        let capacity = self.least_capacity(member);
        if capacity >= 1.0 {
            return 1.0;
        }
        let rate = self.send_rate(member, capacity);
        let most = 1.0 + rate * self.settings.overload_span as f64 * BURST_PART;
        let elapsed = (self.now - member.slow_start.updated_at).max(0) as f64;
        (member.slow_start.tokens + rate * elapsed).min(most)
    }

    /// The sends per µs that a member with this part of its capacity may get.
    fn send_rate(&self, member: &Member, capacity: f64) -> f64 {
        self.warm_answer_rate(member) * capacity * self.settings.overload_multiple.max(1.0)
    }

    /// The members in slow start.
    pub fn slow_start_views(&self) -> impl Iterator<Item = SlowStartView> + '_ {
        self.members.iter().filter_map(|(host, member)| {
            let started_at = member.slow_start.started_at?;
            let capacity = Some(self.least_capacity(member)).filter(|capacity| *capacity < 1.0)?;
            Some(SlowStartView {
                host: *host,
                age: self.now - started_at,
                capacity,
                sends_per_second: self.send_rate(member, capacity) * 1e6,
                sent: member.slow_start.sent,
            })
        })
    }

    /// The least part of its capacity that a member may have, by the time since its start.
    fn least_capacity(&self, member: &Member) -> f64 {
        let span = self.settings.slow_start_span.max(1) as f64;
        let age = member.slow_start.started_at.map_or(span, |at| (self.now - at).max(0) as f64);
        1.0 - (1.0 - self.settings.slow_start_from) * (1.0 - age / span).max(0.0)
    }

    /// The rate of answers, per µs, that a warm member in this one's place would give to this router.
    fn warm_answer_rate(&self, member: &Member) -> f64 {
        let group_mean = self.mean_warm_rate(self.group_members(member.group).map(|(_, other)| other));
        let fleet_mean = self.mean_warm_rate(self.members.values());
        let least = LEAST_FLEET_RATE / f64::from(self.settings.routers.max(1));
        group_mean.max(fleet_mean).max(least)
    }

    /// The mean rate of answers of the usable warm members among these; 0 if there are none.
    fn mean_warm_rate<'a>(&self, members: impl Iterator<Item = &'a Member>) -> f64 {
        let warm = members.filter(|member| member.is_usable() && self.least_capacity(member) >= 1.0);
        let rates: Vec<f64> = warm.map(|member| member.answer_rate.at(self.now)).collect();
        rates.iter().sum::<f64>() / rates.len().max(1) as f64
    }
}
