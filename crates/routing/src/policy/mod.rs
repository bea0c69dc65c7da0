//! The routing policy: all decisions of a router. This module holds the router's state and dispatches each
//! event to the module that handles it. The interface (settings, events, actions, ids) is in
//! [`api`](super::api).
//!
//! Reads go to the closest replica whose cached log position is fresh enough. If none is, one shared probe
//! requests a member's position; a read that still finds no replica goes to the primary, as do writes and
//! strongly consistent reads.
//!
//! Requests:
//! - [`requests`]: the request life cycle: dispatching, queueing, retrying and giving up.
//! - [`request_queue`]: requests waiting for a member.
//! - [`attempts`]: evaluating the result of an attempt, and continuing its request.
//! - [`admission`]: load shedding, and the zones' shares of reads.
//! - [`read_routing`], [`read_candidates`]: choosing the member that serves a read.
//! - [`primary_discovery`]: choosing the member that serves a write, and finding the primary.
//!
//! Members and groups:
//! - [`member`], [`group`]: the state of members and groups.
//! - [`membership`]: endpoint list updates and observations of other routers.
//! - [`probes`]: probes and load reports.
//! - [`outliers`]: fault scores, suspicion and trial requests.
//! - [`member_clock`]: an estimate of the time on the members' clock.
//! - [`slow_start`]: the send rate to members that are warming up.
//!
//! Modules that do not depend on the others: [`event_rate`], [`concurrency_limit`], [`load_shedder`],
//! [`request_work`], [`send_permits`], [`sessions`] and [`random`].

mod admission;
mod attempts;
mod concurrency_limit;
mod event_rate;
mod group;
mod load_shedder;
mod member;
mod member_clock;
mod membership;
mod outliers;
mod pending_request;
mod primary_discovery;
mod probes;
mod random;
mod read_candidates;
mod read_routing;
mod request_queue;
mod request_work;
mod requests;
mod send_permits;
mod sessions;
mod slow_start;

use super::api::{
    Action, AttemptNo, AttemptOutcome, AttemptResult, Class, ClassId, Consistency, Endpoint, EndpointStatus,
    Event, GroupId, HostId, Idempotency, LearnedTraits, MemberView, Micros, ObservationSource,
    PeerObservation, ProbePurpose, ProbeResult, RejectReason, Request, RequestId, Role, SessionKey, Settings,
    SlowStartSends, SlowStartView, StaleReadPolicy, StreamedState,
};
use admission::ValueDensity;
use attempts::MIN_TYPICAL_LATENCY;
use concurrency_limit::ConcurrencyLimit;
use event_rate::EventRate;
use group::Group;
use member::{AttemptInFlight, Member};
use member_clock::MemberClock;
use pending_request::PendingRequest;
use request_work::RequestWork;
use sessions::SessionWrites;
use slow_start::WarmAnswerRate;
use std::collections::BTreeMap;

/// The maximum interval between checks of the pending requests while any is queued.
const QUEUE_CHECK_INTERVAL: Micros = 10_000;
/// The interval between checks of the pending requests while some are in flight and none is queued.
const IN_FLIGHT_CHECK_INTERVAL: Micros = 30_000;
/// The router is assumed to have stalled if its timer expires this late.
const STALL_THRESHOLD: Micros = 100_000;
/// The assumed age of a role taken from the endpoint list or from a load report without a position.
const LISTED_ROLE_AGE: Micros = 20_000_000;
/// The typical latency of a class before its first answer, as a fraction of its latency objective.
const INITIAL_LATENCY_FRACTION: f64 = 1.0 / 4.0;

/// The decisions of one router.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    now: Micros,
    members: BTreeMap<HostId, Member>,
    groups: BTreeMap<GroupId, Group>,
    pending: BTreeMap<RequestId, PendingRequest>,
    session_writes: SessionWrites,
    /// The fraction of the reads that each zone may take; `None` if the fleet does not set zone shares.
    zone_read_shares: Option<BTreeMap<u32, f64>>,
    /// The factors by which the latency of outliers is multiplied when reads are routed.
    latency_factors: BTreeMap<HostId, f64>,
    /// Whether a fleet-wide quota forbids retries.
    retries_forbidden: bool,
    /// Whether the process is shutting down and sends nothing more.
    sending_stopped: bool,
    /// The typical latency of each class, in µs.
    typical_latency: Vec<f64>,
    request_work: RequestWork,
    value_density: ValueDensity,
    warm_rate: WarmAnswerRate,
    member_clock: MemberClock,
    /// Whether an endpoint list has been received.
    has_endpoint_list: bool,
    /// When the earliest pending timer expires.
    timer_due: Option<Micros>,
    /// The earliest time at which a request queued since the last check stops being worth sending.
    first_queued_expiry: Option<Micros>,
    /// When the router last resumed after a stall. Silence before that does not count against members.
    resumed_at: Micros,
    /// The actions for the event being handled.
    actions: Vec<Action>,
}

