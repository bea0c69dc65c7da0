//! Slow start: limits what is sent to a member that is warming up, so that all routers together do not
//! overload it.
//!
//! According to the settings a member is overloaded by `overload_multiple` times the work that it can do
//! within `overload_span`. A router knows neither a member's capacity nor what other routers send. It issues
//! itself permits in proportion to the rate at which an average warm member answers it. Over all routers
//! these rates add up to no more than the capacity of one member, so the permits of all routers together stay
//! within the bound.

use super::event_rate::AVERAGING_TIME_CONSTANT;
use super::member::Member;
use super::random::{salted_hash, unit_interval};
use super::send_permits::{PermitSchedule, SendPermits, ValidPermits};
use super::{ClassId, EndpointStatus, HostId, Micros, Router, SlowStartSends, SlowStartView};

/// The requests of mean work that all routers together may always send within the overload span. Without them
/// a fleet whose members have all just started would never get any answers to derive a rate from.
const MIN_FLEET_SENDS: f64 = 2.0;
/// A member tolerates its budget plus this many times the budget's square root, to allow for random
/// variation.
const VARIATION_SLACK: f64 = 2.0;
/// The fraction of that slack that permits may use. All of it would be needed only if all permits were used
/// at once.
const SLACK_FRACTION: f64 = 0.5;
/// With at least this many recent answers per member on average, a router can tell members that are silent
/// towards all routers from those that are silent only towards itself.
const MIN_ANSWERS: f64 = 4.0;
/// The interval, in µs, between measurements of the mean answer rate: a small fraction of its averaging time.
const WARM_RATE_INTERVAL: Micros = 50_000;
/// Requests up to this much work may be sent however small the budget is. Otherwise a primary with a small
/// budget would never take writes.
const LIGHT_REQUEST_WORK: f64 = 3.0;
/// The maximum fraction of the fleet's budget that one request may use.
const MAX_BUDGET_FRACTION: f64 = 1.0 / 8.0;
/// The overload span, in µs, where the settings have none.
const DEFAULT_OVERLOAD_SPAN: Micros = 1_000_000;

/// The start of a member's process, and the permits to send to it. The permits apply only while it may be
/// warming up.
#[derive(Default)]
pub(super) struct SlowStart {
    /// When the process started, on the members' clock.
    started_at: Option<Micros>,
    /// When the router was notified of the start.
    notified_at: Micros,
    permits: SendPermits,
    last_sent_at: Option<Micros>,
    /// No requests are sent before this time.
    blocked_until: Micros,
    sent: SlowStartSends,
}

impl SlowStart {
    /// Restarts for a process that started at `started_at`. `phase` differs by router and staggers the first
    /// permits, so that not all routers send at once.
    pub(super) fn restart(&mut self, started_at: Micros, phase: f64, overload_span: Micros, now: Micros) {
        // Requests sent between the start and its notification also count against the member's budget. A
        // start in the future was measured by another clock, so any earlier request may have been sent after
        // it.
        let earlier = self.last_sent_at.filter(|sent_at| *sent_at > started_at || started_at > now);
        self.blocked_until = earlier.map_or(now, |sent_at| sent_at + overload_span);
        self.started_at = Some(started_at);
        self.notified_at = now;
        self.permits.restart(phase, now);
        self.sent = SlowStartSends::default();
    }

    /// The minimum time since the process started, where `earliest_now` is the earliest possible current time
    /// on the members' clock; `None` if it started long ago.
    fn min_age(&self, now: Micros, earliest_now: Micros) -> Option<Micros> {
        let listed_age = earliest_now - self.started_at?;
        Some(listed_age.max(now - self.notified_at))
    }
}

/// The last measured rate of an average warm member's answers to this router.
#[derive(Default)]
pub(super) struct WarmAnswerRate {
    per_micro: f64,
    measured_at: Micros,
    /// The time from which on no member is in slow start, unless another one starts.
    needed_until: Micros,
}

impl WarmAnswerRate {
    /// Makes the rate be measured again with the next event, since the endpoint list has changed.
    pub(super) fn expire(&mut self) {
        self.measured_at = Micros::MIN / 2;
    }
}

/// The permits used by one request.
pub(super) struct RequestPermits {
    valid: ValidPermits,
    count: f64,
    work: f64,
}

impl Router {
    /// Begins the slow start of a member whose process started at `started_at`.
    pub(super) fn restart_slow_start(&mut self, host: HostId, started_at: Micros) {
        let phase = unit_interval(self.settings.seed, u64::from(host.0));
        let (span, now) = (self.overload_span(), self.now);
        let ends_at = started_at.max(now).saturating_add(self.settings.slow_start_span);
        self.warm_rate.needed_until = self.warm_rate.needed_until.max(ends_at);
        if let Some(member) = self.members.get_mut(&host) {
            member.slow_start.restart(started_at, phase, span, now);
        }
    }

    /// Whether slow start allows sending the member a request of this class now.
    pub(super) fn slow_start_admits(&self, host: HostId, member: &Member, class: ClassId) -> bool {
        !self.is_warming_up(member) || self.slow_start_permits(host, member, class).is_some()
    }

    /// Whether the member may be warming up.
    pub(super) fn is_warming_up(&self, member: &Member) -> bool {
        self.min_capacity(member) < 1.0
    }

