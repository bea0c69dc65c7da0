//! Slow start: how much a member that is warming up may be sent, so that all routers together do not overload
//! it.
//!
//! The settings give the work that overloads it: `overload_multiple` times what it can do within
//! `overload_span`. A router knows neither that nor what the others send. It issues itself permits in
//! proportion to what it is answered by warm members: they answer all routers together no more than one of
//! them can do, so that the permits of all routers together stay within the bound.

use super::event_rate::AVERAGING_SPAN;
use super::member::Member;
use super::random::{salted_hash, unit_interval};
use super::send_permits::{PermitSchedule, SendPermits, ValidPermits};
use super::{ClassId, EndpointStatus, HostId, Micros, Router, SlowStartSends, SlowStartView};

/// The requests of mean work that all routers together may send within the overload span, whatever is known
/// of warm members. Without them a fleet that has only just started would never learn anything.
const LEAST_FLEET_SENDS: f64 = 2.0;
/// A member survives its budget, and this many times the root of it for chance.
const CHANCE_SLACK: f64 = 2.0;
/// The part of that slack that permits may use: it would be needed only if all were used at once.
const SLACK_PART: f64 = 0.5;
/// A router that has had this many answers of each member lately, in the mean, tells members that are silent
/// for all from those that are for it alone.
const LEAST_ANSWERS: f64 = 4.0;
/// The mean of answers is measured anew after this span, in µs: a small part of what it is averaged over.
const WARM_RATE_INTERVAL: Micros = 50_000;
/// Requests of this much work or less may be sent whatever the budget: a member without any would never take
/// writes.
const LIGHT_WORK: f64 = 3.0;
/// The largest part of the fleet's budget that one request may be.
const LARGEST_BUDGET_PART: f64 = 1.0 / 8.0;
/// The overload span, in µs, where the settings have none.
const DEFAULT_OVERLOAD_SPAN: Micros = 1_000_000;

/// A member's start, and the permits to send to it since. They count only while it may be warming up.
#[derive(Default)]
pub(super) struct SlowStart {
    /// When the process started, on the members' clock.
    started_at: Option<Micros>,
    /// When the router was notified of it.
    notified_at: Micros,
    permits: SendPermits,
    last_sent_at: Option<Micros>,
    /// Nothing is sent before this time.
    held_until: Micros,
    sent: SlowStartSends,
}

impl SlowStart {
    /// Begins anew for a process that started at `started_at`. The first permit is issued at a point of the
    /// router's own, so that not all routers send at once.
    pub(super) fn restart(&mut self, started_at: Micros, phase: f64, overload_span: Micros, now: Micros) {
        // What was sent between the start and this news counts against the member's budget as well. A start
        // in the future is one of another clock, and may have been before anything.
        let earlier = self.last_sent_at.filter(|sent_at| *sent_at > started_at || started_at > now);
        self.held_until = earlier.map_or(now, |sent_at| sent_at + overload_span);
        self.started_at = Some(started_at);
        self.notified_at = now;
        self.permits.restart(phase, now);
        self.sent = SlowStartSends::default();
    }

    /// The least time since the process started, where `earliest_now` is the earliest time that it may be on
    /// the members' clock; `None` if it started long ago.
    fn least_age(&self, now: Micros, earliest_now: Micros) -> Option<Micros> {
        let listed_age = earliest_now - self.started_at?;
        Some(listed_age.max(now - self.notified_at))
    }
}

/// What a warm member answers to this router, as it was last measured.
#[derive(Default)]
pub(super) struct WarmAnswerRate {
    per_micro: f64,
    measured_at: Micros,
    /// No member is in slow start from then on, unless another one starts.
    needed_until: Micros,
}

impl WarmAnswerRate {
    /// The list has changed: the rate is measured with the next event.
    pub(super) fn expire(&mut self) {
        self.measured_at = Micros::MIN / 2;
    }
}

/// Permits for one request.
pub(super) struct RequestPermits {
    valid: ValidPermits,
    count: f64,
    work: f64,
}

impl Router {
    /// Begins the slow start of a member that the endpoint list has as started at `started_at`.
    pub(super) fn restart_slow_start(&mut self, host: HostId, started_at: Micros) {
        let phase = unit_interval(self.settings.seed, u64::from(host.0));
        let (span, now) = (self.overload_span(), self.now);
        let ends_at = started_at.max(now).saturating_add(self.settings.slow_start_span);
        self.warm_rate.needed_until = self.warm_rate.needed_until.max(ends_at);
        if let Some(member) = self.members.get_mut(&host) {
            member.slow_start.restart(started_at, phase, span, now);
        }
    }

    /// Whether the member may be sent a request of this class now, as far as slow start is concerned.
    pub(super) fn slow_start_admits(&self, host: HostId, member: &Member, class: ClassId) -> bool {
        !self.is_warming_up(member) || self.slow_start_permits(host, member, class).is_some()
    }

    /// Whether the member may be warming up.
    pub(super) fn is_warming_up(&self, member: &Member) -> bool {
        self.least_capacity(member) < 1.0
    }

