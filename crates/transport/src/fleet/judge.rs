//! The driver of the members' health: it hands the replicated observations to the monitor, publishes this proxy's own, and
//! passes the factors on to the broker where they change. It decides nothing itself.

use super::{key, Parts, Said};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use wharfplank_health::{HealthMonitor, MemberScore, Proxy, Verdict, EVALUATION_INTERVAL};
use wharfplank_routing::Micros;
use wharfplank_shared_state::hash_name;

/// The judgement, with the members' names for the log; bounded by what the judgement keeps and the broker retains.
pub struct Judge {
    /// The judgement.
    pub health: HealthMonitor,
    names: BTreeMap<u64, String>,
    said: BTreeMap<u64, Verdict>,
    told: Vec<(u64, f64)>,
    due: Micros,
}

impl Judge {
    /// The judgement of the router at that address.
    pub fn new(me: SocketAddrV4) -> Judge {
        let (names, said) = (BTreeMap::new(), BTreeMap::new());
        Judge { health: HealthMonitor::new(key(me)), names, said, told: Vec::new(), due: 0 }
    }

    /// See [`HealthMonitor::track_member`].
    pub(super) fn listed(&mut self, member: u64, name: &str, zone: &str, born_ms: i64) {
        self.health.track_member(member, hash_name(zone), born_ms);
        self.names.insert(member, name.to_string());
    }

    /// See [`HealthMonitor::retain`].
    pub(super) fn retain(&mut self, known: impl Fn(u64) -> bool) {
        self.health.retain(&known);
        self.names.retain(|member, _| known(*member));
        self.said.retain(|member, _| known(*member));
    }

    /// When it next evaluates the observations.
    pub(super) fn due(&self) -> Micros {
        self.due
    }
}

/// Evaluates the observations if that is due. Returns the latency factors if they changed.
pub(super) fn judge(parts: &mut Parts, now: Micros) -> Option<Vec<(u64, f64)>> {
    let (Some(judge), Some(replica)) = (&mut parts.judge, &mut parts.replica) else { return None };
    if now < judge.due {
        return None;
    }
    judge.due = now + EVALUATION_INTERVAL;
    let me = parts.peers.local_peer().clone();
    let proxy = |addr: SocketAddrV4, zone: &str| Proxy { id: key(addr), zone: hash_name(zone) };
    let others = parts.peers.live_peers().map(|peer| proxy(peer.addr, &peer.zone));
    judge.health.set_proxies(others.chain([proxy(me.addr, &me.zone)]));
    for (member, observation) in judge.health.take_observations(now) {
        replica.record_health(now, member, key(me.addr), observation);
    }
    judge.health.evaluate(now, replica.health_observations());
    let Judge { health, names, said, .. } = judge;
    for (member, name) in names.iter() {
        let (verdict, was) = (health.verdict(*member), said.entry(*member).or_default());
        if std::mem::replace(was, verdict) != verdict {
            let MemberScore { score, reports: voices } = health.detector().score(*member);
            (parts.say)(Said::Member { name, verdict, score, voices });
        }
    }
    let factors = judge.health.latency_factors();
    (factors != std::mem::replace(&mut judge.told, factors.clone())).then_some(factors)
}
