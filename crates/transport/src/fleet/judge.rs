//! The driver of the members' health: it hands what is held of voices to the judgement, tells this router's own, and
//! passes the factors on to the broker where they change. It decides nothing itself.

use super::{key, Parts, Said};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use wharfplank_health::{Health, Verdict, Verdicts};
use wharfplank_routing::Micros;
use wharfplank_shared_state::hash_name;

/// The judgement, with the members' names for the log; bounded by what the judgement keeps and the broker retains.
pub struct Judge {
    /// The judgement.
    pub health: Health,
    names: BTreeMap<u64, String>,
    said: BTreeMap<u64, Verdict>,
    told: Vec<(u64, f64)>,
    due: Micros,
}

impl Judge {
    /// The judgement of the router at that address.
    pub fn new(me: SocketAddrV4) -> Judge {
        let (names, said) = (BTreeMap::new(), BTreeMap::new());
        Judge { health: Health::new(key(me)), names, said, told: Vec::new(), due: 0 }
    }

    /// See [`Health::listed`].
    pub(super) fn listed(&mut self, member: u64, name: &str, zone: &str, born_ms: i64) {
        self.health.listed(member, hash_name(zone), born_ms);
        self.names.insert(member, name.to_string());
    }

    /// See [`Health::retain`].
    pub(super) fn retain(&mut self, known: impl Fn(u64) -> bool) {
        self.health.retain(&known);
        self.names.retain(|member, _| known(*member));
        self.said.retain(|member, _| known(*member));
    }

    /// When it next looks at the voices.
    pub(super) fn due(&self) -> Micros {
        self.due
    }
}

/// Looks at the voices if that is due; the factors where they changed.
pub(super) fn judge(parts: &mut Parts, now: Micros) -> Option<Vec<(u64, f64)>> {
    let (Some(judge), Some(replica)) = (&mut parts.judge, &mut parts.replica) else { return None };
    if now < judge.due {
        return None;
    }
    judge.due = now + Verdicts::EVERY;
    let me = parts.peers.local_peer().clone();
    let router = |addr: SocketAddrV4, zone: &str| (key(addr), hash_name(zone));
    let others = parts.peers.live_peers().map(|peer| router(peer.addr, &peer.zone));
    judge.health.routers(others.chain([router(me.addr, &me.zone)]));
    for (member, voice) in judge.health.to_tell(now) {
        replica.record_health(now, member, key(me.addr), voice);
    }
    judge.health.decide(now, replica.health_observations());
    let Judge { health, names, said, .. } = judge;
    for (member, name) in names.iter() {
        let (verdict, was) = (health.verdict(*member), said.entry(*member).or_default());
        if std::mem::replace(was, verdict) != verdict {
            let (score, voices) = health.parts().1.score(*member);
            (parts.say)(Said::Member { name, verdict, score, voices });
        }
    }
    let factors = judge.health.factors();
    (factors != std::mem::replace(&mut judge.told, factors.clone())).then_some(factors)
}
