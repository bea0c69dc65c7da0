//! Members as the list names them and as they show themselves: roles, positions, doubt, suspects on trial.

use super::*;

/// µs in which a latency not measured anew drifts back to the usual one: the member is tried again.
const FORGET: f64 = 8e6;
/// A safe attempt at a suspect is taken back after this many usual times.
const PATIENCE: f64 = 2.0;
/// Least and most pause between trials of a suspect: a trial for each so many answers of the group, since
/// a router with little traffic must not spend most of it on trials.
const TRIAL_PAUSE: (f64, f64) = (1.5e6, 12e6);
const TRIAL_EVERY: f64 = 5.0;
/// A probe without an answer is sent again after this time.
const PROBE_LOST: Micros = 300_000;
/// A member this long off the list is forgotten.
const FORGOTTEN: Micros = 60_000_000;

impl Member {
    /// Where gone is advice only draining binds: other members show by themselves whether they run.
    fn remove(&mut self, advice: bool, now: Micros) {
        let stays = advice && self.status == EndpointStatus::Up;
        self.status = if stays { EndpointStatus::Up } else { EndpointStatus::Removed };
        self.removed_at = if self.removed_at == 0 { now } else { self.removed_at };
    }

    pub(super) fn usable(&self) -> bool {
        self.status == EndpointStatus::Up && self.suspicion.is_none()
    }

    /// µs that one in flight waits for any answer: since its send, the last, or when the router stood still.
    pub(super) fn silence(&self, flight: &Flight, now: Micros, awake: Micros) -> f64 {
        (now - flight.sent.max(awake).max(self.answered_at)) as f64
    }

    pub(super) fn role(&mut self, role: Option<Role>, at: Micros) {
        match role {
            Some(Role::Primary) => self.primary_at = self.primary_at.max(at),
            Some(Role::Replica) => self.replica_at = self.replica_at.max(at),
            None => {}
        }
    }

    fn traits(&self, now: Micros) -> LearnedTraits {
        let Member { limit, relative_latency, primary_at, replica_at, .. } = *self;
        LearnedTraits {
            concurrency_limit: limit,
            relative_latency,
            answer_rate: self.rate(now),
            primary_at,
            replica_at,
        }
    }

    pub(super) fn place(&mut self, position: Option<Micros>, now: Micros) {
        let Some(position) = position else { return };
        (self.lag, self.seen_at) = (now - position, now);
        self.position = self.position.max(position.min(now));
    }
}

