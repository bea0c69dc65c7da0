//! Every decision of the router, with its tables, its tuned values and the state behind them.
//! The interface (settings, events, actions, ids) is in `crates/routing/src/api.rs`.
//!
//! Reads go to the closest replica whose cached position is new enough; on a miss one shared probe
//! asks for that position, and a read still short goes to the primary, as do writes and fresh reads.
//! The rest bridges failures.

use super::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// Replicas within this share of the closest one's latency tie.
const BAND: f64 = 0.5;
/// A class that takes this many times as long as the shortest is long, and its reads may go to a replica this
/// many times as slow as those that tie.
const LONG: f64 = 4.0;
const KEEPER: f64 = 2.0;
/// Weight of own-zone traffic where ties go to the member that answered this router least lately.
const LOCAL_PULL: f64 = 0.5;
/// Requests' worth of lead that the router's own order of members gives among ties: routers with little
/// traffic keep to different members.
const OWN_ORDER: f64 = 2.0;
/// Weight of one answer in a member's latency, in a class's, and of an arrival in the usual worth.
const MEMBER_WEIGHT: f64 = 0.1;
const CLASS_WEIGHT: f64 = 0.02;
const DENSITY_WEIGHT: f64 = 0.05;
/// The most that a member's latency is taken to be, in usual times; a full one has it.
const SLOWEST: f64 = 8.0;
/// µs in which a latency not measured anew drifts back to the usual one: the member is tried again.
const FORGET: f64 = 8e6;
/// Doubt is own work that a silent member has not answered, in usual times; a full member adds `WARY`, a
/// connection that was not to be had `REFUSED`, one that broke `BROKEN`: single ones break at members that
/// work, while a dead one refuses the next. From `WARY` on no writes, from `SUSPECT` on trials only.
const REFUSED: f64 = 2.0;
const BROKEN: f64 = 0.5;
const WARY: f64 = 3.0;
const SUSPECT: f64 = 7.0;
/// A safe attempt at a suspect is taken back after this many usual times.
const PATIENCE: f64 = 2.0;
/// Pause before the first trial of a suspect, and least and most before the next: a trial for each so
/// many answers of the group, since a router with little traffic must not spend most of it on trials.
const TRIAL_FIRST: Micros = 400_000;
const TRIAL_PAUSE: (f64, f64) = (1.5e6, 12e6);
const TRIAL_EVERY: f64 = 5.0;
/// A read waits this long for its probe; a probe without an answer is sent again after the second;
/// a suspect's report is asked for anew after the third for each router, since all of them ask.
const PROBE_WAIT: Micros = 30_000;
const PROBE_LOST: Micros = 300_000;
const REPORT_SHARED: Micros = 33_000;
/// How much faster than time a replica that is behind may catch up.
const CATCH_UP: Micros = 3;
/// First and longest pause between rounds of probes for a primary, and the pause after a round of
/// writes that tried all members; a searching write keeps attempts back for the primary.
const SEARCH_PAUSE: Micros = 150_000;
const SEARCH_LONGEST: Micros = 1_200_000;
const ROUND_PAUSE: Micros = 1_000_000;
const SPARE_ATTEMPTS: u32 = 2;
/// How old the list's word on the primary is taken to be.
const LIST_AGE: Micros = 20_000_000;
/// Own requests in flight that a member may hold: at first, at least, at most. Answers within `QUICK`
/// of the aim raise it, later ones lower it by a share.
const LIMIT: f64 = 4.0;
const LIMIT_LEAST: f64 = 1.0;
const LIMIT_MOST: f64 = 64.0;
const LIMIT_RISE: f64 = 2.0;
const LIMIT_CUT: f64 = 0.3;
const QUICK: f64 = 0.25;
/// The part of a primary's limit for reads that replicas could serve, and how much sooner they are shed.
const SPILL_SHARE: f64 = 0.75;
const SPILL_WEIGHT: f64 = 3.0;
/// An answer sheds this much for each part of its aim that it took beyond the target, and less below.
const SHED_STEP: f64 = 1.5;
const SHED_TARGET: f64 = 0.45;
const SHED_MOST: f64 = 3.0;
/// Decay per µs, and the span in µs over which answers count together: many do not move it faster, and
/// where fewer come than the last, each counts as one of so many: a single long one tells nothing of load.
const SHED_DECAY: f64 = 0.07e-6;
const PACE_SPAN: f64 = 1e6;
const PACE_LEAST: f64 = 4.0;
/// Parts of the aim that count for: a lost answer (not all are lost to load), a full member, a report
/// with nothing queued, and each usual time of wait in a reported queue.
const LOST: f64 = 0.7;
const FULL: f64 = 1.5;
const IDLE: f64 = 0.2;
const QUEUED: f64 = 0.25;
/// Cores taken to work a queue off, the wait in usual times that lets none in, µs it is remembered.
const QUEUE_CORES: f64 = 4.0;
const QUEUE_MOST: f64 = 3.0;
const QUEUE_FORGET: f64 = 1e6;
/// µs over which a member's rate of answers is averaged, and the least rate of all routers per µs.
const RATE_SPAN: f64 = 4e6;
const LEAST_RATE: f64 = 4e-6;
/// The part of what fells a cold member that all routers together may send it, in what a warm kin answers:
/// no more than the warm one can do, so the fall multiple holds without a further margin.
const COLD_SHARE: f64 = 1.0;
/// Pauses between looks at what is silent: while anything is held, and otherwise.
const SWEEP: Micros = 10_000;
const SWEEP_IDLE: Micros = 30_000;
/// The router stood still if its timer comes this much late.
const STOOD_STILL: Micros = 100_000;
/// A member this long off the list is forgotten.
const FORGOTTEN: Micros = 60_000_000;
/// Remembered commits; beyond them the older half becomes one floor.
const COMMITS: usize = 100_000;
/// The part of its client's wait that a request may be held for without having reached a member.
const HELD_MOST: f64 = 0.47;
/// When a refused client is told to come back: overload and failovers last longer than a retry takes.
const RETRY_AFTER: Micros = 2_000_000;
/// A lag measured is trusted for this long, where members check reads themselves.
const LAG_TRUST: Micros = 2_000_000;

