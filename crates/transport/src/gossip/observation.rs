//! The broker's observations, and how the gossip worker processes them.

use super::claim::ClaimRequest;
use super::driver::Driver;
use std::collections::BTreeSet;
use std::sync::Arc;
use wharfplank_failover::MemberOutcome;
use wharfplank_health::Outcome;
use wharfplank_routing::Micros;
use wharfplank_shared_state::{MemberStatus, WriteOutcome};

/// The broker's observation of whether a member answered.
#[derive(Clone, Debug)]
pub struct MemberContact {
    /// The member's zone.
    pub zone: Arc<str>,
    /// The member.
    pub member: u32,
    /// When the request to it was sent.
    pub sent_at: Micros,
    /// Whether it answered at all, even with an error; false if there was no connection or no answer in time.
    pub answered: bool,
}

/// An observation that the broker reports to the worker. Members and writes are identified by numbers that
/// are the same on all proxies, and `at` is on the broker's clock.
#[derive(Clone, Debug)]
pub(super) enum Observation {
    /// Whether a member answered, for the evaluation of its zone.
    Contact(MemberContact),
    /// The log position that a member stated itself.
    Position {
        at: Micros,
        member: u64,
        /// When the member was started, in Unix milliseconds.
        epoch: i64,
        position: Micros,
    },
    /// Whether this proxy suspects a member.
    MemberStatus { at: Micros, member: u64, status: MemberStatus },
    /// An increment of one of the fleet's counters.
    Counter { at: Micros, counter: u32 },
    /// The outcome of a write whose client received no success response.
    WriteOutcome { at: Micros, write: u64, outcome: WriteOutcome },
    /// A write that is about to be sent.
    ClaimWrite(ClaimRequest),
    /// A claimed write that was not executed.
    ReleaseWrite(ClaimRequest),
    /// A member of the endpoint list.
    EndpointListed(Box<ListedEndpoint>),
    /// The members that are still on the endpoint list.
    MembersRetained(BTreeSet<u64>),
    /// The outcome of a request to a member, for the evaluation of its health.
    RequestOutcome { at: Micros, member: u64, outcome: Outcome },
    /// The replication lag of a member.
    Lag { at: Micros, member: u64, lag: Micros },
}

/// A member of the endpoint list.
#[derive(Clone, Debug)]
pub(super) struct ListedEndpoint {
    pub(super) member: u64,
    pub(super) name: String,
    pub(super) zone: String,
    /// When the member was started, in Unix milliseconds.
    pub(super) started_at_ms: i64,
}

impl Driver {
    /// Processes an observation of the broker. For zones the time is when this thread receives the
    /// observation, since the stall that they account for is one of this thread.
    pub(super) fn on_observation(&mut self, now: Micros, observation: Observation) {
        let observation = match observation {
            Observation::ClaimWrite(claim) => return self.claim_write(claim),
            Observation::ReleaseWrite(claim) => return self.release_write(claim),
            other => other,
        };
        let offset = self.worker.clock_offset;
        let worker = &mut self.worker;
        match (observation, &mut worker.shared_state, &mut worker.health) {
            (Observation::Contact(contact), ..) if contact.answered => {
                worker.failover.record(now, &contact.zone, contact.member, MemberOutcome::Answered);
            }
            (Observation::Contact(contact), ..) => {
                let sent_at = contact.sent_at + offset;
                worker.failover.record_timeout(now, sent_at, &contact.zone, contact.member);
            }
            (Observation::Position { at, member, epoch, position }, Some(state), _) => {
                state.record_position(at + offset, member, epoch, position);
            }
            (Observation::MemberStatus { at, member, status }, Some(state), _) => {
                state.record_member_status(at + offset, member, status);
            }
            (Observation::Counter { at, counter }, Some(state), _) => {
                state.add_to_counter(at + offset, counter, 1);
            }
            (Observation::WriteOutcome { at, write, outcome }, Some(state), _) => {
                state.record_write_outcome(at + offset, write, outcome);
            }
            (Observation::EndpointListed(endpoint), _, Some(health)) => health.on_endpoint_listed(&endpoint),
            (Observation::MembersRetained(listed), _, Some(health)) => health.retain_members(&listed),
            (Observation::RequestOutcome { at, member, outcome }, _, Some(health)) => {
                health.record_request_outcome(at + offset, member, outcome);
            }
            (Observation::Lag { at, member, lag }, _, Some(health)) => {
                health.record_lag(at + offset, member, lag);
            }
            // The part that would process the observation is not enabled.
            _ => {}
        }
    }
}
