//! Facts of this proxy's own, and what all have told of them.

use super::*;

impl Replica {
    /// A member has told its position itself. Told on where it is a step ahead of what is held: the step grows with
    /// the members and the fleet, so that positions stay within half of the budget for what changed.
    pub fn position(&mut self, now: Micros, member: u64, epoch: i64, at: Micros) {
        let key = Key::Position(member);
        let ahead = match self.store.get(&key).map(Entry::value) {
            Some(Value::Position { epoch: held, at: was }) => {
                epoch > held || (epoch == held && at >= was.saturating_add(self.step()))
            }
            _ => true,
        };
        if ahead {
            self.say(now, key, Value::Position { epoch, at });
        }
    }

    /// The step between positions of one member that are told on.
    pub fn step(&self) -> Micros {
        let rounds = u64::from(transmissions(self.alive.len()));
        let all = self.store.len() as u64 * POSITION_BYTES * rounds;
        let second = (self.terms.bytes_per_second / 4).max(1);
        STEP_LEAST.max((all as f64 / second as f64 * 1e6) as Micros)
    }

    /// Whether this proxy suspects a member now; called while it does, and once when it no longer does.
    pub fn suspects(&mut self, now: Micros, member: u64, suspects: bool) {
        let key = Key::Mark(member);
        let held = match self.store.get(&key).map(Entry::value) {
            Some(Value::Mark { stamp, mark }) => Some((stamp, mark)),
            _ => None,
        };
        let again = match (held, suspects) {
            (Some((stamp, Mark::Suspected)), true) => now - stamp.wall >= MARK_AGAIN,
            (_, true) => true,
            (Some((_, Mark::Suspected)), false) => true,
            (_, false) => false,
        };
        if again {
            let stamp = self.clock.stamp(now);
            let mark = if suspects { Mark::Suspected } else { Mark::Clear };
            self.say(now, key, Value::Mark { stamp, mark });
        }
    }

    /// Counts.
    pub fn count(&mut self, now: Micros, counter: u32, by: u64) {
        let own = self.own.entry(counter).or_insert((0, now));
        own.0 += by;
        let (value, key) = (Value::Count(own.0), Key::Count(counter, self.me));
        // Told on once a second at most: what counts fast would else fill every datagram.
        if self.store.get(&key).is_none_or(|held| now - held.wall() >= 1_000_000) {
            own.1 = now;
            self.say(now, key, value);
        }
    }

    /// What all proxies have counted, as far as it is known here. An ended process's count holds for its life.
    pub fn total(&self, counter: u32) -> u64 {
        let own = self.own.get(&counter).map_or(0, |(count, _)| *count);
        let others = self.store.iter().filter_map(|(key, entry)| match (key, entry.value()) {
            (Key::Count(c, by), Value::Count(count)) if *c == counter && *by != self.me => Some(count),
            _ => None,
        });
        own + others.sum::<u64>()
    }

    /// Whether a write may have run, or ran, as far as any proxy told: it must not be sent again.
    pub fn in_doubt(&self, write: u64) -> bool {
        let held = self.store.get(&Key::Doubt(write)).map(Entry::value);
        matches!(held, Some(Value::Doubt(Doubt::Open | Doubt::Ran)))
    }

    /// All that is held of writes in doubt, and when each was last vouched for.
    pub fn doubts(&self) -> impl Iterator<Item = (u64, Doubt, Micros)> + '_ {
        let held = self.store.from(Key::Doubt(0));
        held.map_while(|(key, entry)| match (key, entry.value()) {
            (Key::Doubt(write), Value::Doubt(doubt)) => Some((*write, doubt, entry.wall())),
            _ => None,
        })
    }

    /// What this proxy knows of a write whose client got no answer of its success.
    pub fn doubt(&mut self, now: Micros, write: u64, doubt: Doubt) {
        if self.say(now, Key::Doubt(write), Value::Doubt(doubt)) {
            self.urgent(now, Key::Doubt(write));
        }
    }

    /// What this proxy, as router `me`, says of how a member does; its first word is told at once.
    pub fn voice(&mut self, now: Micros, member: u64, me: u64, voice: Voice) {
        let key = Key::Health(member, me);
        let first = self.store.get(&key).is_none();
        if self.say(now, key, Value::Health(voice)) && first {
            self.urgent(now, key);
        }
    }

    /// What routers say of members, each with its member and its router.
    pub fn voices(&self) -> impl Iterator<Item = (u64, u64, Voice)> + '_ {
        let held = self.store.from(Key::Health(0, 0));
        held.filter_map(|(key, entry)| match (key, entry.value()) {
            (Key::Health(member, router), Value::Health(voice)) => Some((*member, *router, voice)),
            _ => None,
        })
    }
}
