//! What the broker tells the fleet, and what it hears from it, where proxies talk: which members answered or fell
//! silent, positions, suspicions, writes in doubt and counts. Without peers every call does nothing.

use super::gossip::FleetCounter;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use wharfplank_health::Outcome;
use wharfplank_protocol::endpoint_list::EndpointRecord;
use wharfplank_protocol::pipeline::FinalResponse;
use wharfplank_routing::{
    AttemptOutcome, Class, ClassId, HostId, Idempotency, Micros, PeerObservation, RequestId,
};
use wharfplank_shared_state::{hash_name, MemberStatus, StateUpdate, WriteOutcome};
use wharfplank_transport::fleet::{Seen, Witness, GAP, WAKING};

/// What the fleet knows a member by, on all proxies alike.
struct Site {
    zone: Arc<str>,
    key: u64,
    born_ms: i64,
}

/// The broker's side of the fleet's talk.
pub struct Talk {
    witness: Option<Witness>,
    /// Members by their numbers, and numbers by what the fleet knows them by; bounded as the broker's names are.
    sites: HashMap<HostId, Site>,
    hosts: HashMap<u64, HostId>,
    /// Members that this proxy has told its peers it suspects.
    marked: HashSet<HostId>,
    /// Writes whose clients went away while they were out, until their attempts end; bounded as attempts are.
    left: HashMap<RequestId, u64>,
    /// The classes whose requests must not run twice.
    fragile: Vec<bool>,
    /// When the broker last ran, and when it last woke from standing still: it tends its pools each second. What is read
    /// just after may have waited since before, and its client may have come back elsewhere.
    ran_at: Option<Micros>,
    woke_at: Option<Micros>,
}

impl Talk {
    /// No peers yet.
    pub fn new(classes: &[Class]) -> Talk {
        Talk {
            witness: None,
            sites: HashMap::new(),
            hosts: HashMap::new(),
            marked: HashSet::new(),
            left: HashMap::new(),
            fragile: classes.iter().map(|class| class.idempotency == Idempotency::NotIdempotent).collect(),
            ran_at: None,
            woke_at: None,
        }
    }

    /// Passes things on from now on.
    pub fn start(&mut self, witness: Witness) {
        self.witness = Some(witness);
    }

    /// A member as the list has it, by its number.
    pub fn listed(&mut self, host: HostId, listed: &EndpointRecord) {
        let Some(witness) = &self.witness else { return };
        let (key, born_ms) = (hash_name(&listed.name), listed.started_at_ms);
        witness.listed(key, &listed.name, &listed.zone, born_ms);
        let old = self.sites.get(&host).map(|site| &site.zone).filter(|zone| ***zone == *listed.zone);
        let zone = old.map_or_else(|| Arc::from(listed.zone.as_str()), Arc::clone);
        self.sites.insert(host, Site { zone, key, born_ms });
        self.hosts.insert(key, host);
    }

    /// Forgets members that the broker has forgotten.
    pub fn retain(&mut self, known: impl Fn(&HostId) -> bool) {
        self.sites.retain(|host, _| known(host));
        let sites = &self.sites;
        self.hosts.retain(|_, host| sites.contains_key(host));
        self.witness.iter().for_each(|witness| witness.retain(self.hosts.keys().copied()));
    }

    /// How an attempt of a class at a member ended, for the fleet's judgement of it: one that its member did not take,
    /// or that was taken back, tells nothing of how it does.
    pub fn tried(&self, now: Micros, host: HostId, class: ClassId, sent: Micros, ending: AttemptOutcome) {
        let (Some(witness), Some(site)) = (&self.witness, self.sites.get(&host)) else { return };
        let outcome = match ending {
            AttemptOutcome::Ok => Outcome::Answered { class: class.0, took: now - sent },
            AttemptOutcome::Error => Outcome::Failed,
            AttemptOutcome::Overloaded => Outcome::Refused,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Timeout => Outcome::Silent,
            AttemptOutcome::Misrouted
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => return,
        };
        witness.outcome(now, site.key, outcome);
    }

    /// The factors of members in the module's numbers.
    pub fn factors(&self, factors: &[(u64, f64)]) -> Vec<(HostId, f64)> {
        factors.iter().filter_map(|(member, factor)| Some((*self.hosts.get(member)?, *factor))).collect()
    }

    /// How what was sent to a member at `sent` ended: any answer is the member speaking, no connection or no answer in
    /// time is silence, and the rest tells nothing of its zone.
    pub fn saw(&self, host: HostId, sent: Micros, ending: AttemptOutcome) {
        let (Some(witness), Some(site)) = (&self.witness, self.sites.get(&host)) else { return };
        let answered = match ending {
            AttemptOutcome::Ok
            | AttemptOutcome::Error
            | AttemptOutcome::Misrouted
            | AttemptOutcome::Overloaded => true,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Timeout => false,
            AttemptOutcome::Reset | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => return,
        };
        witness.saw(Seen { zone: Arc::clone(&site.zone), member: host.0, sent, answered });
    }