    /// The permits that a request of this class uses at a member that is warming up; `None` if it may not be
    /// sent now, or needs none.
    pub(super) fn slow_start_permits(
        &self,
        host: HostId,
        member: &Member,
        class: ClassId,
    ) -> Option<RequestPermits> {
        if !self.is_warming_up(member) || self.now < member.slow_start.blocked_until {
            return None;
        }
        let valid = member.slow_start.permits.valid(self.permit_schedule(member), self.now);
        let work = self.request_work.of(class);
        // Requests that each use a large fraction of the budget could overload the member by random
        // coincidence.
        if work > LIGHT_REQUEST_WORK.max(self.fleet_budget(member) * MAX_BUDGET_FRACTION) {
            return None;
        }
        // A request of more work than the valid permits cover uses all of them. It is sent with a probability
        // that keeps the mean work sent within the permits.
        let is_admitted = valid.count >= 1.0 && self.draw_permit(host, valid) * work <= valid.count;
        is_admitted.then(|| RequestPermits { valid, count: work.min(valid.count), work })
    }

    /// A pseudo-random number from 0 to 1 that depends only on the permit, not on the request that asks for
    /// it.
    fn draw_permit(&self, host: HostId, valid: ValidPermits) -> f64 {
        unit_interval(self.settings.seed, salted_hash(u64::from(host.0), &valid.number().to_le_bytes()))
    }

    /// Records that a request is sent to the member, using these permits if it is warming up.
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

    /// Returns the members in slow start.
    pub fn slow_start_views(&self) -> impl Iterator<Item = SlowStartView> + '_ {
        self.members.iter().filter_map(|(host, member)| {
            let age = self.min_age(member)?;
            let capacity = Some(self.min_capacity(member)).filter(|capacity| *capacity < 1.0)?;
            Some(SlowStartView {
                host: *host,
                age,
                capacity,
                sends_per_second: self.permit_schedule(member).rate * 1e6,
                sent: member.slow_start.sent,
            })
        })
    }

    /// The schedule of this router's share of what all routers may send the member within the overload span.
    fn permit_schedule(&self, member: &Member) -> PermitSchedule {
        let routers = f64::from(self.settings.routers.max(1));
        let budget = self.fleet_budget(member);
        let slack = SLACK_FRACTION * VARIATION_SLACK * budget.sqrt();
        let arrivals = self.groups.get(&member.group).map_or(0.0, |group| group.arrivals.at(self.now));
        PermitSchedule::within((budget + slack) / routers, self.overload_span() as f64, arrivals)
    }

    /// The work that all routers together may send the member within the overload span, assuming that each
    /// gets as many answers as this one.
    fn fleet_budget(&self, member: &Member) -> f64 {
        let multiple = self.settings.overload_multiple * self.min_capacity(member);
        let routers = f64::from(self.settings.routers.max(1));
        let earned = self.warm_rate.per_micro * self.overload_span() as f64 * multiple * routers;
        earned.max(MIN_FLEET_SENDS)
    }

    fn overload_span(&self) -> Micros {
        Some(self.settings.overload_span).filter(|span| *span > 0).unwrap_or(DEFAULT_OVERLOAD_SPAN)
    }

    /// The minimum time since the member's process started; `None` if that was long ago.
    fn min_age(&self, member: &Member) -> Option<Micros> {
        member.slow_start.min_age(self.now, self.member_clock.earliest_now(self.now))
    }

    /// The minimum fraction of its capacity that the member has, according to the time since its start.
    fn min_capacity(&self, member: &Member) -> f64 {
        let span = self.settings.slow_start_span.max(1) as f64;
        let age = self.min_age(member).map_or(span, |age| age as f64);
        1.0 - (1.0 - self.settings.slow_start_from) * (1.0 - age / span).max(0.0)
    }

    /// Measures the answer rate of warm members again, if the last measurement is old and a member is in slow
    /// start. It is cached since it averages over all members, which is too slow for each request.
    pub(super) fn refresh_warm_answer_rate(&mut self) {
        let is_due = self.now - self.warm_rate.measured_at >= WARM_RATE_INTERVAL;
        if is_due && self.now < self.warm_rate.needed_until {
            self.warm_rate.per_micro = self.measure_warm_answer_rate();
            self.warm_rate.measured_at = self.now;
        }
    }

    /// The answers per µs that this router gets from a warm member, averaged over all that are listed.
    fn measure_warm_answer_rate(&self) -> f64 {
        let listed = self.members.values().filter(|member| member.status == EndpointStatus::Up);
        let warm: Vec<(f64, bool)> = listed
            .filter(|member| !self.is_warming_up(member))
            .map(|member| (member.answer_rate.at(self.now), member.is_usable()))
            .collect();
        let total: f64 = warm.iter().map(|(rate, _)| rate).sum();
        // A router with few answers suspects members by chance. If each router left out different members,
        // all of them together would overestimate the mean.
        let can_detect_silence = total * AVERAGING_TIME_CONSTANT >= MIN_ANSWERS * warm.len() as f64;
        let counted = warm.iter().filter(|(_, is_usable)| *is_usable || !can_detect_silence);
        let (sum, count) = counted.fold((0.0, 0.0), |(sum, count), (rate, _)| (sum + rate, count + 1.0));
        sum / f64::max(count, 1.0)
    }
}