impl Router {
    pub(super) fn list(&mut self, entries: &[Endpoint], whole: bool) {
        let (now, advice) = (self.now, self.settings.removal_is_advisory);
        if whole {
            let here: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
            let gone = self.members.iter_mut().filter(|(host, _)| !here.contains(host));
            gone.for_each(|(_, member)| member.remove(advice, now));
            // Members long off the list that are silent or were bound to go are forgotten.
            self.members.retain(|_, m| {
                let off = m.removed_at.max(m.answered_at);
                m.removed_at == 0 || now - off < FORGOTTEN || !m.flights.is_empty()
            });
            self.groups.values_mut().for_each(|g| g.members.retain(|h| self.members.contains_key(h)));
        }
        for entry in entries {
            let new = !self.members.contains_key(&entry.host);
            let unknown =
                || Member { group: entry.group, relative_latency: 1.0, limit: LIMIT, ..Member::default() };
            let member = self.members.entry(entry.host).or_insert_with(unknown);
            if entry.status == EndpointStatus::Removed {
                member.remove(advice, now);
                continue;
            }
            (member.removed_at, member.status) = (0, entry.status);
            (member.local, member.zone) = (entry.local, entry.zone);
            // The new process is cold, and whatever was held against the old one is over.
            if entry.started_at != member.started_at || (new && self.listed_once) {
                member.started_at = entry.started_at;
                member.started = Some(entry.started_at.unwrap_or(now));
                member.budget = unit(self.settings.seed, u64::from(entry.host.0));
                (member.budget_at, member.debt, member.suspicion, member.relative_latency) =
                    (now, 0.0, None, 1.0);
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

    /// What other routers learned: a position is a lower bound and no sign of life; a member suspected there
    /// is may_have_run as by one refused connection, unless it has answered here since.
    pub(super) fn told(&mut self, told: &[PeerObservation]) {
        for t in told {
            let Some(m) = self.members.get_mut(&t.host) else { continue };
            m.position = m.position.max(t.position.min(self.now));
            m.debt = m.debt.max(if t.suspected_at > m.answered_at { REFUSED } else { 0.0 });
            let Some(t) = &t.traits else { continue };
            (m.limit, m.relative_latency, m.sampled_at) = (t.concurrency_limit, t.relative_latency, self.now);
            (m.rate, m.rated_at) = (t.answer_rate, self.now);
            (m.primary_at, m.replica_at) = (m.primary_at.max(t.primary_at), m.replica_at.max(t.replica_at));
        }
        self.wake_all();
    }

    /// The group's members with what is known of them.
    pub(super) fn kin(&self, group: GroupId) -> impl Iterator<Item = (HostId, &Member)> + '_ {
        let hosts = self.groups.get(&group).into_iter().flat_map(|g| &g.members);
        hosts.map(|host| (*host, &self.members[host]))
    }

    pub(super) fn doubt(&self, m: &Member) -> f64 {
        let usual = |f: &Flight| self.usual[f.class.0] * m.relative_latency.max(1.0);
        m.debt + m.flights.iter().map(|f| m.silence(f, self.now, self.awake) / usual(f)).sum::<f64>()
    }

    /// Latency in multiples of the usual one; silence counts before it has ended.
    pub(super) fn closeness(&self, m: &Member) -> f64 {
        let age = (self.now - m.sampled_at).min(1 << 40) as f64;
        let measured = 1.0 + (m.relative_latency - 1.0) * (-age / FORGET).exp();
        measured.max(self.doubt(m) / 2.0) + m.waiting(self.now)
    }

    /// Turns doubt into suspicion.
    pub(super) fn judge(&mut self, host: HostId, broken: bool) {
        let (now, Some(m)) = (self.now, self.members.get(&host)) else { return };
        // A wary member with nothing in flight would be left alone for good: only trials clear it.
        let floor = if m.flights.is_empty() { WARY } else { SUSPECT };
        if m.suspicion.is_none() && self.doubt(m) >= floor {
            let suspicion = Suspicion { since: now, broken, tried_at: 0, trial_at: now + TRIAL_FIRST };
            self.members.entry(host).and_modify(|m| m.suspicion = Some(suspicion));
        }
    }

    pub(super) fn next_trial(&mut self, host: HostId, group: GroupId) {
        let rate = self.pace(group) / PACE_SPAN;
        let pause = (TRIAL_EVERY / rate.max(1e-12)).clamp(TRIAL_PAUSE.0, TRIAL_PAUSE.1) as Micros;
        let suspicion = self.members.get_mut(&host).and_then(|m| m.suspicion.as_mut());
        suspicion.into_iter().for_each(|s| (s.tried_at, s.trial_at) = (self.now, self.now + pause));
    }

    pub(super) fn probe(&mut self, host: HostId, why: ProbePurpose) {
        let Some(m) = self.members.get_mut(&host) else { return };
        let open = m.probe_sent.is_some_and(|at| self.now - at < PROBE_LOST);
        if self.settings.may_probe && !open && m.status == EndpointStatus::Up {
            m.probe_sent = Some(self.now);
            self.out.push(Action::Probe { host, purpose: why });
        }
    }

    /// Looks at what is silent, takes back what suspects hold and tries what is held again.
    pub(super) fn sweep(&mut self) {
        self.due = None;
        let hosts: BTreeSet<HostId> = self.pending.values().filter_map(|p| p.flying).collect();
        for host in hosts {
            self.judge(host, false);
            let group = self.members[&host].group;
            let elsewhere = self.leader(group).is_some_and(|h| h != host && self.members[&h].usable());
            let suspect = self.members.get_mut(&host).filter(|m| m.suspicion.is_some());
            for f in suspect.into_iter().flat_map(|m| &mut m.flights).filter(|f| !f.cancelled) {
                let overdue = (self.now - f.sent) as f64 > PATIENCE * self.usual[f.class.0];
                let repeatable = match self.settings.classes[f.class.0].idempotency {
                    Idempotency::Idempotent => true,
                    Idempotency::Keyed { window, .. } => elsewhere && self.now - f.sent < window / 2,
                    Idempotency::NotIdempotent => false,
                };
                if self.settings.may_cancel && overdue && repeatable {
                    f.cancelled = true;
                    self.out.push(Action::Cancel { id: f.id, attempt: f.attempt });
                }
            }
        }
        self.wake_all();
    }

    /// The members as they are seen now.
    pub fn member_views(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.members.iter().map(|(host, m)| MemberView {
            host: *host,
            group: m.group,
            primary: self.leader(m.group) == Some(*host),
            active: m.status == EndpointStatus::Up,
            position: m.position,
            position_seen_at: m.seen_at,
            suspected_since: m.suspicion.as_ref().map(|s| s.since),
            in_flight: m.flights.len(),
            traits: m.traits(self.now),
        })
    }
}