    /// A position that a member told itself.
    pub fn learned(&self, now: Micros, host: HostId, position: Option<Micros>) {
        let (Some(witness), Some(site)) = (&self.witness, self.sites.get(&host)) else { return };
        if let Some(at) = position {
            witness.position(now, site.key, site.born_ms, at);
            witness.lags(now, site.key, now - at);
        }
    }

    /// What others learned, in the module's words; positions past `latest` are none. A position of another process of
    /// the member than the list has may be of data that it lost: it is not used.
    pub fn told(&self, news: &[StateUpdate], latest: Micros) -> Vec<PeerObservation> {
        let told = news.iter().filter_map(|news| {
            let (member, position, epoch, suspected_at) = match *news {
                StateUpdate::Position { member, epoch, position } => (member, position, Some(epoch), 0),
                StateUpdate::Suspected { member, since } => (member, 0, None, since),
                StateUpdate::Write(_) => return None,
            };
            let host = *self.hosts.get(&member)?;
            let same = epoch.is_none_or(|epoch| self.sites.get(&host).is_some_and(|s| s.born_ms == epoch));
            (same && position <= latest).then_some(PeerObservation {
                host,
                position,
                suspected_at,
                traits: None,
            })
        });
        told.collect()
    }

    /// The members that this proxy suspects now: told while it does, and once when it no longer does.
    pub fn suspicions(&mut self, now: Micros, suspected: impl Iterator<Item = HostId>) {
        let Some(witness) = &self.witness else { return };
        let suspected: HashSet<HostId> = suspected.collect();
        for host in suspected.union(&self.marked) {
            if let Some(site) = self.sites.get(host) {
                let status =
                    if suspected.contains(host) { MemberStatus::Suspected } else { MemberStatus::Alive };
                witness.suspects(now, site.key, status);
            }
        }
        self.marked = suspected;
    }

    /// The broker runs.
    pub fn runs(&mut self, now: Micros) {
        if self.ran_at.is_some_and(|at| now - at > GAP) {
            self.woke_at = Some(now);
        }
        self.ran_at = Some(now);
    }

    /// Whether the request of this id may have run: a proxy said so, or this one stood still until just now, and the
    /// client may have sent it elsewhere meanwhile.
    pub fn in_doubt(&self, now: Micros, id: &str) -> bool {
        let Some(witness) = &self.witness else { return false };
        let waking = self.woke_at.is_some_and(|at| now - at < WAKING);
        waking || witness.in_doubt(now, hash_name(id))
    }

    /// A request has failed after so many attempts: one that must not run twice may have run.
    pub fn failed(&self, now: Micros, class: ClassId, attempts: u32, id: &str) {
        if attempts > 0 && self.fragile.get(class.0) == Some(&true) {
            self.doubt(now, hash_name(id), WriteOutcome::InDoubt);
        }
    }

    /// A client went away with an attempt of its request out: it may run, and its end is awaited.
    pub fn gone(&mut self, now: Micros, request: RequestId, class: ClassId, id: &str) {
        if self.witness.is_some() && self.fragile.get(class.0) == Some(&true) {
            let write = hash_name(id);
            self.left.insert(request, write);
            self.doubt(now, write, WriteOutcome::InDoubt);
        }
    }

    /// An attempt ended: what that tells of a write whose client had gone.
    pub fn ended(&mut self, now: Micros, request: RequestId, ending: AttemptOutcome) {
        let Some(write) = self.left.remove(&request) else { return };
        match ending {
            AttemptOutcome::Ok => self.doubt(now, write, WriteOutcome::Executed),
            AttemptOutcome::Overloaded
            | AttemptOutcome::Misrouted
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::NotSent => self.doubt(now, write, WriteOutcome::NotExecuted),
            AttemptOutcome::Error
            | AttemptOutcome::Timeout
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled => {}
        }
    }

    /// A request got its final answer.
    pub fn answered(&self, now: Micros, answer: &FinalResponse) {
        let Some(witness) = &self.witness else { return };
        let counter = match answer {
            FinalResponse::Served(_) => FleetCounter::Served,
            FinalResponse::Rejected { .. } => FleetCounter::Rejected,
            _ => FleetCounter::Failed,
        };
        witness.count(now, counter.id());
    }

    fn doubt(&self, now: Micros, write: u64, outcome: WriteOutcome) {
        self.witness.iter().for_each(|witness| witness.doubt(now, write, outcome));
    }
}