impl Router {
    /// Creates a router with these settings and no members.
    pub fn new(settings: Settings) -> Self {
        let typical = |class: &Class| {
            (class.latency_objective as f64 * INITIAL_LATENCY_FRACTION).max(MIN_TYPICAL_LATENCY)
        };
        let typical_latency = settings.classes.iter().map(typical).collect();
        let request_work = RequestWork::new(&settings.classes);
        Router { typical_latency, request_work, settings, ..Router::default() }
    }

    /// Appends the actions to carry out before the first event.
    pub fn start(&mut self, actions: &mut Vec<Action>) {
        if self.settings.must_subscribe {
            actions.push(Action::Subscribe);
        }
    }

    /// Handles an event and appends the resulting actions. Time never goes backwards: a `now` before that of
    /// an earlier event is replaced by the latter.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.detect_stall();
        self.refresh_warm_answer_rate();
        self.dispatch_event(event);
        self.set_timer();
        actions.append(&mut self.actions);
    }

    fn dispatch_event(&mut self, event: Event) {
        match event {
            Event::EndpointList(endpoints) => self.on_endpoint_list(&endpoints),
            Event::EndpointsChanged(endpoints) => self.on_endpoints_changed(&endpoints),
            Event::SubscriptionLost => self.actions.push(Action::Subscribe),
            Event::Request(request) => self.on_request(request),
            Event::RequestOverQuota(request) => self.on_request_over_quota(request),
            Event::AttemptFinished(result) => self.on_attempt_finished(&result),
            Event::StreamFinished(state) => self.on_stream_finished(&state),
            Event::ProbeFinished(result) => self.on_probe_finished(&result),
            Event::Timer => self.on_timer(),
            Event::ClientDisconnected(id) => {
                self.remove_pending(id);
            }
            Event::StopSending => self.sending_stopped = true,
            Event::Shutdown => self.give_up_all(),
            Event::ZoneReadShares(shares) => self.zone_read_shares = Some(shares.into_iter().collect()),
            Event::SessionsCommittedElsewhere(until) => self.session_writes.raise_floor(until),
            Event::PeerObservations(observations) => self.on_peer_observations(&observations),
            Event::LatencyFactors(factors) => self.latency_factors = factors.into_iter().collect(),
            Event::RetriesAllowed(allowed) => self.retries_forbidden = !allowed,
        }
    }

    /// Detects that the router has stalled. Members may have answered during the stall, so their silence is
    /// counted from now.
    fn detect_stall(&mut self) {
        if self.timer_due.is_some_and(|due| self.now - due > STALL_THRESHOLD) {
            self.resumed_at = self.now;
            self.timer_due = Some(self.now);
        }
    }

    /// Sets a timer for the next check, unless a pending one expires by then. Timers cannot be cancelled: a
    /// pending one that expires later is ignored when it does.
    fn set_timer(&mut self) {
        let Some(check_at) = self.next_check_at() else { return };
        if self.timer_due.is_some_and(|due| due <= check_at) {
            return;
        }
        self.timer_due = Some(check_at);
        self.actions.push(Action::SetTimer(check_at - self.now));
    }

    /// The time of the next check of the pending requests; `None` if there are none.
    fn next_check_at(&self) -> Option<Micros> {
        if self.pending.is_empty() {
            return None;
        }
        let has_queued = self.groups.values().any(|group| !group.queued.is_empty());
        if !has_queued {
            return Some(self.now + IN_FLIGHT_CHECK_INTERVAL);
        }
        let check_at = self.now + QUEUE_CHECK_INTERVAL;
        Some(self.first_queued_expiry.map_or(check_at, |expiry| expiry.clamp(self.now, check_at)))
    }
}
