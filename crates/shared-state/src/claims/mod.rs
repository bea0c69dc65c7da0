//! Claims of writes, which keep two proxies from sending the same write.
//!
//! Before a proxy sends a write that must not be executed twice, it claims the write at the write's
//! registrars: up to [`REGISTRARS`] proxies that every proxy derives from the write and the live peers. Each
//! registrar grants a write to one claim only, and a claim is granted once a majority of the registrars has
//! granted it. Majorities overlap, so of two claims of a write at most one is granted. A claim is released
//! only if its write was not executed; otherwise it stays until its time to live is over, even if its proxy
//! ends.
//!
//! Without a majority within [`CLAIM_TIMEOUT`] the claim is unavailable, and the write must not be sent. Live
//! peers that never answer claims, as those of an earlier version, do not count.

mod registrars;
mod registry;

pub use registrars::REGISTRARS;
pub use registry::{ClaimRegistry, MAX_REGISTERED_CLAIMS};

use crate::Micros;
use registrars::{RegistrarPeers, Registrars};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// The maximum time until a claim is decided.
pub const CLAIM_TIMEOUT: Micros = 100_000;
/// The interval at which a claim is sent again to the registrars that have not answered.
const RESEND_INTERVAL: Micros = 20_000;
/// The maximum number of claims and releases that wait for answers.
pub const MAX_PENDING_CLAIMS: usize = 4096;

/// Identifies the claim of one request of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The process.
    pub process: u64,
    /// The number of the request within the process; later requests have greater numbers.
    pub request: u64,
}

impl ClaimId {
    fn is_same_or_replaces(self, holder: ClaimId) -> bool {
        self.process == holder.process && self.request >= holder.request
    }
}

/// The decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The write may be sent.
    Granted,
    /// The write was or may have been sent under another claim.
    Denied,
    /// The registrars did not answer in time, so it is not known whether the write was sent before.
    Unavailable,
}

/// A message between a claiming proxy and a registrar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Requests that a claim be registered.
    Register {
        /// The write.
        write: u64,
        /// The claim.
        claim: ClaimId,
    },
    /// The claim holds the write at the sender.
    Granted(ClaimId),
    /// The write is held by another claim at the sender, or is in doubt.
    Denied(ClaimId),
    /// Requests that a claim be removed: its write was not executed.
    Release {
        /// The write.
        write: u64,
        /// The claim.
        claim: ClaimId,
    },
    /// The sender does not hold the claim any more.
    Released(ClaimId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Register,
    Release,
}

/// A claim or a release that waits for the answers of the registrars.
#[derive(Debug)]
struct PendingClaim {
    write: u64,
    purpose: Purpose,
    registrars: Registrars,
    answered: BTreeSet<SocketAddrV4>,
    resend_at: Micros,
    expires_at: Micros,
}

impl PendingClaim {
    fn message(&self, claim: ClaimId) -> ClaimMessage {
        match self.purpose {
            Purpose::Register => ClaimMessage::Register { write: self.write, claim },
            Purpose::Release => ClaimMessage::Release { write: self.write, claim },
        }
    }

    /// Returns whether a majority has answered if `peers` of the registrars besides this proxy count.
    fn has_majority_of(&self, peers: usize) -> bool {
        let local = usize::from(self.registrars.includes_local);
        self.answered.len() + local > (peers + local) / 2
    }
}

/// The claims of one proxy and the claims that it has registered for others.
#[derive(Debug)]
pub struct WriteClaims {
    process: u64,
    local_address: SocketAddrV4,
    registry: ClaimRegistry,
    peers: RegistrarPeers,
    /// By the number of the request.
    pending: BTreeMap<u64, PendingClaim>,
    decisions: Vec<(u64, ClaimDecision)>,
    outgoing: Vec<(SocketAddrV4, ClaimMessage)>,
}

impl WriteClaims {
    /// Creates the claims of a process. Peers know it by `local_address`.
    pub fn new(process: u64, local_address: SocketAddrV4) -> WriteClaims {
        WriteClaims {
            process,
            local_address,
            registry: ClaimRegistry::new(MAX_REGISTERED_CLAIMS),
            peers: RegistrarPeers::default(),
            pending: BTreeMap::new(),
            decisions: Vec::new(),
            outgoing: Vec::new(),
        }
    }

    /// Sets the peers that are currently alive.
    pub fn set_live_peers(&mut self, live: &BTreeSet<SocketAddrV4>) {
        self.peers.set_live(live);
    }

    /// Claims a write for a request of this process. The decision follows within [`CLAIM_TIMEOUT`], at once
    /// if the write is known to be in doubt or held by another claim here.
    pub fn claim(&mut self, now: Micros, write: u64, request: u64, is_in_doubt: bool) {
        let claim = self.claim_id(request);
        if is_in_doubt || self.registry.is_held_by_other(write, claim) {
            return self.decide(request, ClaimDecision::Denied);
        }
        if self.pending.len() >= MAX_PENDING_CLAIMS {
            return self.decide(request, ClaimDecision::Unavailable);
        }
        self.registry.register(now, write, claim);
        self.begin(now, write, request, Purpose::Register);
    }

    /// Releases the claim of a request whose write was not executed. The decision [`ClaimDecision::Granted`]
    /// follows once a majority of the registrars has removed the claim, or after [`CLAIM_TIMEOUT`].
    pub fn release(&mut self, now: Micros, write: u64, request: u64) {
        self.registry.release(write, self.claim_id(request));
        if self.pending.len() >= MAX_PENDING_CLAIMS {
            return self.decide(request, ClaimDecision::Granted);
        }
        self.begin(now, write, request, Purpose::Release);
    }