struct Flight {
    id: RequestId,
    attempt: AttemptNo,
    class: ClassId,
    /// Kept here: the commit counts for the session also when the client has left.
    key: Option<SessionKey>,
    sent: Micros,
    /// From when on silence counts: the send, or the end of a time when the router stood still.
    from: Micros,
    cancelled: bool,
}

/// How much of the demand for one kind of member of a group is shed, as all their answers show; the
/// part `exp(-shed)` is sent on. Unlike a limit it works with one request in flight, and with any
/// number of routers: each sheds a part of its own demand.
#[derive(Default)]
struct Shed {
    value: f64,
    at: Micros,
}

impl Shed {
    fn learn(&mut self, strain: f64, weight: f64, now: Micros) {
        self.value = (self.at(now) + SHED_STEP * weight * (strain - SHED_TARGET)).clamp(0.0, SHED_MOST);
        self.at = now;
    }

    fn at(&self, now: Micros) -> f64 {
        self.value * (-((now - self.at).max(0) as f64) * SHED_DECAY).exp()
    }
}

/// A number from 0 to 1 that the seed and a value decide.
fn unit(seed: u64, value: u64) -> f64 {
    let mix = |x: u64, by: u64| (x ^ (x >> 31)).wrapping_mul(by);
    let mixed = mix(mix(seed ^ value, 0xbf58_476d_1ce4_e5b9), 0x94d0_49bb_1331_11eb);
    (mix(mixed, 1) >> 11) as f64 / (1_u64 << 53) as f64
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
    listed: Listed,
    local: bool,
    zone: u32,
    started: Option<Micros>,
    launched: Option<Micros>,
    head: bool,
    position: Micros,
    seen_at: Micros,
    lag: Micros,
    primary_at: Micros,
    replica_at: Micros,
    slowness: f64,
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

impl Member {
    fn new(group: GroupId) -> Self {
        Member { group, slowness: 1.0, limit: LIMIT, ..Member::default() }
    }

    fn room(&self, now: Micros) -> bool {
        (self.flights.len() as f64) < self.limit && self.waiting(now) < QUEUE_MOST
    }

    /// Usual times that a request would wait behind what the last report found queued.
    fn waiting(&self, now: Micros) -> f64 {
        let age = (now - self.reported_at).clamp(0, 1 << 30) as f64;
        self.queue / QUEUE_CORES * (-age / QUEUE_FORGET).exp()
    }

    /// Learns from an answer after `quota` of the aim how much the member can hold.
    fn learn(&mut self, quota: f64) {
        if quota > QUICK {
            self.limit = (self.limit * (1.0 - LIMIT_CUT * quota.min(2.0))).max(LIMIT_LEAST);
        } else if self.flights.len() as f64 + 1.0 >= self.limit / 2.0 {
            self.limit = (self.limit + (LIMIT_RISE / self.limit).min(1.0)).min(LIMIT_MOST);
        }
    }

    /// Where gone is advice only draining binds: other members show by themselves whether they run.
    fn remove(&mut self, advice: bool, now: Micros) {
        let stays = advice && self.listed == Listed::Up;
        self.listed = if stays { Listed::Up } else { Listed::Removed };
        self.removed_at = if self.removed_at == 0 { now } else { self.removed_at };
    }

    fn usable(&self) -> bool {
        self.listed == Listed::Up && self.suspicion.is_none()
    }

    fn doubt(&self, now: Micros, usual: &[f64]) -> f64 {
        let outstanding = self.flights.iter().map(|f| {
            let silent = now - f.from.max(self.answered_at);
            silent as f64 / (usual[f.class.0] * self.slowness.max(1.0))
        });
        self.debt + outstanding.sum::<f64>()
    }

    /// Latency in multiples of the usual one; silence counts before it has ended.
    fn closeness(&self, now: Micros, usual: &[f64]) -> f64 {
        let age = (now - self.sampled_at).min(1 << 40) as f64;
        let measured = 1.0 + (self.slowness - 1.0) * (-age / FORGET).exp();
        measured.max(self.doubt(now, usual) / 2.0) + self.waiting(now)
    }

    fn rate(&self, now: Micros) -> f64 {
        self.rate * (-((now - self.rated_at).min(1 << 40) as f64) / RATE_SPAN).exp()
    }

    fn knows(&self, minimum: Option<Micros>) -> bool {
        minimum.is_none_or(|min| self.position >= min)
    }

    fn role(&mut self, role: Option<Role>, at: Micros) {
        match role {
            Some(Role::Primary) => self.primary_at = self.primary_at.max(at),
            Some(Role::Replica) => self.replica_at = self.replica_at.max(at),
            None => {}
        }
    }

    fn place(&mut self, position: Option<Micros>, now: Micros) {
        let Some(position) = position else { return };
        (self.lag, self.seen_at) = (now - position, now);
        self.position = self.position.max(position.min(now));
    }
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

#[derive(Default)]
struct Pending {
    class: ClassId,
    group: GroupId,
    key: Option<SessionKey>,
    token: Option<Micros>,
    arrived: Micros,
    give_up_at: Micros,
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
    usual: Vec<f64>,
    /// Usual worth for a microsecond of work.
    density: f64,
    listed_once: bool,
    /// When the timer is due.
    due: Option<Micros>,
    awake: Micros,
    out: Vec<Action>,
}

impl Router {
    /// A router that knows nothing yet but its settings.
    pub fn new(settings: Settings) -> Self {
        let usual = settings.classes.iter().map(|c| (c.aim as f64 / 4.0).max(1e3)).collect();
        Router { usual, settings, ..Router::default() }
    }

    /// What the router does before its first event.
    pub fn start(&mut self, actions: &mut Vec<Action>) {
        if self.settings.must_follow {
            actions.push(Action::Follow);
        }
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // The router stood still: what was silent meanwhile may have answered, silence counts from now.
        if self.due.is_some_and(|due| self.now - due > STOOD_STILL) {
            self.awake = self.now;
            self.due = Some(self.now);
            let flights = self.members.values_mut().flat_map(|m| &mut m.flights);
            flights.for_each(|f| f.from = f.from.max(now));
        }
        match event {
            Event::List(entries) => self.list(&entries, true),
            Event::ListChange(entries) => self.list(&entries, false),
            Event::ListBroken => self.out.push(Action::Follow),
            Event::Request(request) => self.request(&request),
            Event::Outcome(outcome) => self.outcome(&outcome),
            Event::Probed(probed) => self.probed(&probed),
            Event::Timer => self.sweep(),
            Event::Gone(id) => drop(self.finish(id)),
            Event::Shares(shares) => self.shares = Some(shares.into_iter().collect()),
            Event::Told(told) => self.told(&told),
            Event::Close => {
                let open: Vec<RequestId> = self.pending.keys().copied().collect();
                open.into_iter().for_each(|id| self.give_up(id, Reason::Closing));
            }
        }
        if self.due.is_none() && !self.pending.is_empty() {
            let held = self.groups.values().any(|g| !g.held.is_empty());
            let pause = if held { SWEEP } else { SWEEP_IDLE };
            self.due = Some(self.now + pause);
            self.out.push(Action::Timer(pause));
        }
        actions.append(&mut self.out);
    }

    fn list(&mut self, entries: &[Entry], whole: bool) {
        let (now, advice) = (self.now, self.settings.gone_is_advice);
        if whole {
            let here: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
            let gone = self.members.iter_mut().filter(|(host, _)| !here.contains(host));
            gone.for_each(|(_, member)| member.remove(advice, now));
            self.forget();
        }
        for entry in entries {
            let new = !self.members.contains_key(&entry.host);
            let member = self.members.entry(entry.host).or_insert_with(|| Member::new(entry.group));
            if entry.listed == Listed::Removed {
                member.remove(advice, now);
                continue;
            }
            member.removed_at = 0;
            member.listed = entry.listed;
            (member.local, member.zone) = (entry.local, entry.zone);
            // The new process is cold, and whatever was held against the old one is over.
            if entry.launched != member.launched || (new && self.listed_once) {
                member.launched = entry.launched;
                member.started = Some(entry.launched.unwrap_or(now));
                member.budget = unit(self.settings.seed, u64::from(entry.host.0));
                (member.budget_at, member.debt, member.suspicion, member.slowness) = (now, 0.0, None, 1.0);
            }
            // The list's word is old: any answer that said otherwise in the meantime stands.
            if entry.primary && !member.head {
                member.primary_at = member.primary_at.max((now - LIST_AGE).max(1));
            }
            member.head = entry.primary;
            self.groups.entry(member.group).or_default().members.insert(entry.host);
        }
        self.listed_once = true;
        self.wake_all();
    }

    /// Ends members long off the list that are silent or were bound to go.
    fn forget(&mut self) {
        self.members.retain(|_, m| {
            let off = m.removed_at.max(m.answered_at);
            m.removed_at == 0 || self.now - off < FORGOTTEN || !m.flights.is_empty()
        });
        self.groups.values_mut().for_each(|g| g.members.retain(|h| self.members.contains_key(h)));
    }

    fn request(&mut self, request: &Request) {
        if request.class.0 >= self.usual.len() {
            let unusable = Action::Refuse { id: request.id, retry_after: 0, reason: Reason::Unusable };
            return self.out.push(unusable);
        }
        let density = self.settings.classes[request.class.0].worth / self.usual[request.class.0];
        let weight = if self.density == 0.0 { 1.0 } else { DENSITY_WEIGHT };
        self.density += weight * (density - self.density);
        let pending = Pending {
            class: request.class,
            group: request.group,
            key: request.key,
            token: request.write_age.map(|age| self.now.saturating_sub(age)),
            arrived: self.now,
            ran_at: request.doubted.then_some(self.now),
            give_up_at: request.give_up_at,
            ..Pending::default()
        };
        self.pending.insert(request.id, pending);
        match self.settings.classes[request.class.0].effect {
            Effect::Unsafe if request.doubted => self.give_up(request.id, Reason::MayHaveRun),
            _ => self.dispatch(request.id),
        }
    }

    /// What other routers learned: a position is a lower bound and no sign of life; a member suspected there
    /// is doubted as by one refused connection, unless it has answered here since.
    fn told(&mut self, told: &[Told]) {
        for t in told {
            let Some(m) = self.members.get_mut(&t.host) else { continue };
            m.position = m.position.max(t.position.min(self.now));
            m.debt = m.debt.max(if t.suspected_at > m.answered_at { REFUSED } else { 0.0 });
        }
        self.wake_all();
    }

    /// When an answer stops being worth anything.
    fn until(&self, p: &Pending) -> Micros {
        let class = &self.settings.classes[p.class.0];
        let worthless =
            if class.late_worth > 0.0 { Micros::MAX } else { p.arrived.saturating_add(class.aim) };
        p.give_up_at.min(worthless)
    }

    fn dispatch(&mut self, id: RequestId) {
        let Some(p) = self.pending.get(&id).filter(|p| p.flying.is_none()) else { return };
        let class = &self.settings.classes[p.class.0];
        let repeat_ends = match (class.effect, p.ran_at) {
            (Effect::Keyed { window, .. }, Some(ran)) => ran.saturating_add(window) - SWEEP,
            _ => Micros::MAX,
        };
        let left = self.until(p).min(repeat_ends).saturating_sub(self.now) as f64;
        // One that no member has seen is told early, while coming back is still worth the client's time.
        let waited = (self.now - p.arrived) as f64 / (p.give_up_at - p.arrived).max(1) as f64;
        let unseen = !p.reached && waited > HELD_MOST;
        let spent = p.attempts >= self.settings.max_attempts;
        if left < self.usual[p.class.0] || spent || unseen {
            let late = if spent { Reason::AttemptsSpent } else { Reason::OutOfTime };
            return self.give_up(id, if unseen { Reason::HeldTooLong } else { late });
        }
        let (group, consistency) = (p.group, class.consistency);
        let bound = matches!(consistency, Consistency::Write | Consistency::Fresh);
        if !self.admitted(id, p, bound, 1.0) {
            return self.give_up(id, Reason::Shed);
        }
        let sent = match consistency {
            Consistency::Write => self.write(id, group),
            Consistency::Fresh => self.ask_leader(id, group),
            _ => self.read(id, group),
        };
        match self.groups.get_mut(&group) {
            Some(g) if sent => drop(g.held.remove(&id)),
            Some(g) => drop(g.held.insert(id)),
            None => self.give_up(id, Reason::NoMember),
        }
    }

    /// Answers of the group to this router within PACE_SPAN: the more, the less each may move.
    fn pace(&self, group: GroupId) -> f64 {
        let members = self.groups.get(&group).into_iter().flat_map(|g| &g.members);
        members.map(|h| self.members[h].rate(self.now)).sum::<f64>() * PACE_SPAN
    }

    /// Whether this try is not shed: work of little worth goes first, further tries before first ones.
    /// The draw is the request's own, so that holding it does not draw again.
    fn admitted(&self, id: RequestId, p: &Pending, primary: bool, weight: f64) -> bool {
        let shed = self.groups.get(&p.group).map_or(0.0, |g| g.sheds[usize::from(primary)].at(self.now));
        let density = self.settings.classes[p.class.0].worth / self.usual[p.class.0];
        let lightness = (self.density / density.max(1e-12)).clamp(0.1, 4.0);
        let tries = p.shunned.len() as u64;
        let draw = id.0.iter().fold(tries, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
        unit(self.settings.seed, draw) <= (-shed * lightness * (1 + tries) as f64 * weight).exp()
    }

    /// The position a read needs; `None`: any will do.
    fn minimum(&self, p: &Pending) -> Option<Micros> {
        match self.settings.classes[p.class.0].consistency {
            Consistency::Any => None,
            Consistency::Bounded(bound) => Some(self.now - bound),
            Consistency::Session if self.settings.tokens_carried => p.token,
            Consistency::Session => {
                let own = p.key.and_then(|key| self.commits.get(&key).copied());
                own.or(self.commit_floor)
            }
            Consistency::Fresh | Consistency::Write => Some(p.arrived),
        }
    }

    fn read(&mut self, id: RequestId, group: GroupId) -> bool {
        let now = self.now;
        let (Some(p), Some(g)) = (self.pending.get(&id), self.groups.get(&group)) else { return false };
        let minimum = self.minimum(p);
        let checks = self.settings.when_behind == WhenBehind::Checks;
        let leader = self.leader(group);
        // Trials: a suspect gets single safe reads at growing pauses; only an answer clears it.
        let trial = g.members.iter().copied().find(|h| {
            let m = &self.members[h];
            let due = m.suspicion.as_ref().is_some_and(|s| s.trial_at <= now);
            m.listed == Listed::Up && due && !p.shunned.contains(h)
        });
        if let Some(host) = trial {
            if checks || Some(host) == leader || self.members[&host].knows(minimum) {
                self.next_trial(host);
                return self.send(id, host);
            }
        }
        // Reads keep the reports of suspects young: one whose position moves on works again.
        let apart = REPORT_SHARED * Micros::from(self.settings.routers.max(3));
        let aged = |h: &&HostId| {
            let m = &self.members[h];
            m.suspicion.is_some() && now - m.reported_at >= apart
        };
        let aged: Vec<HostId> =
            self.groups.get(&group).into_iter().flat_map(|g| &g.members).filter(aged).copied().collect();
        aged.into_iter().for_each(|host| self.probe(host, Why::Suspect));
        let (Some(p), Some(g)) = (self.pending.get(&id), self.groups.get(&group)) else { return false };
        let open = |h: &&HostId| {
            let m = &self.members[h];
            let free =
                Some(**h) != leader && !p.shunned.contains(h) && m.room(now) && self.admits(id, m.zone);
            free && m.usable() && self.budget(**h) >= 1.0
        };
        let rank = |h: &HostId| {
            let (m, lead) = (&self.members[h], OWN_ORDER / RATE_SPAN * unit(self.settings.seed, h.0.into()));
            let pull = if m.local { LOCAL_PULL } else { 1.0 };
            let close = m.closeness(now, &self.usual);
            (close, *h, m.flights.len(), (m.rate(now) * pull + lead) * close)
        };
        let mut order: Vec<_> = g.members.iter().filter(open).map(rank).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let edge = order.first().map_or(0.0, |c| c.0 * (1.0 + BAND));
        // Where the fleet decides zones in common, a near member wins over far ties while it can serve.
        let far = |c: &&(f64, HostId, usize, f64)| self.shares.is_some() && !self.members[&c.1].local;
        let fresh = |within: f64| {
            let ties = order.iter().filter(|c| c.0 <= within && self.members[&c.1].knows(minimum));
            ties.min_by(|a, b| far(a).cmp(&far(b)).then(a.2.cmp(&b.2)).then(a.3.total_cmp(&b.3))).map(|c| c.1)
        };
        // A replica may apply nothing while it holds a long read. One that needs no position goes to the same
        // replica from all routers, as long as it has room: the others stay fresh for the reads that do.
        let least = self.usual.iter().copied().fold(f64::MAX, f64::min);
        let long = minimum.is_none() && self.usual[p.class.0] > LONG * least;
        let keeper = order.iter().filter(|c| long && c.0 <= KEEPER * edge).map(|c| c.1).min();
        let (close, other) = (keeper.or_else(|| fresh(edge)), fresh(f64::MAX));
        if let Some(host) = close {
            return self.send(id, host);
        }
        // Not one that was seen so far behind that it cannot have caught up, and while that is young not
        // one that would still be short with all the time since. Ties are the router's own, as for sends.
        let telling = |c: &&(f64, HostId, usize, f64)| {
            let (m, age) = (&self.members[&c.1], (now - self.members[&c.1].seen_at).min(1 << 40));
            let gain = if age < 3 * REPORT_SHARED { age } else { CATCH_UP * age };
            minimum.is_some_and(|min| m.seen_at == 0 || m.position + gain >= min)
        };
        let near = order.iter().filter(|c| c.0 <= edge).filter(telling).min_by(|a, b| a.3.total_cmp(&b.3));
        let worth = near.or_else(|| order.iter().find(telling)).filter(|_| self.settings.may_probe);
        match (p.probed, worth) {
            (None, Some(&(_, host, ..))) => {
                self.probe(host, Why::Read);
                self.pending.entry(id).and_modify(|p| p.probed = Some((host, now)));
                return false;
            }
            (Some((host, at)), _) => {
                let open = self.members.get(&host).is_some_and(|m| m.probe_sent.is_some());
                if open && now - at < PROBE_WAIT {
                    return false;
                }
            }
            _ => {}
        }
        // Another member is known to be fresh enough: the primary is spared.
        if let Some(host) = other {
            return self.send(id, host);
        }
        // Members that check reads themselves may be taken at their last lag, and where the probe brought
        // no report: probes can fail at members that serve.
        let likely = order.iter().find(|c| {
            let m = &self.members[&c.1];
            let unheard = p.probed.is_some_and(|(h, at)| h == c.1 && m.seen_at < at);
            let near = now - m.seen_at < LAG_TRUST && minimum.is_some_and(|min| now - m.lag >= min);
            checks && (near || unheard)
        });
        if let Some(&(_, host, ..)) = likely {
            return self.send(id, host);
        }
        self.ask_leader(id, group)
    }

    /// Whether a zone's share of reads takes this one; the draw is the request's own, as for shedding.
    fn admits(&self, id: RequestId, zone: u32) -> bool {
        let draw =
            id.0.iter().fold(u64::from(zone), |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
        let share = self.shares.as_ref().and_then(|shares| shares.get(&zone));
        share.is_none_or(|share| unit(self.settings.seed, draw) < *share)
    }

    fn next_trial(&mut self, host: HostId) {
        let Some(rate) = self.members.get(&host).map(|m| self.pace(m.group) / PACE_SPAN) else { return };
        let pause = (TRIAL_EVERY / rate.max(1e-12)).clamp(TRIAL_PAUSE.0, TRIAL_PAUSE.1) as Micros;
        let suspicion = self.members.get_mut(&host).and_then(|m| m.suspicion.as_mut());
        suspicion.into_iter().for_each(|s| (s.tried_at, s.trial_at) = (self.now, self.now + pause));
    }

    fn probe(&mut self, host: HostId, why: Why) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&host) else { return };
        let open = m.probe_sent.is_some_and(|at| now - at < PROBE_LOST);
        if self.settings.may_probe && !open && m.listed == Listed::Up {
            m.probe_sent = Some(now);
            self.out.push(Action::Probe(host, why));
        }
    }

    /// The member with the newest proof of being primary that nothing newer denies.
    fn leader(&self, group: GroupId) -> Option<HostId> {
        let members = self.groups.get(&group)?.members.iter();
        let claims = |h: &&HostId| {
            let m = &self.members[h];
            m.listed == Listed::Up && m.primary_at > m.replica_at
        };
        members.filter(claims).copied().max_by_key(|h| self.members[h].primary_at)
    }

    fn ask_leader(&mut self, id: RequestId, group: GroupId) -> bool {
        let Some(leader) = self.leader(group).filter(|h| self.members[h].usable()) else {
            self.search(group);
            return false;
        };
        let Some(g) = self.groups.get_mut(&group) else { return false };
        g.search_pause = SEARCH_PAUSE;
        let (m, now) = (&self.members[&leader], self.now);
        let Some(p) = self.pending.get(&id) else { return false };
        let class = self.settings.classes[p.class.0].consistency;
        let bound = matches!(class, Consistency::Write | Consistency::Fresh);
        let crowded = m.flights.len() as f64 + 1.0 > m.limit * SPILL_SHARE;
        let spills = bound || (!crowded && self.admitted(id, p, true, SPILL_WEIGHT));
        if !spills || !m.room(now) || m.doubt(now, &self.usual) >= WARY || self.budget(leader) < 1.0 {
            return false;
        }
        self.send(id, leader)
    }

    /// Writes find the primary by trying members in turn, one at a time for the whole group; after
    /// a round of misses probes go on looking.
    fn write(&mut self, id: RequestId, group: GroupId) -> bool {
        if self.leader(group).is_some_and(|h| self.members[&h].usable()) {
            self.groups.entry(group).or_default().tried.clear();
            return self.ask_leader(id, group);
        }
        let now = self.now;
        let (Some(g), Some(p)) = (self.groups.get(&group), self.pending.get(&id)) else { return false };
        let scouting = g.scout.is_some_and(|s| s != id && self.pending.contains_key(&s));
        let spare = p.attempts + SPARE_ATTEMPTS < self.settings.max_attempts;
        if scouting || now < g.round_at || !spare || p.ran_at.is_some() {
            self.search(group);
            return false;
        }
        let able = |h: &HostId| self.members[h].usable() && !g.tried.contains(h) && self.budget(*h) >= 1.0;
        let next = g.members.iter().copied().filter(able).max_by_key(|h| {
            let m = &self.members[h];
            (m.primary_at > m.replica_at, m.head, -m.replica_at, m.position, m.local)
        });
        let Some(g) = self.groups.get_mut(&group) else { return false };
        let Some(host) = next else {
            (g.scout, g.round_at) = (None, now + ROUND_PAUSE);
            g.tried.clear();
            self.search(group);
            return false;
        };
        g.scout = Some(id);
        g.tried.insert(host);
        self.send(id, host)
    }

    fn search(&mut self, group: GroupId) {
        let now = self.now;
        let Some(g) = self.groups.get_mut(&group) else { return };
        if self.settings.may_probe && now >= g.search_at {
            g.search_pause = (g.search_pause * 2).clamp(SEARCH_PAUSE, SEARCH_LONGEST);
            g.search_at = now + g.search_pause;
            for host in g.members.clone() {
                self.probe(host, Why::Search);
            }
        }
    }

    fn send(&mut self, id: RequestId, host: HostId) -> bool {
        let now = self.now;
        let Some(until) = self.pending.get(&id).map(|p| self.until(p)) else { return false };
        let budget = self.budget(host);
        let (Some(p), Some(m)) = (self.pending.get_mut(&id), self.members.get_mut(&host)) else {
            return false;
        };
        let (attempt, class, key) = (AttemptNo(p.attempts), p.class, p.key);
        m.flights.push(Flight { id, attempt, class, key, sent: now, from: now, cancelled: false });
        p.attempts += 1;
        p.flying = Some(host);
        p.probed = None;
        (m.budget, m.budget_at) = (budget - 1.0, now);
        // A bound counts from the last byte sent, and the position ages until then; the primary's does not.
        let holds_until = match self.settings.classes[class.0].consistency {
            Consistency::Bounded(bound) if m.primary_at <= m.replica_at => Some(m.position + bound),
            _ => None,
        };
        self.out.push(Action::Send { id, host, timeout: (until - now).max(1), holds_until });
        true
    }

    /// The least part of its capacity that a member may have, by the time since its start.
    fn capacity(&self, host: HostId) -> f64 {
        let span = self.settings.cold_span.max(1) as f64;
        let age = self.members[&host].started.map_or(span, |at| (self.now - at).max(0) as f64);
        1.0 - (1.0 - self.settings.cold_from) * (1.0 - age / span).max(0.0)
    }

    /// The sends that a member may get now. While it may be cold they grow with what warm members of its
    /// group answer to this router, times its capacity, so all routers together stay below what fells
    /// it; they start at a point of the router's own, so that not all send at once.
    fn budget(&self, host: HostId) -> f64 {
        let (m, now) = (&self.members[&host], self.now);
        let capacity = self.capacity(host);
        if capacity >= 1.0 {
            return 1.0;
        }
        let warm = |h: &&HostId| self.members[h].usable() && self.capacity(**h) >= 1.0;
        let mean = |hosts: &mut dyn Iterator<Item = &HostId>| {
            let rates: Vec<f64> = hosts.filter(warm).map(|h| self.members[h].rate(now)).collect();
            (!rates.is_empty()).then(|| rates.iter().sum::<f64>() / rates.len() as f64)
        };
        let kin = self.groups.get(&m.group).and_then(|g| mean(&mut g.members.iter()));
        let least = LEAST_RATE / f64::from(self.settings.routers.max(1));
        let mean = kin.or_else(|| mean(&mut self.members.keys())).unwrap_or(0.0).max(least);
        let rate = mean * capacity * (self.settings.fall_multiple * COLD_SHARE).max(1.0);
        let most = 1.0 + rate * self.settings.fall_span as f64 * 0.1;
        (m.budget + rate * (now - m.budget_at).max(0) as f64).min(most)
    }

    /// What a request that never reached a member lacked.
    fn lack(&self, p: &Pending) -> Option<Reason> {
        let (g, leader, minimum) = (self.groups.get(&p.group)?, self.leader(p.group), self.minimum(p)?);
        if matches!(self.settings.classes[p.class.0].consistency, Consistency::Write | Consistency::Fresh) {
            return leader.is_none_or(|h| !self.members[&h].usable()).then_some(Reason::NoPrimary);
        }
        let others = g.members.iter().filter(|h| Some(**h) != leader).map(|h| &self.members[h]);
        let known = others.filter(|m| m.listed == Listed::Up).map(|m| m.position).max().unwrap_or(0);
        (known < minimum).then_some(Reason::TooStale { needed: minimum, known })
    }

    /// The members as they are seen now.
    pub fn view(&self) -> impl Iterator<Item = View> + '_ {
        self.members.iter().map(|(host, m)| View {
            host: *host,
            group: m.group,
            primary: self.leader(m.group) == Some(*host),
            active: m.listed == Listed::Up,
            position: m.position,
            heard: m.seen_at,
            suspected: m.suspicion.as_ref().map(|s| s.since),
            in_flight: m.flights.len(),
            slowness: m.slowness,
        })
    }

    fn give_up(&mut self, id: RequestId, reason: Reason) {
        let Some(p) = self.finish(id) else { return };
        let waited = !p.reached && matches!(reason, Reason::HeldTooLong | Reason::OutOfTime);
        let reason = self.lack(&p).filter(|_| waited).unwrap_or(reason);
        let effect = self.settings.classes[p.class.0].effect;
        let safe = matches!(effect, Effect::Safe | Effect::Keyed { everywhere: true, .. });
        // An attempt that is still out may run: at the process's end there can be one.
        let harmless = safe || (p.ran_at.is_none() && p.flying.is_none());
        let retry_after = RETRY_AFTER.min(self.settings.max_retry_after);
        let end =
            if harmless { Action::Refuse { id, retry_after, reason } } else { Action::Fail(id, reason) };
        self.out.push(end);
    }

    fn finish(&mut self, id: RequestId) -> Option<Pending> {
        let p = self.pending.remove(&id)?;
        let _ = self.groups.get_mut(&p.group).map(|g| g.held.remove(&id));
        Some(p)
    }

    fn outcome(&mut self, o: &Outcome) {
        let now = self.now;
        let Some(group) = self.members.get(&o.host).map(|m| m.group) else { return };
        let (led, pace) = (self.leader(group) == Some(o.host), self.pace(group));
        let Some(g) = self.groups.get_mut(&group) else { return };
        // Where answers are late everywhere, one that is late says little of its member.
        let health = (-g.sheds[usize::from(led)].at(now)).exp();
        let Some(m) = self.members.get_mut(&o.host) else { return };
        let Some(at) = m.flights.iter().position(|f| f.id == o.id && f.attempt == o.attempt) else { return };
        let flight = m.flights.remove(at);
        let usual = self.usual[flight.class.0];
        let consistency = self.settings.classes[flight.class.0].consistency;
        let full = o.ending == Ending::Full;
        let ratio = if full { SLOWEST } else { (o.latency as f64 / usual).min(SLOWEST) };
        m.role(o.role, now);
        let write_done = consistency == Consistency::Write && o.ending == Ending::Ok;
        if o.role == Some(Role::Replica) || write_done {
            m.place(o.position, now);
        } else if o.role == Some(Role::Primary) {
            // It was the primary when it answered, at some time after the send.
            m.place(Some(flight.sent), now);
        }
        match o.ending {
            Ending::Ok | Ending::Error | Ending::Miss => {
                m.answered_at = now;
                m.debt = 0.0;
                if m.suspicion.take().is_some() {
                    m.slowness = 1.0;
                }
            }
            // Only silence counts: what timed out while others were answered was merely long.
            Ending::Timeout => m.debt += (now - flight.from.max(m.answered_at)) as f64 / usual * health,
            // One that is full proves nothing: a hung one fills up too.
            Ending::Full => m.debt += WARY,
            Ending::ConnectFailed => m.debt += REFUSED,
            Ending::Reset => m.debt += BROKEN,
            Ending::Cancelled | Ending::Moot => {}
        }
        let quota = o.latency as f64 / self.settings.classes[flight.class.0].aim.max(1) as f64;
        // What was out while the router stood still came when it came: its time tells nothing.
        let timed = flight.sent >= self.awake;
        let strain = match o.ending {
            Ending::Ok if timed => Some(quota),
            Ending::Timeout | Ending::Cancelled if timed => Some(LOST),
            Ending::Full => Some(FULL),
            _ => None,
        };
        g.scout = g.scout.filter(|s| *s != o.id);
        // A former primary that turned a write away is not asked again in this round.
        if consistency == Consistency::Write && o.ending == Ending::Miss {
            g.tried.insert(o.host);
        }
        if let Some(strain) = strain {
            m.learn(if o.ending == Ending::Ok { quota } else { strain.max(quota) });
            let others = m.flights.len() as f64;
            g.sheds[usize::from(led)].learn(strain, 1.0 / ((1.0 + others) * (PACE_LEAST + pace)), now);
        }
        let slow =
            matches!(o.ending, Ending::Timeout | Ending::Cancelled | Ending::Full) && ratio > m.slowness;
        if timed && (o.ending == Ending::Ok || slow) {
            m.slowness += MEMBER_WEIGHT * (ratio - m.slowness);
            m.sampled_at = now;
        }
        if o.ending == Ending::Ok {
            (m.rate, m.rated_at) = (m.rate(now) + 1.0 / RATE_SPAN, now);
            let weight = if timed { CLASS_WEIGHT } else { 0.0 };
            let u = &mut self.usual[flight.class.0];
            *u = (*u + weight * (o.latency as f64 - *u)).max(1e3);
        }
        if write_done {
            self.remember(flight.key, o.position);
        }
        self.judge(o.host, matches!(o.ending, Ending::ConnectFailed | Ending::Reset));
        let never_ran =
            matches!(o.ending, Ending::Full | Ending::ConnectFailed | Ending::Moot | Ending::Miss);
        if o.terminal || o.ending == Ending::Ok {
            self.finish(o.id);
        } else if let Some(p) = self.pending.get_mut(&o.id) {
            p.flying = None;
            if consistency != Consistency::Write || o.ending != Ending::Miss {
                p.shunned.insert(o.host);
            }
            p.reached |= !matches!(o.ending, Ending::ConnectFailed | Ending::Moot);
            if !never_ran {
                p.ran_at.get_or_insert(flight.sent);
            }
            match self.settings.classes[p.class.0].effect {
                Effect::Unsafe if !never_ran => self.give_up(o.id, Reason::MayHaveRun),
                _ => self.dispatch(o.id),
            }
        }
        self.wake(group);
    }

    fn remember(&mut self, key: Option<SessionKey>, commit: Option<Micros>) {
        let (Some(key), Some(commit), false) = (key, commit, self.settings.tokens_carried) else { return };
        let known = self.commits.entry(key).or_insert(commit);
        *known = (*known).max(commit);
        if self.commits.len() > COMMITS {
            let mut times: Vec<Micros> = self.commits.values().copied().collect();
            times.sort_unstable();
            let floor = times[times.len() / 2];
            self.commits.retain(|_, at| *at > floor);
            self.commit_floor = Some(floor);
        }
    }

    fn probed(&mut self, probed: &Probed) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&probed.host) else { return };
        m.probe_sent = None;
        m.reported_at = now;
        if probed.ok {
            // A primary stands at the present: its position dates the report.
            m.place(probed.position, now);
            m.queue = probed.queue.unwrap_or(0.0);
            let at = probed.position.unwrap_or(now - LIST_AGE).min(now);
            m.role(probed.role, at);
            // A hung one's position stands still: a primary that moved on since the suspicion works, and so
            // does a replica that only failed connections spoke against.
            let led = probed.role == Some(Role::Primary);
            if m.suspicion.as_ref().is_some_and(|s| at > s.since && (led || s.broken)) {
                (m.suspicion, m.debt, m.answered_at) = (None, 0.0, now);
            }
            // A silent one that moved on is tried at once, since it may only have been slow.
            if let Some(s) = m.suspicion.as_mut().filter(|s| at > s.since) {
                s.trial_at = s.trial_at.min(s.tried_at + TRIAL_FIRST).max(now);
            }
        }
        let (group, waiting) = (m.group, m.waiting(now));
        let (led, pace) = (self.leader(group) == Some(probed.host), self.pace(group));
        if let (Some(_), Some(g)) = (probed.queue, self.groups.get_mut(&group)) {
            let strain = (IDLE + QUEUED * waiting).min(FULL);
            g.sheds[usize::from(led)].learn(strain, 1.0 / (PACE_LEAST + pace), now);
        }
        self.wake(group);
    }

    fn wake(&mut self, group: GroupId) {
        let Some(g) = self.groups.get(&group) else { return };
        // Most worth for the work first, then the newest, which has most time left.
        let rank = |id: &RequestId| {
            let p = self.pending.get(id)?;
            let class = &self.settings.classes[p.class.0];
            let part = if self.now - p.arrived < class.aim { 1.0 } else { class.late_worth };
            Some((class.worth * part / self.usual[p.class.0], p.arrived, *id))
        };
        let mut held: Vec<_> = g.held.iter().filter_map(rank).collect();
        held.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        held.into_iter().for_each(|(_, _, id)| self.dispatch(id));
    }

    fn wake_all(&mut self) {
        let held = |(group, g): (&GroupId, &Group)| (!g.held.is_empty()).then_some(*group);
        let groups: Vec<GroupId> = self.groups.iter().filter_map(held).collect();
        groups.into_iter().for_each(|group| self.wake(group));
    }

    /// Turns doubt into suspicion.
    fn judge(&mut self, host: HostId, broken: bool) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&host) else { return };
        // A wary member with nothing in flight would be left alone for good: only trials clear it.
        let floor = if m.flights.is_empty() { WARY } else { SUSPECT };
        if m.suspicion.is_none() && m.doubt(now, &self.usual) >= floor {
            m.suspicion = Some(Suspicion { since: now, broken, tried_at: 0, trial_at: now + TRIAL_FIRST });
        }
    }

    fn sweep(&mut self) {
        let now = self.now;
        self.due = None;
        let hosts: BTreeSet<HostId> = self.pending.values().filter_map(|p| p.flying).collect();
        for host in hosts {
            self.judge(host, false);
            let group = self.members[&host].group;
            let elsewhere = self.leader(group).is_some_and(|h| h != host && self.members[&h].usable());
            let Some(m) = self.members.get_mut(&host) else { continue };
            if m.suspicion.is_none() || !self.settings.may_cancel {
                continue;
            }
            for f in m.flights.iter_mut().filter(|f| !f.cancelled) {
                let overdue = (now - f.sent) as f64 > PATIENCE * self.usual[f.class.0];
                let repeatable = match self.settings.classes[f.class.0].effect {
                    Effect::Safe => true,
                    Effect::Keyed { window, .. } => elsewhere && now - f.sent < window / 2,
                    Effect::Unsafe => false,
                };
                if overdue && repeatable {
                    f.cancelled = true;
                    self.out.push(Action::Cancel { id: f.id, attempt: f.attempt });
                }
            }
        }
        self.wake_all();
    }
}
