//! The broker's side of the gossip between proxies: reports what this proxy observes of members and writes to the
//! gossip thread, and translates what other proxies observed into the router's terms. Without peers every call does
//! nothing.

mod abandoned_writes;
mod member_index;
mod stall_detector;

use super::gossip::FleetCounter;
use abandoned_writes::AbandonedWrites;
use member_index::MemberIndex;
use stall_detector::StallDetector;
use std::collections::HashSet;
use std::sync::Arc;
use wharfplank_health::Outcome;
use wharfplank_protocol::endpoint_list::EndpointRecord;
use wharfplank_protocol::pipeline::FinalResponse;
use wharfplank_routing::{
    AttemptOutcome, Class, ClassId, HostId, Idempotency, Micros, PeerObservation, RequestId,
};
use wharfplank_shared_state::{hash_name, MemberStatus, StateUpdate, WriteOutcome};
use wharfplank_transport::gossip::{GossipHandle, MemberContact};

/// Reports to the gossip thread, and reads what it has received.
pub struct GossipClient {
    /// The gossip thread's inbox, where the settings name peers.
    thread: Option<GossipHandle>,
    members: MemberIndex,
    /// Members that this proxy has reported as suspected.
    reported_suspects: HashSet<HostId>,
    abandoned_writes: AbandonedWrites,
    /// By class: whether its requests must not run twice.
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
            abandoned_writes: AbandonedWrites::default(),
            not_idempotent: classes.iter().map(not_idempotent).collect(),
            stalls: StallDetector::default(),
        }
    }

    /// Reports to this gossip thread from now on.
    pub fn connect(&mut self, thread: GossipHandle) {
        self.thread = Some(thread);
    }

    /// Takes over a member's record from the endpoint list.
    pub fn update_member(&mut self, host: HostId, record: &EndpointRecord) {
        let Some(thread) = &self.thread else { return };
        let key = hash_name(&record.name);
        thread.on_endpoint_listed(key, &record.name, &record.zone, record.started_at_ms);
        self.members.insert(host, key, record);
    }

    /// Forgets the members for which `is_known` is false.
    pub fn retain_members(&mut self, is_known: impl Fn(&HostId) -> bool) {
        self.members.retain(is_known);
        if let Some(thread) = &self.thread {
            thread.retain_members(self.members.keys());
        }
    }

    /// Reports an attempt's outcome and latency for the health scores that the proxies share. An attempt that its
    /// member did not take, or that was taken back, tells nothing of the member's health.
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

    /// Reports whether a member answered what it was sent at `sent_at`, for the failover of its zone. Any answer shows
    /// that the member is reachable, no connection and no answer in time that it is not; other outcomes show neither.
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

    /// Reports a log position that a member stated itself, and its replication lag.
    pub fn report_position(&self, now: Micros, host: HostId, position: Option<Micros>) {
        let (Some(thread), Some(member)) = (&self.thread, self.members.get(host)) else { return };
        if let Some(position) = position {
            thread.record_position(now, member.key, member.started_at_ms, position);
            thread.record_lag(now, member.key, now - position);
        }
    }

    /// Reports the members that this proxy suspects now; one that it no longer suspects is reported as alive once.
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

    /// Counts a request's final answer in the totals of all proxies.
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

    /// The latency factors of members, by the router's ids instead of the keys that proxies share.
    pub fn latency_factors(&self, factors: &[(u64, f64)]) -> Vec<(HostId, f64)> {
        let known = factors.iter().filter_map(|(key, factor)| Some((self.members.host(*key)?, *factor)));
        known.collect()
    }

    /// What other proxies observed, in the router's terms. Positions past `latest_position` are invalid and left out, as
    /// are those of an earlier start of a member than the endpoint list has: their data may be lost.
    pub fn peer_observations(
        &self,
        updates: &[StateUpdate],
        latest_position: Micros,
    ) -> Vec<PeerObservation> {
        let observations = updates.iter().filter_map(|update| self.peer_observation(update));
        observations.filter(|observation| observation.position <= latest_position).collect()
    }

    fn peer_observation(&self, update: &StateUpdate) -> Option<PeerObservation> {
        let observation =
            |host, position, suspected_at| PeerObservation { host, position, suspected_at, traits: None };
        match *update {
            StateUpdate::Position { member, epoch, position } => {
                let host = self.members.host(member)?;
                let is_same_start = self.members.get(host)?.started_at_ms == epoch;
                is_same_start.then(|| observation(host, position, 0))
            }
            StateUpdate::Suspected { member, since } => {
                Some(observation(self.members.host(member)?, 0, since))
            }
            StateUpdate::Write(_) => None,
        }
    }

    /// Called at each turn of the event loop, to detect that the process was stalled.
    pub fn on_event_loop_turn(&mut self, now: Micros) {
        self.stalls.on_turn(now);
    }

    /// Whether the request of this client id may have run elsewhere: another proxy reported so, or this one was stalled
    /// until just now, and the client may have sent the request to another proxy meanwhile.
    pub fn may_have_run(&self, now: Micros, client_id: &str) -> bool {
        let Some(thread) = &self.thread else { return false };
        self.stalls.has_just_resumed(now) || thread.is_in_doubt(now, hash_name(client_id))
    }

    /// A request has failed after this number of attempts: one that is not idempotent may have run.
    pub fn on_request_failed(&self, now: Micros, class: ClassId, attempts: u32, client_id: &str) {
        if attempts > 0 && self.is_not_idempotent(class) {
            self.report_write(now, hash_name(client_id), WriteOutcome::InDoubt);
        }
    }

    /// A client disconnected while an attempt of its request was in flight: the request may run, until the attempt's
    /// outcome is known.
    pub fn on_request_abandoned(&mut self, now: Micros, id: RequestId, class: ClassId, client_id: &str) {
        if self.thread.is_some() && self.is_not_idempotent(class) {
            let write = hash_name(client_id);
            self.abandoned_writes.insert(id, write);
            self.report_write(now, write, WriteOutcome::InDoubt);
        }
    }

    /// An attempt has ended: reports what became of the write, if its client had disconnected.
    pub fn on_attempt_finished(&mut self, now: Micros, id: RequestId, outcome: AttemptOutcome) {
        if let Some(settled) = self.abandoned_writes.on_attempt_finished(id, outcome) {
            self.report_write(now, settled.write, settled.outcome);
        }
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
