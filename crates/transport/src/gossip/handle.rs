//! The broker's handle to the gossip worker.

use super::claim::ClaimRequest;
use super::observation::{ListedEndpoint, MemberContact, Observation};
use super::{PendingClaim, StallDetector, UpdateQueue};
use crate::worker::RingSender;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use wharfplank_health::Outcome;
use wharfplank_routing::Micros;
use wharfplank_shared_state::{MemberStatus, WriteOutcome};

/// Sends the broker's observations to the worker without waiting. If the ring is full they are dropped and
/// counted.
pub struct GossipHandle {
    pub(super) observations: RefCell<RingSender<Observation>>,
    /// The worker's updates, if state is shared.
    pub(super) updates: Option<Rc<RefCell<UpdateQueue>>>,
    pub(super) stall_detector: Arc<StallDetector>,
    /// The lead of the worker's clock over the broker's.
    pub(super) clock_offset: Micros,
    pub(super) evaluates_health: bool,
}

impl GossipHandle {
    /// Reports whether a member answered. A timeout wakes the worker; answers, which are frequent, wait until
    /// it is awake.
    pub fn record_contact(&self, contact: MemberContact) {
        if contact.answered {
            self.send_lazy(Observation::Contact(contact));
        } else {
            self.send(Observation::Contact(contact));
        }
    }

    /// Reports the log position that a member stated itself, with the time of the member's last start as its
    /// epoch.
    pub fn record_position(&self, now: Micros, member: u64, epoch: i64, position: Micros) {
        if self.shares_state() {
            self.send_lazy(Observation::Position { at: now, member, epoch, position });
        }
    }

    /// Reports whether this proxy suspects a member: repeatedly while it does, and once when it no longer
    /// does.
    pub fn record_member_status(&self, now: Micros, member: u64, status: MemberStatus) {
        if self.shares_state() {
            self.send(Observation::MemberStatus { at: now, member, status });
        }
    }

    /// Increments one of the fleet's counters.
    pub fn increment_counter(&self, now: Micros, counter: u32) {
        if self.shares_state() {
            self.send_lazy(Observation::Counter { at: now, counter });
        }
    }

    /// Reports the outcome of a write whose client received no success response. It takes effect on this
    /// thread at once, even if the worker is stalled.
    pub fn record_write_outcome(&self, now: Micros, write: u64, outcome: WriteOutcome) {
        if let Some(updates) = &self.updates {
            updates.borrow_mut().record_write_outcome(now + self.clock_offset, write, outcome);
            self.send(Observation::WriteOutcome { at: now, write, outcome });
        }
    }

    /// Returns whether this write may have been executed: according to the reports of any proxy, or because
    /// the worker is behind and its reports may be incomplete.
    pub fn is_in_doubt(&self, now: Micros, write: u64) -> bool {
        let Some(updates) = &self.updates else { return false };
        let is_behind =
            self.stall_detector.is_behind(now + self.clock_offset) && !self.observations.borrow().is_closed();
        is_behind || updates.borrow_mut().is_in_doubt(write)
    }

    /// Claims a write for a request that is about to send it. Returns `None` if no claim is needed, because no
    /// state is shared or the worker has ended.
    pub fn claim_write(&self, now: Micros, write: u64, request: u64) -> Option<PendingClaim> {
        self.send_claim(now, write, request, Observation::ClaimWrite)
    }

    /// Releases the claim of a request whose write was not executed.
    pub fn release_write(&self, now: Micros, write: u64, request: u64) -> Option<PendingClaim> {
        self.send_claim(now, write, request, Observation::ReleaseWrite)
    }

    fn send_claim(
        &self,
        now: Micros,
        write: u64,
        request: u64,
        observation: impl FnOnce(ClaimRequest) -> Observation,
    ) -> Option<PendingClaim> {
        if !self.shares_state() || self.observations.borrow().is_closed() {
            return None;
        }
        let (claim, pending) = PendingClaim::request(now, write, request);
        self.send(observation(claim));
        Some(pending)
    }

    /// Reports a member of the endpoint list, with the time of its last start in Unix milliseconds.
    pub fn on_endpoint_listed(&self, member: u64, name: &str, zone: &str, started_at_ms: i64) {
        if self.evaluates_health {
            let endpoint =
                ListedEndpoint { member, name: name.to_string(), zone: zone.to_string(), started_at_ms };
            self.send(Observation::EndpointListed(Box::new(endpoint)));
        }
    }

    /// Removes the members that are no longer on the endpoint list from the health evaluation.
    pub fn retain_members(&self, listed: impl Iterator<Item = u64>) {
        if self.evaluates_health {
            self.send(Observation::MembersRetained(listed.collect()));
        }
    }

    /// Reports the outcome of a request to a member, for the evaluation of its health.
    pub fn record_request_outcome(&self, now: Micros, member: u64, outcome: Outcome) {
        if self.evaluates_health {
            self.send_lazy(Observation::RequestOutcome { at: now, member, outcome });
        }
    }

    /// Reports the replication lag of a member.
    pub fn record_lag(&self, now: Micros, member: u64, lag: Micros) {
        if self.evaluates_health {
            self.send_lazy(Observation::Lag { at: now, member, lag });
        }
    }

    fn shares_state(&self) -> bool {
        self.updates.is_some()
    }

    fn send(&self, observation: Observation) {
        self.observations.borrow_mut().send(observation);
    }

    fn send_lazy(&self, observation: Observation) {
        self.observations.borrow_mut().send_lazy(observation);
    }
}