    /// The permits that a request of this class uses at a member that is warming up; `None` if it may not be
    /// sent now, or needs none.
    pub(super) fn slow_start_permits(
        &self,
        host: HostId,
        member: &Member,
        class: ClassId,
    ) -> Option<RequestPermits> {
        if !self.is_warming_up(member) || self.now < member.slow_start.held_until {
            return None;
        }
        let valid = member.slow_start.permits.valid(self.permit_schedule(member), self.now);
        let work = self.request_work.of(class);
        // A few requests that are much of the budget would overload the member by chance.
        if work > LIGHT_WORK.max(self.fleet_budget(member) * LARGEST_BUDGET_PART) {
            return None;
        }
        // A request of more work than the valid permits stand for uses them all, and is sent only so seldom
        // that its work makes no difference in the mean.
        let is_admitted = valid.count >= 1.0 && self.draw_permit(host, valid) * work <= valid.count;
        is_admitted.then(|| RequestPermits { valid, count: work.min(valid.count), work })
    }

    /// A random number from 0 to 1 that belongs to a permit, whichever requests ask for it.
    fn draw_permit(&self, host: HostId, valid: ValidPermits) -> f64 {
        unit_interval(self.settings.seed, salted_hash(u64::from(host.0), &valid.number().to_le_bytes()))
    }

    /// Takes note that a request is sent to the member, with these permits if it is warming up.
    pub(super) fn record_slow_start_send(&mut self, host: HostId, permits: Option<RequestPermits>) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&host) else { return };
        member.slow_start.last_sent_at = Some(now);
        if let Some(RequestPermits { valid, count, work }) = permits {
            member.slow_start.permits.take(valid, count, now);
            member.slow_start.sent.attempts += 1;
            member.slow_start.sent.work += work;
        }
    }

    /// The members in slow start.
    pub fn slow_start_views(&self) -> impl Iterator<Item = SlowStartView> + '_ {
        self.members.iter().filter_map(|(host, member)| {
            let age = self.least_age(member)?;
            let capacity = Some(self.least_capacity(member)).filter(|capacity| *capacity < 1.0)?;
            Some(SlowStartView {
                host: *host,
                age,
                capacity,
                sends_per_second: self.permit_schedule(member).rate * 1e6,
                sent: member.slow_start.sent,
            })
        })
    }

    /// This router's part of what all may send the member within the overload span.
    fn permit_schedule(&self, member: &Member) -> PermitSchedule {
        let routers = f64::from(self.settings.routers.max(1));
        let budget = self.fleet_budget(member);
        let slack = SLACK_PART * CHANCE_SLACK * budget.sqrt();
        let arrivals = self.groups.get(&member.group).map_or(0.0, |group| group.arrivals.at(self.now));
        PermitSchedule::within((budget + slack) / routers, self.overload_span() as f64, arrivals)
    }

    /// What all routers together may send the member within the overload span, if all get as many answers as
    /// this one.
    fn fleet_budget(&self, member: &Member) -> f64 {
        let multiple = self.settings.overload_multiple * self.least_capacity(member);
        let routers = f64::from(self.settings.routers.max(1));
        let earned = self.warm_rate.per_micro * self.overload_span() as f64 * multiple * routers;
        earned.max(LEAST_FLEET_SENDS)
    }

    fn overload_span(&self) -> Micros {
        Some(self.settings.overload_span).filter(|span| *span > 0).unwrap_or(DEFAULT_OVERLOAD_SPAN)
    }

    /// The least time since the member's process started; `None` if that was long ago.
    fn least_age(&self, member: &Member) -> Option<Micros> {
        member.slow_start.least_age(self.now, self.member_clock.earliest_now(self.now))
    }

    /// The least part of its capacity that a member may have, by the time since its start.
    fn least_capacity(&self, member: &Member) -> f64 {
        let span = self.settings.slow_start_span.max(1) as f64;
        let age = self.least_age(member).map_or(span, |age| age as f64);
        1.0 - (1.0 - self.settings.slow_start_from) * (1.0 - age / span).max(0.0)
    }

    /// Measures anew what a warm member answers, if that was long ago and a member is in slow start. The mean
    /// is over all members, too many to count for each request.
    pub(super) fn refresh_warm_answer_rate(&mut self) {
        let is_due = self.now - self.warm_rate.measured_at >= WARM_RATE_INTERVAL;
        if is_due && self.now < self.warm_rate.needed_until {
            self.warm_rate.per_micro = self.measure_warm_answer_rate();
            self.warm_rate.measured_at = self.now;
        }
    }

    /// The answers per µs that this router gets from a warm member, in the mean over all that are listed.
    fn measure_warm_answer_rate(&self) -> f64 {
        let listed = self.members.values().filter(|member| member.status == EndpointStatus::Up);
        let warm: Vec<(f64, bool)> = listed
            .filter(|member| !self.is_warming_up(member))
            .map(|member| (member.answer_rate.at(self.now), member.is_usable()))
            .collect();
        let total: f64 = warm.iter().map(|(rate, _)| rate).sum();
        // A router with few answers suspects members by chance. If each left out others, all together would
        // find the mean larger than it is.
        let tells_silent_ones = total * AVERAGING_SPAN >= LEAST_ANSWERS * warm.len() as f64;
        let counted = warm.iter().filter(|(_, is_usable)| *is_usable || !tells_silent_ones);
        let (sum, count) = counted.fold((0.0, 0.0), |(sum, count), (rate, _)| (sum + rate, count + 1.0));
        sum / f64::max(count, 1.0)
    }
}
