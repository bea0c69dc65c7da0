//! The routing policy: every decision of a router. This module holds its state and passes each event to the
//! module that handles it. The interface (settings, events, actions, ids) is in [`api`](super::api).
//!
//! Reads go to the closest replica whose cached log position is fresh enough. If none is, one shared probe
//! asks for a position; a read that still finds no replica goes to the primary, as do writes and strongly
//! consistent reads.
//!
//! Requests:
//! - [`requests`]: from arrival to final answer: sent, queued, sent again, given up.
//! - [`request_queue`]: requests that wait for a member.
//! - [`attempts`]: what is learned from the end of an attempt, and what becomes of its request.
//! - [`admission`]: which requests are shed under load.
//! - [`read_routing`], [`read_candidates`]: the member that serves a read.
//! - [`primary_discovery`]: the member that serves a write, and the search for the primary.
//!
//! Members and groups:
//! - [`member`], [`group`]: their state.
//! - [`membership`]: the endpoint list and what other routers observed.
//! - [`probes`]: load reports.
//! - [`outliers`]: faults, suspicion and trials.
//! - [`member_clock`]: what time it is for the members.
//! - [`slow_start`]: how much a member that is warming up may be sent.
//!
//! Parts without knowledge of the others: [`event_rate`], [`concurrency_limit`], [`load_shedder`],
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
    Event, GroupId, HostId, Idempotency, LearnedTraits, MemberView, Micros, PeerObservation, ProbePurpose,
    ProbeResult, RejectReason, Request, RequestId, Role, SessionKey, Settings, SlowStartSends, SlowStartView,
    StaleReadPolicy,
};
use admission::ValueDensity;
use attempts::LEAST_USUAL_LATENCY;
use concurrency_limit::ConcurrencyLimit;
use event_rate::EventRate;
use group::Group;
use member::{AttemptInFlight, Member};
use member_clock::MemberClock;
use request_work::RequestWork;
use requests::PendingRequest;
use sessions::SessionCommits;
use slow_start::WarmAnswerRate;
use std::collections::BTreeMap;

/// The longest time between two checks while requests are queued.
const QUEUE_CHECK_INTERVAL: Micros = 10_000;
/// The time between two checks while requests are in flight and none is queued.
const IN_FLIGHT_CHECK_INTERVAL: Micros = 30_000;
/// The router stood still if its timer expires this much too late.
const STALL_THRESHOLD: Micros = 100_000;
/// The assumed age of what the endpoint list, or a load report without a position, says about roles.
const LISTED_ROLE_AGE: Micros = 20_000_000;
/// The usual latency of a class before its first answer, as a part of its latency objective.
const INITIAL_LATENCY_PART: f64 = 1.0 / 4.0;

/// The decisions of one router.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    now: Micros,
    members: BTreeMap<HostId, Member>,
    groups: BTreeMap<GroupId, Group>,
    pending: BTreeMap<RequestId, PendingRequest>,
    session_commits: SessionCommits,
    /// The part of the reads that each zone may take; `None` where the fleet does not decide on zones in
    /// common.
    zone_read_shares: Option<BTreeMap<u32, f64>>,
    /// By how much the latency of outliers is multiplied.
    latency_factors: BTreeMap<HostId, f64>,
    /// A quota of the fleet bars attempts beyond the first.
    retries_barred: bool,
    /// The process is shutting down: nothing is sent any more.
    sending_stopped: bool,
    /// The usual latency of each class, in µs.
    usual_latency: Vec<f64>,
    request_work: RequestWork,
    value_density: ValueDensity,
    warm_rate: WarmAnswerRate,
    member_clock: MemberClock,
    /// Whether the endpoint list has arrived at least once.
    has_endpoint_list: bool,
    /// When the earliest timer that is set expires.
    timer_due: Option<Micros>,
    /// When the first request that was queued since the last check stops being worth sending.
    first_queued_expiry: Option<Micros>,
    /// When the router last resumed after it stood still: earlier silence does not count against members.
    resumed_at: Micros,
    /// What is to be done about the present event.
    actions: Vec<Action>,
}

impl Router {
    /// A router that knows only its settings.
    pub fn new(settings: Settings) -> Self {
        let usual =
            |class: &Class| (class.latency_objective as f64 * INITIAL_LATENCY_PART).max(LEAST_USUAL_LATENCY);
        let usual_latency = settings.classes.iter().map(usual).collect();
        let request_work = RequestWork::new(&settings.classes);
        Router { usual_latency, request_work, settings, ..Router::default() }
    }

    /// Appends what is to be done before the first event.
    pub fn start(&mut self, actions: &mut Vec<Action>) {
        if self.settings.must_subscribe {
            actions.push(Action::Subscribe);
        }
    }

    /// Handles an event and appends what is to be done about it. A `now` before that of an earlier event
    /// counts as that one.
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
            Event::ProbeFinished(result) => self.on_probe_finished(&result),
            Event::Timer => self.on_timer(),
            Event::ClientDisconnected(id) => {
                self.remove_pending(id);
            }
            Event::StopSending => self.sending_stopped = true,
            Event::Shutdown => self.give_up_all(),
            Event::ZoneReadShares(shares) => self.zone_read_shares = Some(shares.into_iter().collect()),
            Event::SessionsCommittedElsewhere(until) => self.session_commits.raise_floor(until),
            Event::PeerObservations(observations) => self.on_peer_observations(&observations),
            Event::LatencyFactors(factors) => self.latency_factors = factors.into_iter().collect(),
            Event::RetriesAllowed(allowed) => self.retries_barred = !allowed,
        }
    }

    /// Notices whether the router stood still: members that seemed silent meanwhile may have answered, so
    /// silence counts from now.
    fn detect_stall(&mut self) {
        if self.timer_due.is_some_and(|due| self.now - due > STALL_THRESHOLD) {
            self.resumed_at = self.now;
            self.timer_due = Some(self.now);
        }
    }

    /// Sets a timer for the next check, unless one that is set expires before it. A timer that was set for
    /// later stays set, and is ignored when it expires.
    fn set_timer(&mut self) {
        let Some(check_at) = self.next_check_at() else { return };
        if self.timer_due.is_some_and(|due| due <= check_at) {
            return;
        }
        self.timer_due = Some(check_at);
        self.actions.push(Action::SetTimer(check_at - self.now));
    }

    /// When the pending requests are to be checked next; `None` if there are none.
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
