//! The broker's interface to gossip between proxies. Reports this proxy's observations of members and writes
//! to the gossip thread, and converts the observations of other proxies to the router's representation. Every
//! call does nothing if no peers are configured.

mod member_index;
mod stall_detector;

use super::gossip::FleetCounter;
use member_index::MemberIndex;
use stall_detector::StallDetector;
use std::collections::HashSet;
use std::sync::Arc;
use wharfplank_health::Outcome;
use wharfplank_protocol::endpoint_list::EndpointRecord;
use wharfplank_protocol::pipeline::{FinalResponse, RequestNumber};
use wharfplank_routing::{
    AttemptOutcome, Class, ClassId, HostId, Idempotency, Micros, ObservationSource, PeerObservation,
};
use wharfplank_shared_state::{hash_name, MemberStatus, StateUpdate, WriteOutcome};
use wharfplank_transport::gossip::{GossipHandle, MemberContact, PendingClaim};

/// The broker's connection to the gossip thread.
pub struct GossipClient {
    /// The handle of the gossip thread, if the settings enable gossip.
    thread: Option<GossipHandle>,
    members: MemberIndex,
    /// Members that this proxy last reported as suspected.
    reported_suspects: HashSet<HostId>,
    /// For each class, whether its requests must not be executed twice.
    not_idempotent: Vec<bool>,
    stalls: StallDetector,
}

impl GossipClient {
    /// Creates a client without peers.
    pub fn new(classes: &[Class]) -> Self {
        let not_idempotent = |class: &Class| class.idempotency == Idempotency::NotIdempotent;
        GossipClient {
            thread: None,
            members: MemberIndex::default(),
            reported_suspects: HashSet::new(),
            not_idempotent: classes.iter().map(not_idempotent).collect(),
            stalls: StallDetector::default(),
        }
    }

    /// Connects the client to a gossip thread.
    pub fn connect(&mut self, thread: GossipHandle) {
        self.thread = Some(thread);
    }

    /// Adds or updates a member from its record in the endpoint list.
    pub fn update_member(&mut self, host: HostId, record: &EndpointRecord) {
        let Some(thread) = &self.thread else { return };
        let key = hash_name(&record.name);
        thread.on_endpoint_listed(key, &record.name, &record.zone, record.started_at_ms);
        self.members.insert(host, key, record);
    }

    /// Removes the members for which `is_known` returns false.
    pub fn retain_members(&mut self, is_known: impl Fn(&HostId) -> bool) {
        self.members.retain(is_known);
        if let Some(thread) = &self.thread {
            thread.retain_members(self.members.keys());
        }
    }

    /// Reports an attempt's outcome and latency for the health scores that the proxies share. Attempts that
    /// their member did not accept, or that were cancelled, say nothing about the member's health.
    pub fn report_attempt_health(
        &self,
        now: Micros,
        host: HostId,
        class: ClassId,
        sent_at: Micros,
        outcome: AttemptOutcome,
    ) {
        let (Some(thread), Some(member)) = (&self.thread, self.members.get(host)) else { return };
        let outcome = match outcome {
            AttemptOutcome::Ok => Outcome::Answered { class: class.0, latency: now - sent_at },
            AttemptOutcome::Error => Outcome::Error,
            AttemptOutcome::Overloaded => Outcome::Rejected,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Timeout => Outcome::Unreachable,
            AttemptOutcome::Misrouted
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => return,
        };
        thread.record_request_outcome(now, member.key, outcome);
    }

    /// Reports whether a member answered an attempt sent at `sent_at`, for the failover of its zone. Any
    /// answer shows that the member is reachable. A failed connection or a timeout shows that it is not.
    /// Other outcomes show neither.
    pub fn report_reachability(&self, host: HostId, sent_at: Micros, outcome: AttemptOutcome) {
        let (Some(thread), Some(member)) = (&self.thread, self.members.get(host)) else { return };
        let answered = match outcome {
            AttemptOutcome::Ok
            | AttemptOutcome::Error
            | AttemptOutcome::Misrouted
            | AttemptOutcome::Overloaded => true,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Timeout => false,
            AttemptOutcome::Reset | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => return,
        };
        let zone = Arc::clone(&member.zone);
        thread.record_contact(MemberContact { zone, member: host.0, sent_at, answered });
    }

    /// Reports a log position stated by the member itself, and its replication lag.
    pub fn report_position(&self, now: Micros, host: HostId, position: Option<Micros>) {
        let (Some(thread), Some(member)) = (&self.thread, self.members.get(host)) else { return };
        if let Some(position) = position {
            thread.record_position(now, member.key, member.started_at_ms, position);
            thread.record_lag(now, member.key, now - position);
        }
    }

