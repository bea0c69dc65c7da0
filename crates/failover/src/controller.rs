//! Decides for one proxy which zones its reads may use.

use crate::failure_detector::{MemberOutcome, ZoneFailureDetector};
use crate::quorum::Quorum;
use crate::stall::StallDetector;
use crate::votes::{Vote, VoteVersion, DISTANT_PAST};
use crate::zone_state::{QuorumVerdict, ZoneState, ZoneStatus};
use crate::{FailoverTerms, Micros, PeerId, ZoneVote};
use std::collections::BTreeMap;

/// Zones decided about; a zone named past this keeps all of its reads.
pub const MAX_ZONES: usize = 64;
/// A Down vote is published again so many times within the span after which it expires at the peers.
const DOWN_REPEATS: Micros = 3;
/// While anything can change by the clock alone, zones are evaluated so many times in a window.
const EVALUATIONS_PER_WINDOW: Micros = 10;

/// What a proxy does that cannot reach a quorum of its fleet, or has no peers at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IsolationPolicy {
    /// It evacuates no zone: each member is the router's decision alone, as without this crate.
    #[default]
    KeepServing,
    /// It follows its own vote, as a quorum of one.
    FollowOwnVote,
}

/// The failover decision of one proxy.
#[derive(Clone, Debug, Default)]
pub struct FailoverController {
    terms: FailoverTerms,
    isolation: IsolationPolicy,
    detectors: BTreeMap<String, ZoneFailureDetector>,
    quorum: Quorum,
    zones: BTreeMap<String, ZoneStatus>,
    published: Vec<ZoneVote>,
    published_at: Micros,
    stall: StallDetector,
    /// Votes of peers past [`MAX_PEERS`](crate::MAX_PEERS) and mentions of zones past [`MAX_ZONES`], which are ignored.
    pub dropped: u64,
}

impl FailoverController {
    /// A proxy that has seen nothing yet.
    pub fn new(terms: FailoverTerms, isolation: IsolationPolicy) -> Self {
        FailoverController { terms, isolation, ..FailoverController::default() }
    }

    /// Records an outcome of a member of `zone`.
    pub fn record(&mut self, now: Micros, zone: &str, member: u32, outcome: MemberOutcome) {
        self.on_call(now);
        if self.register_zone(zone) {
            let detector = self.detectors.entry(zone.to_string()).or_default();
            detector.record(now, member, outcome, &self.terms);
        }
    }

    /// Records that what was sent to a member of `zone` at `sent_at` has timed out; see
    /// [`ZoneFailureDetector::record_timeout`].
    pub fn record_timeout(&mut self, now: Micros, sent_at: Micros, zone: &str, member: u32) {
        self.on_call(now);
        if !self.stall.is_before_resumption(sent_at) && self.register_zone(zone) {
            let detector = self.detectors.entry(zone.to_string()).or_default();
            detector.record_timeout(now, sent_at, member, &self.terms);
        }
    }

    /// Takes the votes of a peer, as in its newest note. The same note received again changes nothing.
    pub fn on_peer_votes(&mut self, now: Micros, peer: PeerId, version: VoteVersion, votes: &[ZoneVote]) {
        self.on_call(now);
        if self.quorum.has_ballot(peer, version) {
            return;
        }
        if !self.quorum.has_capacity_for(peer) {
            self.dropped += 1;
            return;
        }
        let votes = votes.iter().filter(|vote| self.register_zone(&vote.zone)).cloned().collect();
        // What is read after a stall may have waited since the stall began: a Down in it counts once it is repeated.
        let received_at = if self.is_catching_up(now) { DISTANT_PAST } else { now };
        self.quorum.record(peer, version, received_at, votes);
    }

    /// Sets the peers that are alive now; the votes of others do not count, and peers dead for long are forgotten.
    pub fn set_live_peers(&mut self, now: Micros, peers: impl Iterator<Item = PeerId>) {
        self.quorum.set_live_peers(now, peers);
    }

    /// This proxy's own vote on a zone.
    pub fn own_vote(&mut self, zone: &str, now: Micros) -> Vote {
        self.detectors.get_mut(zone).map_or(Vote::Unknown, |detector| detector.vote(now, &self.terms))
    }

