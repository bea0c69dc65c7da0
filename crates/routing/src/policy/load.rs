//! How much members can hold, as answers and reports tell; what is shed where answers come late; and what a
//! member that has just started may be sent, so that all routers together do not fell it.

use super::*;

/// Own requests in flight that a member may hold: at first, at least, at most. Answers within `QUICK`
/// of the aim raise it, later ones lower it by a share.
pub(super) const LIMIT: f64 = 4.0;
const LIMIT_LEAST: f64 = 1.0;
const LIMIT_MOST: f64 = 64.0;
const LIMIT_RISE: f64 = 2.0;
const LIMIT_CUT: f64 = 0.3;
const QUICK: f64 = 0.25;
/// An answer sheds this much for each part of its aim that it took beyond the target, and less below.
const SHED_STEP: f64 = 1.5;
const SHED_TARGET: f64 = 0.45;
const SHED_MOST: f64 = 3.0;
/// Decay per µs. Many answers within `PACE_SPAN` do not move it faster, and where fewer come than this,
/// each counts as one of so many: a single long one tells nothing of load.
const SHED_DECAY: f64 = 0.07e-6;
const PACE_LEAST: f64 = 4.0;
/// Cores taken to work a queue off, the wait in usual times that lets none in, µs it is remembered.
const QUEUE_CORES: f64 = 4.0;
const QUEUE_MOST: f64 = 3.0;
const QUEUE_FORGET: f64 = 1e6;
/// The least rate of all routers' answers per µs.
const LEAST_RATE: f64 = 4e-6;

/// How much of the demand for one kind of member of a group is shed, as all their answers show; the
/// part `exp(-shed)` is sent on. Unlike a limit it works with one request in flight, and with any
/// number of routers: each sheds a part of its own demand.
#[derive(Default)]
pub(super) struct Shed {
    value: f64,
    at: Micros,
}

impl Shed {
    /// Learns from an answer or a report, with `others` in flight there and that pace of the group's answers.
    pub(super) fn learn(&mut self, strain: f64, others: usize, pace: f64, now: Micros) {
        let weight = 1.0 / ((1.0 + others as f64) * (PACE_LEAST + pace));
        self.value = (self.at(now) + SHED_STEP * weight * (strain - SHED_TARGET)).clamp(0.0, SHED_MOST);
        self.at = now;
    }

    pub(super) fn at(&self, now: Micros) -> f64 {
        self.value * (-((now - self.at).max(0) as f64) * SHED_DECAY).exp()
    }
}

/// A number from 0 to 1 that the seed and a value decide.
pub(super) fn unit(seed: u64, value: u64) -> f64 {
    let mix = |x: u64, by: u64| (x ^ (x >> 31)).wrapping_mul(by);
    let mixed = mix(mix(seed ^ value, 0xbf58_476d_1ce4_e5b9), 0x94d0_49bb_1331_11eb);
    (mix(mixed, 1) >> 11) as f64 / (1_u64 << 53) as f64
}

impl Member {
    pub(super) fn room(&self, now: Micros) -> bool {
        (self.flights.len() as f64) < self.limit && self.waiting(now) < QUEUE_MOST
    }

    /// Usual times that a request would wait behind what the last report found queued.
    pub(super) fn waiting(&self, now: Micros) -> f64 {
        let age = (now - self.reported_at).clamp(0, 1 << 30) as f64;
        self.queue / QUEUE_CORES * (-age / QUEUE_FORGET).exp()
    }

    /// Learns from an answer after `quota` of the aim how much the member can hold.
    pub(super) fn learn(&mut self, quota: f64) {
        if quota > QUICK {
            self.limit = (self.limit * (1.0 - LIMIT_CUT * quota.min(2.0))).max(LIMIT_LEAST);
        } else if self.flights.len() as f64 + 1.0 >= self.limit / 2.0 {
            self.limit = (self.limit + (LIMIT_RISE / self.limit).min(1.0)).min(LIMIT_MOST);
        }
    }

    pub(super) fn rate(&self, now: Micros) -> f64 {
        self.rate * (-((now - self.rated_at).min(1 << 40) as f64) / RATE_SPAN).exp()
    }
}

impl Router {
    /// Answers of the group to this router within PACE_SPAN: the more, the less each may move.
    pub(super) fn pace(&self, group: GroupId) -> f64 {
        self.kin(group).map(|(_, m)| m.rate(self.now)).sum::<f64>() * PACE_SPAN
    }

    /// From 0 to 1, the request's own for each salt: holding it does not draw again.
    fn draw(&self, id: RequestId, salt: u64) -> f64 {
        let mixed = id.0.iter().fold(salt, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
        unit(self.settings.seed, mixed)
    }

    /// Whether this try is not shed: work of little worth goes first, further tries before first ones.
    pub(super) fn admitted(&self, id: RequestId, p: &Pending, primary: bool, weight: f64) -> bool {
        let shed =
            self.groups.get(&p.asked.group).map_or(0.0, |g| g.sheds[usize::from(primary)].at(self.now));
        let density = self.settings.classes[p.asked.class.0].priority_weight / self.usual[p.asked.class.0];
        let lightness = (self.density / density.max(1e-12)).clamp(0.1, 4.0);
        let tries = p.shunned.len() as u64;
        self.draw(id, tries) <= (-shed * lightness * (1 + tries) as f64 * weight).exp()
    }

    /// Whether a zone's share of reads takes this one.
    pub(super) fn admits(&self, id: RequestId, zone: u32) -> bool {
        let share = self.shares.as_ref().and_then(|shares| shares.get(&zone));
        share.is_none_or(|share| self.draw(id, zone.into()) < *share)
    }

    /// The least part of its capacity that a member may have, by the time since its start.
    fn capacity(&self, m: &Member) -> f64 {
        let span = self.settings.slow_start_span.max(1) as f64;
        let age = m.started.map_or(span, |at| (self.now - at).max(0) as f64);
        1.0 - (1.0 - self.settings.slow_start_from) * (1.0 - age / span).max(0.0)
    }

    /// The sends that a member may get now. While it may be cold they grow with what warm members of its
    /// group answer to this router, times its capacity, so all routers together stay below what fells it:
    /// warm members answer no more than they can do, so the fall multiple needs no further margin. They
    /// start at a point of the router's own, so that not all send at once.
    pub(super) fn budget(&self, m: &Member) -> f64 {
        let capacity = self.capacity(m);
        if capacity >= 1.0 {
            return 1.0;
        }
        let mean = |members: &mut dyn Iterator<Item = &Member>| {
            let warm = members.filter(|m| m.usable() && self.capacity(m) >= 1.0);
            let rates: Vec<f64> = warm.map(|m| m.rate(self.now)).collect();
            rates.iter().sum::<f64>() / rates.len().max(1) as f64
        };
        let kin = mean(&mut self.kin(m.group).map(|(_, m)| m));
        let least = LEAST_RATE / f64::from(self.settings.routers.max(1));
        let mean = kin.max(mean(&mut self.members.values())).max(least);
        let rate = mean * capacity * self.settings.overload_multiple.max(1.0);
        let most = 1.0 + rate * self.settings.overload_span as f64 * 0.1;
        (m.budget + rate * (self.now - m.budget_at).max(0) as f64).min(most)
    }
}
