//! The event loop of a simulation.

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
                    let seals = node.server.seal(self.now + node.clock_offset);
                    seals.into_iter().for_each(|seal| self.gossip(&Event::Sealed(seal)));
                }
            }
            for n in 0..self.proxies.len() {
                if self.proxies[n].alive && self.now >= self.proxies[n].paused_until {
                    self.step_proxy(n);
                }
            }
        }
    }

    fn step_proxy(&mut self, n: usize) {
        let at = self.now + self.proxies[n].clock_offset;
        if self.params.shared {
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
                    .for_each(|announcement| self.gossip(&Event::Announced(announcement)));
                // Occasionally send a copy of all closed timestamps, to make up for lost seals.
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
        let step_seconds = STEP as f64 / SECOND as f64;
        for _ in 0..self.proxies[n].flood {
            let key = 1 << 40 | self.rng.random::<u32>() as u64;
            self.results.flood_reads += 1;
            (0..2).for_each(|_| self.read(n, key, Freshness::MaxStaleness(2 * SECOND)));
        }
        if self.rng.random_bool((self.params.reads * step_seconds).min(1.0)) {
            let (key, freshness) = match (self.rng.random_range(0..10), self.commits.last()) {
                (0, Some((key, at))) => (*key, Freshness::Session(Some(*at))),
                (1 | 2, _) => (self.zipf.sample(&mut self.rng), Freshness::MaxStaleness(5 * SECOND)),
                _ => (self.zipf.sample(&mut self.rng), Freshness::MaxStaleness(2 * SECOND)),
            };
            self.read(n, key, freshness);
        }
        if self.rng.random_bool((self.params.writes * step_seconds).min(1.0)) {
            self.write(n);
        }
    }

    fn lookup_of(&self, key: u64) -> Lookup {
        Lookup::new(&self.hasher, 1, &key.to_le_bytes(), &key.to_le_bytes(), self.history.primary)
    }

    fn read(&mut self, n: usize, key: u64, freshness: Freshness) {
        let (at, lookup) = (self.now + self.proxies[n].clock_offset, self.lookup_of(key));
        let (flood, absent) = (key >> 40 == 1, !self.history.is_present(key, Micros::MAX));
        let is_repeat = !self.read_keys.insert(key);
        let result = self.proxies[n].cache.lookup(at, &lookup, freshness);
        let counted = u64::from(absent && !flood);
        self.results.reads += counted;
        self.results.repeat_reads += counted * u64::from(is_repeat);
        match result {
            LookupResult::KnownMissing { position, response } => {
                self.results.answered += counted;
                self.results.advanced +=
                    u64::from(position > Micros::from(response) * 1_000 + 1_000 * SECOND);
                let needed = match freshness {
                    Freshness::MaxStaleness(age) => self.history.clock(self.now) - age,
                    Freshness::Session(at) => at.unwrap_or(Micros::MAX),
                    _ => unreachable!(),
                };
                if position < needed || !self.history.is_absent_between(key, position, self.now) {
                    self.results
                        .wrong_answers
                        .push(format!("{key} {freshness:?} at {} from {position}, proxy {n}", self.now));
                }
            }
            LookupResult::Miss(_) => {
                self.results.member_reads += counted;
                self.results.repeat_member_reads += counted * u64::from(is_repeat);
                let lag = if self.rng.random_bool(0.3) {
                    0
                } else {
                    self.rng.random_range(0..=self.params.max_lag)
                };
                let delay = self.rng.random_range(1_000..20_000);
                self.schedule(delay, n, Event::MemberRead(lookup, key, lag));
            }
        }
    }

    fn write(&mut self, n: usize) {
        let (at, key) = (self.now + self.proxies[n].clock_offset, self.zipf.sample(&mut self.rng));
        let key_hash = self.lookup_of(key).key;
        let p = &mut self.proxies[n];
        if self.params.shared && !p.leases.can_write(at) {
            self.results.writes_without_lease += 1;
            return;
        }
        let Some(write) = p.writes.begin(at, vec![key_hash]) else { return };
        self.results.writes += 1;
        // Most writes commit at once, some at any time up to the maximum commit delay. Some get no response.
        let is_late = self.rng.random_bool(0.1);
        let longest_delay = if is_late { self.params.config.max_commit_delay } else { 40_000 };
        let (delay, has_response) = (self.rng.random_range(1_000..longest_delay), self.rng.random_bool(0.8));
        self.schedule(delay, n, Event::MemberWrite(write, key, has_response));
        if is_late || !has_response {
            self.schedule(SECOND, n, Event::InDoubt(write));
        }
    }

    fn deliver(&mut self, to: usize, event: Event) {
        // Members and lease servers process requests whether or not the proxy is alive.
        match event {
            Event::MemberWrite(write, key, has_response) => {
                let at = self.history.toggle(key, self.now);
                if has_response {
                    self.schedule(2_000, to, Event::WriteResponse(write, key, at));
                }
                return;
            }
            Event::MemberRead(lookup, key, lag) => {
                let position = (self.history.clock(self.now) - lag).div_euclid(1_000) * 1_000;
                let none = !self.history.is_present(key, self.history.clock(self.now) - lag);
                return self.schedule(2_000, to, Event::ReadResponse(lookup, none.then_some(position)));
            }
            Event::LeaseRequest(server, request) => {
                let node = &mut self.servers[server];
                if self.now >= node.down_until && !self.unreachable.contains(&(to, server)) {
                    if let Some(grant) = node.server.on_request(self.now + node.clock_offset, &request) {
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
            return self.schedule(wait, to, event);
        }
        let at = now + p.clock_offset;
        match event {
            Event::ReadResponse(lookup, Some(position)) if lookup.primary == self.history.primary => {
                p.cache.record_missing(at, &lookup, position, ((position - 1_000 * SECOND) / 1_000) as u32);
            }
            Event::ReadResponse(lookup, ..) => p.cache.record_present(&lookup),
            Event::WriteResponse(write, key, commit) => {
                p.writes.on_answered(at, write);
                self.commits.push((key, commit));
            }
            Event::InDoubt(write) => p.writes.on_in_doubt(at, write),
            _ if partitioned => {}
            Event::LeaseGrant(server, grant) => p.leases.on_grant(server, &grant),
            Event::ClosedTimestamps(copy) => p.cache.merge_closed_timestamps(at, &copy),
            Event::Sealed(seal) if p.cache.on_sealed_slot(at, &seal) => self.gossip(&Event::Sealed(seal)),
            Event::Announced(announcement) if p.cache.on_announcement(at, &announcement) => {
                self.gossip(&Event::Announced(announcement));
            }
            _ => {}
        }
    }
}
