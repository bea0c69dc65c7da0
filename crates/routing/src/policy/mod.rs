//! Every decision of the router. Here are its state and the events that change it, beside it a file for each
//! concern with its tuned values. The interface (settings, events, actions, ids) is in `src/api`.
//!
//! Reads go to the closest replica whose cached position is new enough; on a miss one shared probe
//! asks for that position, and a read still short goes to the primary, as do writes and fresh reads.

mod held;
mod load;
mod members;
mod outcomes;
mod primary;
mod reads;

use super::api::*;
use load::{unit, Shed, LIMIT};
use std::collections::{BTreeMap, BTreeSet};

/// Pauses between looks at what is silent: while anything is held, and otherwise.
const SWEEP: Micros = 10_000;
const SWEEP_IDLE: Micros = 30_000;
/// The router stood still if its timer comes this much late.
const STOOD_STILL: Micros = 100_000;
/// How old the list's word on the primary is taken to be.
const LIST_AGE: Micros = 20_000_000;
/// Doubt is own work that a silent member has not answered, in usual times; a full member adds `WARY`, a
/// connection that was not to be had `REFUSED`, one that broke `BROKEN`: single ones break at members that
/// work, while a dead one refuses the next. From `WARY` on no writes, from `SUSPECT` on trials only.
const REFUSED: f64 = 2.0;
const BROKEN: f64 = 0.5;
const WARY: f64 = 3.0;
const SUSPECT: f64 = 7.0;
/// Pause before the first trial of a suspect.
const TRIAL_FIRST: Micros = 400_000;
/// µs over which a member's rate of answers is averaged, and over which a group's answers count together.
const RATE_SPAN: f64 = 4e6;
const PACE_SPAN: f64 = 1e6;

struct Flight {
    id: RequestId,
    attempt: AttemptNo,
    class: ClassId,
    /// Kept here: the commit counts for the session also when the client has left.
    key: Option<SessionKey>,
    sent: Micros,
    cancelled: bool,
}

struct Suspicion {
    since: Micros,
    /// Whether connections gave rise to it, not silence, which a position that moves on does not end.
    broken: bool,
    tried_at: Micros,
    trial_at: Micros,
}

#[derive(Default)]
struct Member {
    group: GroupId,
    status: EndpointStatus,
    local: bool,
    zone: u32,
    started: Option<Micros>,
    started_at: Option<Micros>,
    head: bool,
    position: Micros,
    seen_at: Micros,
    lag: Micros,
    primary_at: Micros,
    replica_at: Micros,
    relative_latency: f64,
    sampled_at: Micros,
    flights: Vec<Flight>,
    answered_at: Micros,
    debt: f64,
    suspicion: Option<Suspicion>,
    probe_sent: Option<Micros>,
    reported_at: Micros,
    rate: f64,
    rated_at: Micros,
    budget: f64,
    budget_at: Micros,
    limit: f64,
    removed_at: Micros,
    queue: f64,
}

#[derive(Default)]
struct Group {
    members: BTreeSet<HostId>,
    held: BTreeSet<RequestId>,
    scout: Option<RequestId>,
    tried: BTreeSet<HostId>,
    search_at: Micros,
    search_pause: Micros,
    /// Of what goes to replicas, and to the primary.
    sheds: [Shed; 2],
    round_at: Micros,
}

struct Pending {
    asked: Request,
    arrived: Micros,
    /// When an answer stops being worth anything.
    until: Micros,
    attempts: u32,
    flying: Option<HostId>,
    /// The first send that may have run.
    ran_at: Option<Micros>,
    shunned: BTreeSet<HostId>,
    probed: Option<(HostId, Micros)>,
    /// Whether an attempt reached a member.
    reached: bool,
}

/// The decisions of one router.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    now: Micros,
    members: BTreeMap<HostId, Member>,
    groups: BTreeMap<GroupId, Group>,
    pending: BTreeMap<RequestId, Pending>,
    commits: BTreeMap<SessionKey, Micros>,
    commit_floor: Option<Micros>,
    /// Zones' shares of reads, where the fleet decides them in common; `None` where it does not.
    shares: Option<BTreeMap<u32, f64>>,
    /// What the latency of members that the fleet does not hold sound is multiplied by.
    factors: BTreeMap<HostId, f64>,
    once: bool,    // A budget bars attempts beyond the first.
    closing: bool, // Nothing is sent any more.
    usual: Vec<f64>,
    /// Usual worth for a microsecond of work.
    density: f64,
    listed_once: bool,
    /// When the timer is due.
    due: Option<Micros>,
    /// When the router last stood still until: earlier silence does not count.
    awake: Micros,
    out: Vec<Action>,
}

impl Router {
    /// A router that knows nothing yet but its settings.
    pub fn new(settings: Settings) -> Self {
        let usual = settings.classes.iter().map(|c| (c.latency_objective as f64 / 4.0).max(1e3)).collect();
        Router { usual, settings, ..Router::default() }
    }

    /// What the router does before its first event.
    pub fn start(&mut self, actions: &mut Vec<Action>) {
        actions.extend(self.settings.must_subscribe.then_some(Action::Subscribe));
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // The router stood still: what was silent meanwhile may have answered, silence counts from now.
        if self.due.is_some_and(|due| self.now - due > STOOD_STILL) {
            (self.awake, self.due) = (self.now, Some(self.now));
        }
        match event {
            Event::EndpointList(entries) => self.list(&entries, true),
            Event::EndpointsChanged(entries) => self.list(&entries, false),
            Event::SubscriptionLost => self.out.push(Action::Subscribe),
            Event::Request(request) => self.request(request, true),
            Event::RequestOverQuota(request) => self.request(request, false),
            Event::RetriesAllowed(may) => self.once = !may,
            Event::AttemptFinished(outcome) => self.outcome(&outcome),
            Event::ProbeFinished(probed) => self.probed(&probed),
            Event::Timer => self.sweep(),
            Event::ClientDisconnected(id) => drop(self.finish(id)),
            Event::ZoneReadShares(shares) => self.shares = Some(shares.into_iter().collect()),
            Event::PeerObservations(told) => self.told(&told),
            Event::LatencyFactors(factors) => self.factors = factors.into_iter().collect(),
            Event::StopSending => self.closing = true,
            Event::Shutdown => {
                let open: Vec<RequestId> = self.pending.keys().copied().collect();
                open.into_iter().for_each(|id| self.give_up(id, RejectReason::ShuttingDown));
            }
        }
        if self.due.is_none() && !self.pending.is_empty() {
            let held = self.groups.values().any(|g| !g.held.is_empty());
            let pause = if held { SWEEP } else { SWEEP_IDLE };
            self.due = Some(self.now + pause);
            self.out.push(Action::SetTimer(pause));
        }
        actions.append(&mut self.out);
    }
}