    /// Reports the members that this proxy currently suspects. A member that is no longer suspected is
    /// reported once as alive.
    pub fn report_suspects(&mut self, now: Micros, suspects: impl Iterator<Item = HostId>) {
        let Some(thread) = &self.thread else { return };
        let suspects: HashSet<HostId> = suspects.collect();
        for host in suspects.union(&self.reported_suspects) {
            let Some(member) = self.members.get(*host) else { continue };
            let status = match suspects.contains(host) {
                true => MemberStatus::Suspected,
                false => MemberStatus::Alive,
            };
            thread.record_member_status(now, member.key, status);
        }
        self.reported_suspects = suspects;
    }

    /// Counts a request's final response in the totals of the fleet.
    pub fn count_answer(&self, now: Micros, answer: &FinalResponse) {
        let Some(thread) = &self.thread else { return };
        let counter = match answer {
            FinalResponse::Served(_) => FleetCounter::Served,
            FinalResponse::Rejected { .. } => FleetCounter::Rejected,
            FinalResponse::Failed | FinalResponse::Cancelled | FinalResponse::Malformed(_) => {
                FleetCounter::Failed
            }
        };
        thread.increment_counter(now, counter.id());
    }

    /// Returns the latency factors of members by the router's ids instead of the shared keys.
    pub fn latency_factors(&self, factors: &[(u64, f64)]) -> Vec<(HostId, f64)> {
        let known = factors.iter().filter_map(|(key, factor)| Some((self.members.host(*key)?, *factor)));
        known.collect()
    }

    /// Converts the observations of other proxies to the router's representation.
    ///
    /// Positions past `latest_position` are invalid and omitted. Positions from a different incarnation of a
    /// member than the listed one are omitted too, because its data may have been lost.
    pub fn peer_observations(
        &self,
        updates: &[StateUpdate],
        latest_position: Micros,
    ) -> Vec<PeerObservation> {
        let observations = updates.iter().filter_map(|update| self.peer_observation(update));
        observations.filter(|observation| observation.position <= latest_position).collect()
    }

    fn peer_observation(&self, update: &StateUpdate) -> Option<PeerObservation> {
        let observation = |host, position, suspected_at| PeerObservation {
            source: ObservationSource::Peer,
            host,
            position,
            suspected_at,
            traits: None,
        };
        match *update {
            StateUpdate::Position { member, epoch, position } => {
                let host = self.members.host(member)?;
                let is_same_incarnation = self.members.get(host)?.started_at_ms == epoch;
                is_same_incarnation.then(|| observation(host, position, 0))
            }
            StateUpdate::Suspected { member, since } => {
                Some(observation(self.members.host(member)?, 0, since))
            }
            StateUpdate::Write(_) => None,
        }
    }

    /// Records a turn of the event loop, to detect stalls of the process.
    pub fn on_event_loop_turn(&mut self, now: Micros) {
        self.stalls.on_turn(now);
    }

    /// Returns whether the request with this client id may already have been executed elsewhere. That is the
    /// case if another proxy has reported it, or if this process has just resumed from a stall, during which
    /// the client may have sent the request to another proxy.
    pub fn may_have_run(&self, now: Micros, client_id: &str) -> bool {
        let Some(thread) = &self.thread else { return false };
        self.stalls.has_just_resumed(now) || thread.is_in_doubt(now, hash_name(client_id))
    }

    /// Handles the failure of a request after this number of attempts: a request that is not idempotent may
    /// have been executed.
    pub fn on_request_failed(&self, now: Micros, class: ClassId, attempts: u32, client_id: &str) {
        if attempts > 0 && self.is_not_idempotent(class) {
            self.report_write(now, hash_name(client_id), WriteOutcome::InDoubt);
        }
    }

    /// Handles a request whose client does not wait for the response any more while an attempt that was sent
    /// is in flight. It stays in doubt even if this attempt turns out not to be executed: the client may have
    /// sent it again meanwhile.
    pub fn on_request_abandoned(&self, now: Micros, class: ClassId, client_id: &str) {
        if self.is_not_idempotent(class) {
            self.report_write(now, hash_name(client_id), WriteOutcome::InDoubt);
        }
    }

    /// Claims a write from the other proxies for a request that is about to send it. Returns `None` if the
    /// request needs no claim.
    pub fn claim_write(
        &self,
        now: Micros,
        class: ClassId,
        client_id: &str,
        number: RequestNumber,
    ) -> Option<PendingClaim> {
        let thread = self.thread.as_ref().filter(|_| self.is_not_idempotent(class))?;
        thread.claim_write(now, hash_name(client_id), number.0)
    }

    /// Releases the claim of a request whose write was not executed. Returns `None` if there are no peers.
    pub fn release_write(&self, now: Micros, client_id: &str, number: RequestNumber) -> Option<PendingClaim> {
        self.thread.as_ref()?.release_write(now, hash_name(client_id), number.0)
    }

    fn is_not_idempotent(&self, class: ClassId) -> bool {
        self.not_idempotent.get(class.0) == Some(&true)
    }

    fn report_write(&self, now: Micros, write: u64, outcome: WriteOutcome) {
        if let Some(thread) = &self.thread {
            thread.record_write_outcome(now, write, outcome);
        }
    }
}