    /// This proxy's votes, where they are to be published: they changed since the last call, or one of them is Down and
    /// has to be repeated.
    pub fn votes_to_publish(&mut self, now: Micros) -> Option<Vec<ZoneVote>> {
        let terms = &self.terms;
        let detectors = self.detectors.iter_mut();
        let votes: Vec<ZoneVote> =
            detectors.map(|(zone, detector)| ZoneVote::new(zone, detector.vote(now, terms))).collect();
        let has_down = votes.iter().any(|vote| vote.vote == Vote::Down);
        let repeats_down = has_down && now - self.published_at >= terms.vote_ttl / DOWN_REPEATS;
        if votes == self.published && !repeats_down {
            return None;
        }
        self.published = votes.clone();
        self.published_at = now;
        Some(votes)
    }

    /// Whether this proxy reaches too few of its fleet to count a quorum: it and the live peers are no majority of those
    /// alive within the last minute.
    pub fn is_isolated(&self) -> bool {
        self.quorum.is_isolated()
    }

    /// Whether a quorum of the live proxies says that a zone is down. An isolated proxy decides by its
    /// [`IsolationPolicy`].
    pub fn is_down_by_quorum(&mut self, zone: &str, now: Micros) -> bool {
        let own_vote = self.own_vote(zone, now);
        if self.is_isolated() {
            return self.isolation == IsolationPolicy::FollowOwnVote && own_vote == Vote::Down;
        }
        self.quorum.is_down(zone, own_vote, now, &self.terms)
    }

    /// Decides each zone's state anew; true where one changed.
    pub fn evaluate(&mut self, now: Micros) -> bool {
        self.on_call(now);
        let names: Vec<String> = self.zones.keys().cloned().collect();
        let mut has_changed = false;
        for name in names {
            let verdict = self.verdict(&name, now);
            if let Some(zone) = self.zones.get_mut(&name) {
                has_changed |= zone.update(now, verdict, &self.terms);
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

    /// The state of a zone.
    pub fn zone_state(&self, zone: &str) -> ZoneState {
        self.zones.get(zone).map_or(ZoneState::InService, ZoneStatus::state)
    }

    /// The part of its reads that a zone gets now: all, none while it is evacuated, and while it recovers a part that
    /// grows as a cold member's capacity does.
    pub fn read_share(&self, zone: &str, now: Micros) -> f64 {
        self.zone_state(zone).read_share(now, &self.terms)
    }

    /// Every zone that does not get all of its reads, with its part.
    pub fn reduced_shares(&self, now: Micros) -> Vec<(String, f64)> {
        let shares = self.zones.iter().map(|(name, zone)| (name, zone.state().read_share(now, &self.terms)));
        shares.filter(|(_, share)| *share < 1.0).map(|(name, share)| (name.clone(), share)).collect()
    }

    /// How many zones are decided about.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// How many peers' votes are held.
    pub fn voting_peer_count(&self) -> usize {
        self.quorum.ballot_count()
    }

    /// When something may change by the clock alone: a vote expires, a hold ends, a share grows.
    pub fn next_due(&self, now: Micros) -> Micros {
        let is_any_reduced = self.zones.values().any(|zone| zone.state() != ZoneState::InService);
        if is_any_reduced || !self.detectors.is_empty() {
            now + self.terms.window / EVALUATIONS_PER_WINDOW
        } else {
            Micros::MAX
        }
    }

    /// Notes that this proxy runs. One that was stalled (paused, starved) resumes to datagrams and time-outs of a past
    /// that the others have left behind: until it has read them it evacuates no zone, and time-outs of what it sent
    /// before do not count.
    fn on_call(&mut self, now: Micros) {
        if self.stall.on_call(now, self.terms.max_call_gap) {
            self.quorum.expire_down_votes();
        }
    }

    fn is_catching_up(&self, now: Micros) -> bool {
        self.stall.is_catching_up(now, self.terms.window)
    }

    /// Makes a zone one that is decided about; false where there are too many already.
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
