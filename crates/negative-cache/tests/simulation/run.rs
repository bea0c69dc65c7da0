//! The steps of a simulation.

use super::*;

impl Simulation {
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
                let (to, event) = entry.remove();
                self.deliver(to, event);
            }
            for server in 0..self.servers.len() {
                let node = &mut self.servers[server];
                if self.now >= node.down_until {
                    let seals = node.server.seal(self.now + node.off);
                    seals.into_iter().for_each(|seal| self.spread(&Event::Sealed(seal)));
                }
            }
            for n in 0..self.proxies.len() {
                if self.proxies[n].alive && self.now >= self.proxies[n].paused_until {
                    self.turn(n);
                }
            }
        }
    }

    fn turn(&mut self, n: usize) {
        let at = self.now + self.proxies[n].off;
        if self.plan.shared {
            let p = &mut self.proxies[n];
            p.writes.advance(at);
            let requests = p.leases.take_due_requests(at, &p.writes);
            let announcements = p.cache.take_announcements(64);
            if !self.partitioned.contains(&n) {
                requests
                    .into_iter()
                    .for_each(|(server, request)| self.send(n, Event::LeaseRequest(server, request)));
                announcements
                    .into_iter()
                    .for_each(|announcement| self.spread(&Event::Announced(announcement)));
                // An exchange of copies now and then, for seals that were lost.
                if self.rng.random_bool(0.01) {
                    let (to, copy) = (
                        self.rng.random_range(0..self.proxies.len()),
                        self.proxies[n].cache.closed_timestamps(),
                    );
                    let copy = Event::ClosedTimestamps(Box::new(copy.clone()));
                    self.send(to, copy);
                }
            }
        }
        let each = STEP as f64 / SECOND as f64;
        for _ in 0..self.proxies[n].flood {
            let key = 1 << 40 | self.rng.random::<u32>() as u64;
            self.tally.flooded += 1;
            (0..2).for_each(|_| self.read(n, key, Freshness::MaxStaleness(2 * SECOND)));
        }
        if self.rng.random_bool((self.plan.reads * each).min(1.0)) {
            let (key, freshness) = match (self.rng.random_range(0..10), self.commits.last()) {
                (0, Some((key, at))) => (*key, Freshness::Session(Some(*at))),
                (1 | 2, _) => (self.zipf.draw(&mut self.rng), Freshness::MaxStaleness(5 * SECOND)),
                _ => (self.zipf.draw(&mut self.rng), Freshness::MaxStaleness(2 * SECOND)),
            };
            self.read(n, key, freshness);
        }
        if self.rng.random_bool((self.plan.writes * each).min(1.0)) {
            self.write(n);
        }
    }

    fn lookup_of(&self, key: u64) -> Lookup {
        Lookup::new(&self.hasher, 1, &key.to_le_bytes(), &key.to_le_bytes(), self.history.primary)
    }

    fn read(&mut self, n: usize, key: u64, freshness: Freshness) {
        let (at, lookup) = (self.now + self.proxies[n].off, self.lookup_of(key));
        let (flood, absent) = (key >> 40 == 1, !self.history.present(key, Micros::MAX));
        let repeat = !self.seen.insert(key);
        let result = self.proxies[n].cache.lookup(at, &lookup, freshness);
        let counted = u64::from(absent && !flood);
        self.tally.reads += counted;
        self.tally.repeats += counted * u64::from(repeat);
        match result {
            LookupResult::KnownMissing { position, response } => {
                self.tally.answered += counted;
                self.tally.advanced += u64::from(position > Micros::from(response) * 1_000 + 1_000 * SECOND);
                let needed = match freshness {
                    Freshness::MaxStaleness(age) => self.history.clock(self.now) - age,
                    Freshness::Session(at) => at.unwrap_or(Micros::MAX),
                    _ => unreachable!(),
                };
                if position < needed || !self.history.absent_since(key, position, self.now) {
                    self.tally
                        .wrong
                        .push(format!("{key} {freshness:?} at {} from {position}, proxy {n}", self.now));
                }
            }
            LookupResult::Miss(_) => {
                self.tally.members_asked += counted;
                self.tally.repeats_members_asked += counted * u64::from(repeat);
                let lag =
                    if self.rng.random_bool(0.3) { 0 } else { self.rng.random_range(0..=self.plan.max_lag) };
                let delay = self.rng.random_range(1_000..20_000);
                self.post(delay, n, Event::Read(lookup, key, lag));
            }
        }
    }

    fn write(&mut self, n: usize) {
        let (at, key) = (self.now + self.proxies[n].off, self.zipf.draw(&mut self.rng));
        let key_hash = self.lookup_of(key).key;
        let p = &mut self.proxies[n];
        if self.plan.shared && !p.leases.can_write(at) {
            self.tally.no_lease += 1;
            return;
        }
        let Some(write) = p.writes.begin(at, vec![key_hash]) else { return };
        self.tally.writes += 1;
        // Most run at once; some only just before they cannot any more. Of some no answer comes.
        let late = self.rng.random_bool(0.1);
        let most = if late { self.plan.config.max_commit_delay } else { 40_000 };
        let (delay, answers) = (self.rng.random_range(1_000..most), self.rng.random_bool(0.8));
        self.post(delay, n, Event::Write(write, key, answers));
        if late || !answers {
            self.post(SECOND, n, Event::InDoubt(write));
        }
    }

    fn deliver(&mut self, to: usize, event: Event) {
        // Members and lease servers act whether or not the proxy is alive.
        match event {
            Event::Write(write, key, answers) => {
                let at = self.history.toggle(key, self.now);
                if answers {
                    self.post(2_000, to, Event::Done(write, key, at));
                }
                return;
            }
            Event::Read(lookup, key, lag) => {
                let position = (self.history.clock(self.now) - lag).div_euclid(1_000) * 1_000;
                let none = !self.history.present(key, self.history.clock(self.now) - lag);
                return self.post(2_000, to, Event::Answer(lookup, none.then_some(position)));
            }
            Event::LeaseRequest(server, request) => {
                let node = &mut self.servers[server];
                if self.now >= node.down_until && !self.unreachable.contains(&(to, server)) {
                    if let Some(grant) = node.server.on_request(self.now + node.off, &request) {
                        self.send(to, Event::LeaseGrant(server, grant));
                    }
                }
                return;
            }
            _ => {}
        }
        let (now, partitioned) = (self.now, self.partitioned.contains(&to));
        let p = &mut self.proxies[to];
        if !p.alive {
            return;
        }
        if now < p.paused_until {
            let wait = p.paused_until - now;
            return self.post(wait, to, event);
        }
        let at = now + p.off;
        match event {
            Event::Answer(lookup, Some(position)) if lookup.primary == self.history.primary => {
                p.cache.record_missing(at, &lookup, position, ((position - 1_000 * SECOND) / 1_000) as u32);
            }
            Event::Answer(lookup, ..) => p.cache.record_present(&lookup),
            Event::Done(write, key, commit) => {
                p.writes.on_answered(at, write);
                self.commits.push((key, commit));
            }
            Event::InDoubt(write) => p.writes.on_in_doubt(at, write),
            _ if partitioned => {}
            Event::LeaseGrant(server, grant) => p.leases.on_grant(server, &grant),
            Event::ClosedTimestamps(copy) => p.cache.merge_closed_timestamps(at, &copy),
            Event::Sealed(seal) if p.cache.on_sealed_slot(at, &seal) => self.spread(&Event::Sealed(seal)),
            Event::Announced(announcement) if p.cache.on_announcement(at, &announcement) => {
                self.spread(&Event::Announced(announcement));
            }
            _ => {}
        }
    }
}
