//! Which member serves a read: the closest replica that is new enough, a suspect on trial, or the primary.

use super::*;

/// Replicas within this share of the closest one's latency tie.
const BAND: f64 = 0.5;
/// A class that takes this many times as long as the shortest is long, and its reads may go to a replica this
/// many times as slow as those that tie.
const LONG: f64 = 4.0;
const KEEPER: f64 = 2.0;
/// Weight of own-zone traffic where ties go to the member that answered this router least lately.
const LOCAL_PULL: f64 = 0.5;
/// Requests' worth of lead that the router's own order of members gives among ties: routers with little
/// traffic keep to different members.
const OWN_ORDER: f64 = 2.0;
/// A read waits this long for its probe; a suspect's report is asked for anew after the second for each
/// router, since all of them ask.
const PROBE_WAIT: Micros = 30_000;
const REPORT_SHARED: Micros = 33_000;
/// How much faster than time a replica that is behind may catch up.
const CATCH_UP: Micros = 3;
/// A lag measured is trusted for this long, where members check reads themselves.
const LAG_TRUST: Micros = 2_000_000;

/// A replica that may take the read.
struct Open<'a> {
    host: HostId,
    m: &'a Member,
    close: f64,
    /// Its share of this router's traffic, with the router's own order of members.
    share: f64,
}

impl Router {
    /// The position a read needs; `None`, which comes before all positions: any will do.
    pub(super) fn minimum(&self, p: &Pending) -> Option<Micros> {
        match self.settings.classes[p.asked.class.0].consistency {
            Consistency::Any => None,
            Consistency::BoundedStaleness(bound) => Some(self.now - bound),
            Consistency::Session if self.settings.sessions_carry_tokens => {
                p.asked.last_write_age.map(|age| p.arrived.saturating_sub(age))
            }
            Consistency::Session => {
                let own = p.asked.session.and_then(|key| self.commits.get(&key).copied());
                own.or(self.commit_floor)
            }
            Consistency::Strong | Consistency::Write => Some(p.arrived),
        }
    }

    /// The member that a read goes to now; `None`: it is held.
    pub(super) fn read(&mut self, id: RequestId, group: GroupId) -> Option<HostId> {
        let now = self.now;
        let p = self.pending.get(&id)?;
        let (minimum, leader) = (self.minimum(p), self.leader(group));
        let checks = self.settings.stale_reads == StaleReadPolicy::Reject;
        // Trials: a suspect gets single safe reads at growing pauses; only an answer clears it.
        let trial = self.kin(group).find(|(h, m)| {
            let due = m.suspicion.as_ref().is_some_and(|s| s.trial_at <= now);
            m.status == EndpointStatus::Up && due && !p.shunned.contains(h)
        });
        let able = |(h, m): &(HostId, &Member)| checks || Some(*h) == leader || minimum <= Some(m.position);
        if let Some((host, _)) = trial.filter(able) {
            self.next_trial(host, group);
            return Some(host);
        }
        // Reads keep the reports of suspects young: one whose position moves on works again.
        let apart = REPORT_SHARED * Micros::from(self.settings.routers.max(3));
        let aged = self.kin(group).filter(|(_, m)| m.suspicion.is_some() && now - m.reported_at >= apart);
        let aged: Vec<HostId> = aged.map(|(host, _)| host).collect();
        aged.into_iter().for_each(|host| self.probe(host, ProbePurpose::SuspectRecovery));
        let p = self.pending.get(&id)?;
        let open = self.kin(group).filter(|(h, m)| {
            let free = Some(*h) != leader && !p.shunned.contains(h) && m.room(now);
            free && self.admits(id, m.zone) && m.usable() && self.budget(m) >= 1.0
        });
        let ranked = open.map(|(host, m)| {
            let lead = OWN_ORDER / RATE_SPAN * unit(self.settings.seed, host.0.into());
            let pull = if m.local { LOCAL_PULL } else { 1.0 };
            let close = self.closeness(m) * self.factors.get(&host).unwrap_or(&1.0);
            Open { host, m, close, share: (m.rate(now) * pull + lead) * close }
        });
        let mut order: Vec<Open> = ranked.filter(|c| c.close.is_finite()).collect();
        order.sort_by(|a, b| a.close.total_cmp(&b.close));
        let edge = order.first().map_or(0.0, |c| c.close * (1.0 + BAND));
        // Where the fleet decides zones in common, a near member wins over far ties while it can serve.
        let busy = |c: &Open| (self.shares.is_some() && !c.m.local, c.m.flights.len());
        let fresh = |within: f64| {
            let ties = order.iter().filter(|c| c.close <= within && minimum <= Some(c.m.position));
            ties.min_by(|a, b| busy(a).cmp(&busy(b)).then(a.share.total_cmp(&b.share))).map(|c| c.host)
        };
        // A replica may apply nothing while it holds a long read. One that needs no position goes to the same
        // replica from all routers, as long as it has room: the others stay fresh for the reads that do.
        let least = self.usual.iter().copied().fold(f64::MAX, f64::min);
        let long = minimum.is_none() && self.usual[p.asked.class.0] > LONG * least;
        let keeper = order.iter().filter(|c| long && c.close <= KEEPER * edge).map(|c| c.host).min();
        let (close, other) = (keeper.or_else(|| fresh(edge)), fresh(f64::MAX));
        if close.is_some() {
            return close;
        }
        // Not one that was seen so far behind that it cannot have caught up, and while that is young not
        // one that would still be short with all the time since. Ties are the router's own, as for sends.
        let tells = |c: &&Open| {
            let age = (now - c.m.seen_at).min(1 << 40);
            let gain = if age < 3 * REPORT_SHARED { age } else { CATCH_UP * age };
            minimum.is_some_and(|min| c.m.seen_at == 0 || c.m.position + gain >= min)
        };
        let near =
            order.iter().filter(|c| c.close <= edge).filter(tells).min_by(|a, b| a.share.total_cmp(&b.share));
        let worth = near.or_else(|| order.iter().find(tells)).filter(|_| self.settings.may_probe);
        if let (None, Some(&Open { host, .. })) = (p.probed, worth) {
            self.probe(host, ProbePurpose::ReadPosition);
            self.pending.get_mut(&id)?.probed = Some((host, now));
            return None;
        }
        let probing = |h: &HostId| self.members.get(h).is_some_and(|m| m.probe_sent.is_some());
        if p.probed.is_some_and(|(host, at)| now - at < PROBE_WAIT && probing(&host)) {
            return None;
        }
        // Members that check reads themselves may be taken at their last lag, and where the probe brought
        // no report: probes can fail at members that serve.
        let likely = order.iter().find(|c| {
            let unheard = p.probed.is_some_and(|(h, at)| h == c.host && c.m.seen_at < at);
            let near = now - c.m.seen_at < LAG_TRUST && minimum.is_some_and(|min| now - c.m.lag >= min);
            checks && (near || unheard)
        });
        // Another member that is known or likely to be fresh enough spares the primary.
        other.or(likely.map(|c| c.host)).or_else(|| self.ask_leader(id, group, true))
    }
}
