//! The failover decision of one proxy: which zones its reads may use.

use crate::failure_detector::{MemberOutcome, ZoneFailureDetector};
use crate::quorum::Quorum;
use crate::stall::StallDetector;
use crate::votes::{Vote, VoteVersion, DISTANT_PAST};
use crate::zone_state::{QuorumVerdict, ZoneState, ZoneStatus};
use crate::{FailoverConfig, Micros, PeerId, ZoneVote};
use std::collections::BTreeMap;

/// The maximum number of tracked zones. Any further zone keeps all of its reads.
pub const MAX_ZONES: usize = 64;
/// The number of times that a Down vote is published again within the span after which it expires at the
/// peers.
const DOWN_REPEATS_PER_TTL: Micros = 3;
/// The number of evaluations of the zones per window while anything can change by the passage of time alone.
const EVALUATIONS_PER_WINDOW: Micros = 10;

/// The behavior of a proxy that cannot reach a quorum of its fleet or has no peers at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IsolationPolicy {
    /// Evacuates no zone. The router decides about each member on its own, as it does without this crate.
    #[default]
    KeepServing,
    /// Follows its own vote, as a quorum of one.
    FollowOwnVote,
}

/// The failover controller of one proxy, which decides from its own outcomes and the votes of its peers.
#[derive(Clone, Debug, Default)]
pub struct FailoverController {
    config: FailoverConfig,
    isolation: IsolationPolicy,
    detectors: BTreeMap<String, ZoneFailureDetector>,
    quorum: Quorum,
    zones: BTreeMap<String, ZoneStatus>,
    published: Vec<ZoneVote>,
    published_at: Micros,
    stall: StallDetector,
    /// The number of ignored votes of peers beyond [`MAX_PEERS`](crate::MAX_PEERS) and ignored mentions of
    /// zones beyond [`MAX_ZONES`].
    pub dropped: u64,
}

impl FailoverController {
    /// Creates the controller of a proxy that has seen no outcomes yet.
    pub fn new(config: FailoverConfig, isolation: IsolationPolicy) -> Self {
        FailoverController { config, isolation, ..FailoverController::default() }
    }

    /// Records an outcome of a member of `zone`.
    pub fn record(&mut self, now: Micros, zone: &str, member: u32, outcome: MemberOutcome) {
        self.record_call(now);
        if self.register_zone(zone) {
            let detector = self.detectors.entry(zone.to_string()).or_default();
            detector.record(now, member, outcome, &self.config);
        }
    }

    /// Records the timeout of a request sent to a member of `zone` at `sent_at`; see
    /// [`ZoneFailureDetector::record_timeout`].
    pub fn record_timeout(&mut self, now: Micros, sent_at: Micros, zone: &str, member: u32) {
        self.record_call(now);
        if !self.stall.is_before_resumption(sent_at) && self.register_zone(zone) {
            let detector = self.detectors.entry(zone.to_string()).or_default();
            detector.record_timeout(now, sent_at, member, &self.config);
        }
    }

    /// Processes the votes from a peer's newest note. Receiving the same note again changes nothing.
    pub fn on_peer_votes(&mut self, now: Micros, peer: PeerId, version: VoteVersion, votes: &[ZoneVote]) {
        self.record_call(now);
        if self.quorum.has_votes(peer, version) {
            return;
        }
        if !self.quorum.has_capacity_for(peer) {
            self.dropped += 1;
            return;
        }
        let votes = votes.iter().filter(|vote| self.register_zone(&vote.zone)).cloned().collect();
        // Votes that are read after a stall may have been waiting since the stall began. A Down vote among
        // them counts once it is repeated.
        let received_at = if self.is_catching_up(now) { DISTANT_PAST } else { now };
        self.quorum.record(peer, version, received_at, votes);
    }

    /// Sets the peers that are alive now. The votes of other peers do not count, and peers that have been
    /// dead for a minute are forgotten.
    pub fn set_live_peers(&mut self, now: Micros, peers: impl Iterator<Item = PeerId>) {
        self.quorum.set_live_peers(now, peers);
    }

    /// Returns this proxy's own vote on a zone.
    pub fn own_vote(&mut self, zone: &str, now: Micros) -> Vote {
        self.detectors.get_mut(zone).map_or(Vote::Unknown, |detector| detector.vote(now, &self.config))
    }