    fn claim_id(&self, request: u64) -> ClaimId {
        ClaimId { process: self.process, request }
    }

    fn begin(&mut self, now: Micros, write: u64, request: u64, purpose: Purpose) {
        let registrars = self.peers.select(self.local_address, write);
        let pending = PendingClaim {
            write,
            purpose,
            registrars,
            answered: BTreeSet::new(),
            resend_at: now,
            expires_at: now + CLAIM_TIMEOUT,
        };
        self.pending.insert(request, pending);
        self.send_due(now);
        self.decide_by_majority(now, request);
    }

    /// Handles a message from a peer. `is_in_doubt` tells whether a write is known to be in doubt.
    pub fn on_message(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        message: ClaimMessage,
        is_in_doubt: impl Fn(u64) -> bool,
    ) {
        self.peers.on_heard(from);
        match message {
            ClaimMessage::Register { write, claim } => {
                let is_granted = !is_in_doubt(write) && self.registry.register(now, write, claim);
                let answer = if is_granted { ClaimMessage::Granted } else { ClaimMessage::Denied };
                self.outgoing.push((from, answer(claim)));
            }
            ClaimMessage::Release { write, claim } => {
                self.registry.release(write, claim);
                self.outgoing.push((from, ClaimMessage::Released(claim)));
            }
            ClaimMessage::Granted(claim) => self.on_answer(now, from, claim, Purpose::Register),
            ClaimMessage::Released(claim) => self.on_answer(now, from, claim, Purpose::Release),
            ClaimMessage::Denied(claim) => self.on_denied(now, claim),
        }
    }

    fn on_answer(&mut self, now: Micros, from: SocketAddrV4, claim: ClaimId, purpose: Purpose) {
        if let Some(pending) = self.pending_for(claim, purpose) {
            pending.answered.insert(from);
            self.decide_by_majority(now, claim.request);
        }
    }

    fn on_denied(&mut self, now: Micros, claim: ClaimId) {
        if self.pending_for(claim, Purpose::Register).is_some() {
            self.withdraw(now, claim.request, ClaimDecision::Denied);
        }
    }

    fn pending_for(&mut self, claim: ClaimId, purpose: Purpose) -> Option<&mut PendingClaim> {
        let is_local = claim.process == self.process;
        let pending = self.pending.get_mut(&claim.request);
        pending.filter(|pending| is_local && pending.purpose == purpose)
    }

    fn decide_by_majority(&mut self, now: Micros, request: u64) {
        let Some(pending) = self.pending.get(&request) else { return };
        if pending.has_majority_of(self.peers.count_responsive(now, &pending.registrars.peers)) {
            self.pending.remove(&request);
            self.decide(request, ClaimDecision::Granted);
        }
    }

    /// Ends a pending claim without a grant, and releases it where it was registered.
    fn withdraw(&mut self, now: Micros, request: u64, decision: ClaimDecision) {
        let Some(pending) = self.pending.remove(&request) else { return };
        self.decide(request, decision);
        self.registry.release(pending.write, self.claim_id(request));
        let claim = self.claim_id(request);
        for peer in pending.registrars.peers {
            self.outgoing.push((peer, ClaimMessage::Release { write: pending.write, claim }));
            self.peers.on_sent(now, peer);
        }
    }

    fn decide(&mut self, request: u64, decision: ClaimDecision) {
        self.decisions.push((request, decision));
    }

    /// Performs the work that is due: ends the claims that have waited for too long, sends the others again,
    /// and removes the registered claims whose time to live is over.
    pub fn tick(&mut self, now: Micros) {
        self.registry.expire(now);
        let overdue: Vec<u64> =
            self.pending.iter().filter(|(_, p)| now >= p.expires_at).map(|(r, _)| *r).collect();
        for request in overdue {
            self.decide_overdue(now, request);
        }
        self.send_due(now);
    }

    /// Decides on a claim that not enough registrars have answered in time.
    fn decide_overdue(&mut self, now: Micros, request: u64) {
        let Some(pending) = self.pending.get(&request) else { return };
        let expected = self.peers.count_participants(now, &pending.registrars.peers);
        if pending.purpose == Purpose::Release || pending.has_majority_of(expected) {
            self.pending.remove(&request);
            self.decide(request, ClaimDecision::Granted);
        } else {
            self.withdraw(now, request, ClaimDecision::Unavailable);
        }
    }

    /// Sends the pending claims that are due to the registrars that have not answered.
    fn send_due(&mut self, now: Micros) {
        let process = self.process;
        for (request, pending) in self.pending.iter_mut().filter(|(_, pending)| now >= pending.resend_at) {
            pending.resend_at = now + RESEND_INTERVAL;
            let message = pending.message(ClaimId { process, request: *request });
            for peer in pending.registrars.peers.iter().filter(|peer| !pending.answered.contains(peer)) {
                self.outgoing.push((*peer, message));
                self.peers.on_sent(now, *peer);
            }
        }
    }

    /// Returns the time at which [`WriteClaims::tick`] is next due.
    pub fn next_due(&self) -> Micros {
        let due = self.pending.values().map(|pending| pending.resend_at.min(pending.expires_at));
        due.min().unwrap_or(Micros::MAX)
    }

    /// Takes the decisions made since the last call, each with the number of its request.
    pub fn take_decisions(&mut self) -> Vec<(u64, ClaimDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes the messages to send, each with its destination.
    pub fn take_messages(&mut self) -> Vec<(SocketAddrV4, ClaimMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the claims registered at this proxy.
    pub fn registry(&self) -> &ClaimRegistry {
        &self.registry
    }
}
