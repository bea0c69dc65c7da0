//! What is learned from the ends of attempts and from reports, and what becomes of the request.

use super::*;

/// Weight of one answer in a member's latency and in a class's.
const MEMBER_WEIGHT: f64 = 0.1;
const CLASS_WEIGHT: f64 = 0.02;
/// The most that a member's latency is taken to be, in usual times; a full one has it.
const SLOWEST: f64 = 8.0;
/// Parts of the aim that count for: a lost answer (not all are lost to load), a full member, a report
/// with nothing queued, and each usual time of wait in a reported queue.
const LOST: f64 = 0.7;
const FULL: f64 = 1.5;
const IDLE: f64 = 0.2;
const QUEUED: f64 = 0.25;
/// Remembered commits; beyond them the older half becomes one floor.
const COMMITS: usize = 100_000;

impl Router {
    pub(super) fn outcome(&mut self, o: &AttemptResult) {
        let now = self.now;
        let Some(group) = self.members.get(&o.host).map(|m| m.group) else { return };
        let (led, pace) = (self.leader(group) == Some(o.host), self.pace(group));
        let Some(g) = self.groups.get_mut(&group) else { return };
        let shed = &mut g.sheds[usize::from(led)];
        // Where answers are late all_groups, one that is late says little of its member.
        let health = (-shed.at(now)).exp();
        let Some(m) = self.members.get_mut(&o.host) else { return };
        let Some(at) = m.flights.iter().position(|f| f.id == o.id && f.attempt == o.attempt) else { return };
        let flight = m.flights.remove(at);
        let (class, usual) = (&self.settings.classes[flight.class.0], &mut self.usual[flight.class.0]);
        let (write, ok) = (class.consistency == Consistency::Write, o.outcome == AttemptOutcome::Ok);
        let ratio = if o.outcome == AttemptOutcome::Overloaded {
            SLOWEST
        } else {
            (o.latency as f64 / *usual).min(SLOWEST)
        };
        m.role(o.role, now);
        if o.role == Some(Role::Replica) || (write && ok) {
            m.place(o.position, now);
        } else if o.role == Some(Role::Primary) {
            // It was the primary when it answered, at some time after the send.
            m.place(Some(flight.sent), now);
        }
        match o.outcome {
            AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Misrouted => {
                m.answered_at = now;
                m.debt = 0.0;
                if m.suspicion.take().is_some() {
                    m.relative_latency = 1.0;
                }
            }
            // Only silence counts: what timed out while others were answered was merely long.
            AttemptOutcome::Timeout => m.debt += m.silence(&flight, now, self.awake) / *usual * health,
            // One that is full proves nothing: a hung one fills up too.
            AttemptOutcome::Overloaded => m.debt += WARY,
            AttemptOutcome::ConnectFailed => m.debt += REFUSED,
            AttemptOutcome::Reset => m.debt += BROKEN,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        let quota = o.latency as f64 / class.latency_objective.max(1) as f64;
        // What was out while the router stood still came when it came: its time tells nothing.
        let timed = flight.sent >= self.awake;
        let strain = match o.outcome {
            AttemptOutcome::Ok if timed => Some(quota),
            AttemptOutcome::Timeout | AttemptOutcome::Cancelled if timed => Some(LOST),
            AttemptOutcome::Overloaded => Some(FULL),
            _ => None,
        };
        if let Some(strain) = strain {
            m.learn(strain.max(quota));
            shed.learn(strain, m.flights.len(), pace, now);
            if timed && (ok || ratio > m.relative_latency) {
                m.relative_latency += MEMBER_WEIGHT * (ratio - m.relative_latency);
                m.sampled_at = now;
            }
        }
        if ok {
            (m.rate, m.rated_at) = (m.rate(now) + 1.0 / RATE_SPAN, now);
            let weight = if timed { CLASS_WEIGHT } else { 0.0 };
            *usual = (*usual + weight * (o.latency as f64 - *usual)).max(1e3);
        }
        g.scout = g.scout.filter(|s| *s != o.id);
        // A former primary that turned a write away is not asked again in this round.
        let turned_away = write && o.outcome == AttemptOutcome::Misrouted;
        g.tried.extend(turned_away.then_some(o.host));
        if write && ok {
            self.remember(flight.key, o.position);
        }
        self.judge(o.host, matches!(o.outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::Reset));
        if o.terminal || ok {
            self.finish(o.id);
        } else if let Some(p) = self.pending.get_mut(&o.id) {
            p.flying = None;
            p.shunned.extend((!turned_away).then_some(o.host));
            let unsent = matches!(o.outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent);
            p.reached |= !unsent;
            if !unsent && !matches!(o.outcome, AttemptOutcome::Overloaded | AttemptOutcome::Misrouted) {
                p.ran_at.get_or_insert(flight.sent);
            }
            self.dispatch(o.id);
        }
        self.wake(group);
    }

    fn remember(&mut self, key: Option<SessionKey>, commit: Option<Micros>) {
        let (Some(key), Some(commit), false) = (key, commit, self.settings.sessions_carry_tokens) else {
            return;
        };
        self.commits.entry(key).and_modify(|known| *known = commit.max(*known)).or_insert(commit);
        if self.commits.len() > COMMITS {
            let mut times: Vec<Micros> = self.commits.values().copied().collect();
            times.sort_unstable();
            let floor = times[times.len() / 2];
            self.commits.retain(|_, at| *at > floor);
            self.commit_floor = Some(floor);
        }
    }

    pub(super) fn probed(&mut self, probed: &ProbeResult) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&probed.host) else { return };
        m.probe_sent = None;
        m.reported_at = now;
        if probed.answered {
            // A primary stands at the present: its position dates the report.
            m.place(probed.position, now);
            m.queue = probed.queued.unwrap_or(0.0);
            let at = probed.position.unwrap_or(now - LIST_AGE).min(now);
            m.role(probed.role, at);
            if let Some(s) = m.suspicion.as_mut().filter(|s| at > s.since) {
                // A silent one that moved on is tried at once, since it may only have been slow.
                s.trial_at = s.trial_at.min(s.tried_at + TRIAL_FIRST).max(now);
                // A hung one's position stands still: a primary that moved on since the suspicion works, and
                // so does a replica that only failed connections spoke against.
                if s.broken || probed.role == Some(Role::Primary) {
                    (m.suspicion, m.debt, m.answered_at) = (None, 0.0, now);
                }
            }
        }
        let (group, waiting) = (m.group, m.waiting(now));
        let (led, pace) = (self.leader(group) == Some(probed.host), self.pace(group));
        if let (Some(_), Some(g)) = (probed.queued, self.groups.get_mut(&group)) {
            let strain = (IDLE + QUEUED * waiting).min(FULL);
            g.sheds[usize::from(led)].learn(strain, 0, pace, now);
        }
        self.wake(group);
    }
}
