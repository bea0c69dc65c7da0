//! What members can hold, what is shed where answers come late, and what one that has just started may get.

use super::*;

/// Own requests in flight that a member may hold: answers within `QUICK` of the aim raise it, others lower.
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
/// Decay per µs. Within `PACE_SPAN` many answers do not move it faster; of few each counts as one of so many.
const SHED_DECAY: f64 = 0.07e-6;
const PACE_LEAST: f64 = 4.0;
/// Cores taken to work a queue off, the wait in usual times that lets none in, µs it is remembered.
const QUEUE_CORES: f64 = 4.0;
const QUEUE_MOST: f64 = 3.0;
const QUEUE_FORGET: f64 = 1e6;
/// The least rate of all routers' answers per µs, and the part of what fells a cold member that they send.
const LEAST_RATE: f64 = 4e-6;
const MARGIN: f64 = 0.9;
/// A cold member gets requests of up to so much mean work, and such that so many fit into what all may send.
const LIGHT: f64 = 2.0;
const HEAVY_LEAST: f64 = 6.0;
/// Answers that the first guess of what a class takes counts for.
const GUESSED: f64 = 4.0;

/// How much of the demand for one kind of member of a group is shed, as their answers show: `exp(-shed)` is
/// sent on. Unlike a limit it works with one in flight and any number of routers: each sheds its own demand.
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

/// A request in requests of mean work. A class seldom answered is measured by how guesses held for others.
pub(super) fn weight(works: &[[f64; 3]], class: ClassId) -> f64 {
    let [guess, answers, sum] = works[class.0];
    let least = works.iter().map(|w| w[0]).fold(f64::MAX, f64::min) * 0.01;
    let add = |[n, took, guessed]: [f64; 3], w: &[f64; 3]| [n + w[1], took + w[2], guessed + w[0] * w[1]];
    let [n, took, guessed] = works.iter().fold([0.01, least, least], add);
    (sum + GUESSED * guess * took / guessed) / (answers + GUESSED) * n / took
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
        let density = self.settings.classes[p.asked.class.0].worth / self.usual[p.asked.class.0];
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
        let span = self.settings.cold_span.max(1) as f64;
        let age = m.started.map_or(span, |at| (self.now - at).max(0) as f64);
        1.0 - (1.0 - self.settings.cold_from) * (1.0 - age / span).max(0.0)
    }

    /// What a member that may be cold may be sent, in requests of mean work: each µs, and now. It grows with
    /// what warm ones, of its group or all, answer to this router, times its capacity, so that all routers
    /// together do not fell it, and starts at a point of the router's own, so that not all send at once.
    pub(super) fn budget(&self, m: &Member) -> Option<(f64, f64)> {
        let capacity = Some(self.capacity(m)).filter(|capacity| *capacity < 1.0)?;
        let mean = |members: &mut dyn Iterator<Item = &Member>| {
            let warm = members.filter(|m| m.usable() && self.capacity(m) >= 1.0);
            let (sum, n) = warm.fold((0.0, 0.0), |(sum, n), m| (sum + m.rate(self.now), n + 1.0));
            sum / f64::max(n, 1.0)
        };
        let kin = mean(&mut self.kin(m.group).map(|(_, m)| m));
        let least = LEAST_RATE / f64::from(self.settings.routers.max(1));
        let mean = kin.max(mean(&mut self.members.values())).max(least);
        let rate = mean * capacity * self.settings.fall_multiple.max(1.0) * MARGIN;
        let most = 1.0 + rate * self.settings.fall_span as f64 * 0.1;
        Some((rate, (m.budget + rate * (self.now - m.budget_at).max(0) as f64).min(most)))
    }

    /// Whether a member may be sent this: a cold one nothing that is much of what all may send in the span.
    pub(super) fn able(&self, m: &Member, p: &Pending) -> bool {
        let Some((rate, budget)) = self.budget(m) else { return true };
        let fleet = rate * f64::from(self.settings.routers) * self.settings.fall_span as f64;
        budget >= 1.0 && weight(&self.works, p.asked.class) <= LIGHT.max(fleet / HEAVY_LEAST)
    }
}