    /// Returns this proxy's votes if they have to be published: because they changed since the last call,
    /// or because one of them is Down and is due to be repeated.
    pub fn votes_to_publish(&mut self, now: Micros) -> Option<Vec<ZoneVote>> {
        let config = &self.config;
        let detectors = self.detectors.iter_mut();
        let votes: Vec<ZoneVote> =
            detectors.map(|(zone, detector)| ZoneVote::new(zone, detector.vote(now, config))).collect();
        let has_down = votes.iter().any(|vote| vote.vote == Vote::Down);
        let repeats_down = has_down && now - self.published_at >= config.vote_ttl / DOWN_REPEATS_PER_TTL;
        if votes == self.published && !repeats_down {
            return None;
        }
        self.published = votes.clone();
        self.published_at = now;
        Some(votes)
    }

    /// Returns whether this proxy reaches too few of its fleet to form a quorum: no peer is alive, or it and
    /// the live peers are not a majority of the proxies that were alive within the last minute.
    pub fn is_isolated(&self) -> bool {
        self.quorum.is_isolated()
    }

    /// Returns whether a quorum of the live proxies considers a zone down. An isolated proxy decides by its
    /// [`IsolationPolicy`].
    pub fn is_down_by_quorum(&mut self, zone: &str, now: Micros) -> bool {
        let own_vote = self.own_vote(zone, now);
        if self.is_isolated() {
            return self.isolation == IsolationPolicy::FollowOwnVote && own_vote == Vote::Down;
        }
        self.quorum.is_down(zone, own_vote, now, &self.config)
    }

    /// Re-evaluates the state of each zone. Returns whether any state changed.
    pub fn evaluate(&mut self, now: Micros) -> bool {
        self.record_call(now);
        let names: Vec<String> = self.zones.keys().cloned().collect();
        let mut has_changed = false;
        for name in names {
            let verdict = self.verdict(&name, now);
            if let Some(zone) = self.zones.get_mut(&name) {
                has_changed |= zone.update(now, verdict, &self.config);
            }
        }
        has_changed
    }

    fn verdict(&mut self, zone: &str, now: Micros) -> QuorumVerdict {
        if !self.is_down_by_quorum(zone, now) {
            QuorumVerdict::NotDown
        } else if self.is_catching_up(now) {
            QuorumVerdict::PossiblyOutdatedDown
        } else {
            QuorumVerdict::Down
        }
    }

    /// Returns the state of a zone.
    pub fn zone_state(&self, zone: &str) -> ZoneState {
        self.zones.get(zone).map_or(ZoneState::InService, ZoneStatus::state)
    }

    /// Returns the fraction of its reads that a zone gets now: none while it is evacuated, and while it
    /// recovers a fraction that grows like the capacity of a cold member.
    pub fn read_share(&self, zone: &str, now: Micros) -> f64 {
        self.zone_state(zone).read_share(now, &self.config)
    }

    /// Returns the zones that do not get all of their reads, with their fractions.
    pub fn reduced_shares(&self, now: Micros) -> Vec<(String, f64)> {
        let shares = self.zones.iter().map(|(name, zone)| (name, zone.state().read_share(now, &self.config)));
        shares.filter(|(_, share)| *share < 1.0).map(|(name, share)| (name.clone(), share)).collect()
    }

    /// Returns the number of tracked zones.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Returns the number of peers whose votes are stored.
    pub fn voting_peer_count(&self) -> usize {
        self.quorum.stored_peer_count()
    }

    /// Returns the time at which something may change by the passage of time alone: a vote expires, a hold
    /// ends, or a share grows.
    pub fn next_due(&self, now: Micros) -> Micros {
        let is_any_reduced = self.zones.values().any(|zone| zone.state() != ZoneState::InService);
        if is_any_reduced || !self.detectors.is_empty() {
            now + self.config.window / EVALUATIONS_PER_WINDOW
        } else {
            Micros::MAX
        }
    }

    /// Records a call, to detect stalls. A proxy that was stalled (paused, or starved of CPU time) resumes
    /// with datagrams and timeouts that are outdated at the other proxies. Until it has read them it
    /// evacuates no zone, and timeouts of requests that it sent before the stall do not count.
    fn record_call(&mut self, now: Micros) {
        if self.stall.record_call(now, self.config.max_call_gap) {
            self.quorum.expire_down_votes();
        }
    }

    fn is_catching_up(&self, now: Micros) -> bool {
        self.stall.is_catching_up(now, self.config.window)
    }

    /// Starts tracking a zone. Returns false if too many zones are tracked already.
    fn register_zone(&mut self, zone: &str) -> bool {
        if self.zones.contains_key(zone) {
            return true;
        }
        if self.zones.len() >= MAX_ZONES {
            self.dropped += 1;
            return false;
        }
        self.zones.insert(zone.to_string(), ZoneStatus::default());
        true
    }
}
