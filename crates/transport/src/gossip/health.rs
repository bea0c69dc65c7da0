//! The driver of the health evaluation: passes the fleet's observations of members to the evaluation, shares
//! this proxy's own, and reports changed latency factors to the broker. It makes no decisions itself.

use super::driver::Driver;
use super::observation::ListedEndpoint;
use super::{peer_key, GossipLogEvent, GossipUpdate, LogGossip};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use wharfplank_health::{HealthMonitor, MemberScore, Outcome, Proxy, Verdict, EVALUATION_INTERVAL};
use wharfplank_routing::Micros;
use wharfplank_shared_state::hash_name;

/// The score from which this proxy's own observation of a member is logged.
const LOGGED_SCORE: f64 = 0.2;

/// The health monitor, with the members' names for the log. Its size is bounded by the members that the
/// monitor tracks and the broker retains.
pub struct HealthEvaluator {
    monitor: HealthMonitor,
    member_names: BTreeMap<u64, String>,
    logged_verdicts: BTreeMap<u64, Verdict>,
    reported_factors: Vec<(u64, f64)>,
    next_evaluation_at: Micros,
}

impl HealthEvaluator {
    /// Creates the evaluator of the proxy at this address.
    pub fn new(local_addr: SocketAddrV4) -> HealthEvaluator {
        HealthEvaluator {
            monitor: HealthMonitor::new(peer_key(local_addr)),
            member_names: BTreeMap::new(),
            logged_verdicts: BTreeMap::new(),
            reported_factors: Vec::new(),
            next_evaluation_at: 0,
        }
    }

    pub(super) fn on_endpoint_listed(&mut self, endpoint: &ListedEndpoint) {
        self.monitor.track_member(endpoint.member, hash_name(&endpoint.zone), endpoint.started_at_ms);
        self.member_names.insert(endpoint.member, endpoint.name.clone());
    }

    pub(super) fn retain_members(&mut self, listed: &BTreeSet<u64>) {
        self.monitor.retain(|member| listed.contains(&member));
        self.member_names.retain(|member, _| listed.contains(member));
        self.logged_verdicts.retain(|member, _| listed.contains(member));
    }

    pub(super) fn record_request_outcome(&mut self, at: Micros, member: u64, outcome: Outcome) {
        self.monitor.record(at, member, outcome);
    }

    pub(super) fn record_lag(&mut self, at: Micros, member: u64, lag: Micros) {
        self.monitor.record_lag(at, member, lag);
    }

    pub(super) fn next_evaluation_at(&self) -> Micros {
        self.next_evaluation_at
    }

    fn log_changed_verdicts(&mut self, log: LogGossip) {
        for (member, name) in &self.member_names {
            let verdict = self.monitor.verdict(*member);
            let logged = self.logged_verdicts.entry(*member).or_default();
            if *logged == verdict {
                continue;
            }
            *logged = verdict;
            let MemberScore { score, reports: observers } = self.monitor.detector().score(*member);
            log(GossipLogEvent::MemberHealthChanged { name, verdict, score, observers });
        }
    }

    /// Logs the members that are in question, and those that this proxy observed as worse than others.
    fn log_observations(&self, log: LogGossip) {
        let detector = self.monitor.detector();
        for (member, name) in &self.member_names {
            let own = self.monitor.own_observations().get(member);
            let is_noteworthy = own.is_some_and(|own| own.score() >= LOGGED_SCORE);
            if is_noteworthy || detector.is_in_question(*member) {
                let MemberScore { score, reports: observers } = detector.score(*member);
                log(GossipLogEvent::MemberObserved { name, own, score, observers });
            }
        }
    }

    /// Returns the latency factors if they have changed since they were last returned.
    fn take_changed_factors(&mut self) -> Option<Vec<(u64, f64)>> {
        let factors = self.monitor.latency_factors();
        if factors == self.reported_factors {
            return None;
        }
        self.reported_factors = factors.clone();
        Some(factors)
    }
}

impl Driver {
    /// Evaluates the health of members if that is due, and reports the latency factors if they have changed.
    pub(super) fn evaluate_health(&mut self, now: Micros) {
        let worker = &mut self.worker;
        let (Some(evaluator), Some(shared_state)) = (&mut worker.health, &mut worker.shared_state) else {
            return;
        };
        if now < evaluator.next_evaluation_at {
            return;
        }
        evaluator.next_evaluation_at = now + EVALUATION_INTERVAL;
        let local_peer = worker.membership.local_peer();
        let proxy = |addr: SocketAddrV4, zone: &str| Proxy { id: peer_key(addr), zone: hash_name(zone) };
        let remote_proxies = worker.membership.live_peers().map(|peer| proxy(peer.addr, &peer.zone));
        let local_proxy = proxy(local_peer.addr, &local_peer.zone);
        evaluator.monitor.set_proxies(remote_proxies.chain([local_proxy]));
        for (member, observation) in evaluator.monitor.take_observations(now) {
            shared_state.record_health(now, member, peer_key(local_peer.addr), observation);
        }
        evaluator.monitor.evaluate(now, shared_state.health_observations());
        evaluator.log_observations(worker.log);
        evaluator.log_changed_verdicts(worker.log);
        if let Some(factors) = evaluator.take_changed_factors() {
            self.updates.send(GossipUpdate::MemberFactors(factors));
        }
    }
}
