//! What happens in a fleet's run, step by step.

use super::*;

impl World {
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= self.now) {
                let (to, msg) = entry.remove();
                self.deliver(to, msg);
            }
            for b in 0..self.banks.len() {
                let node = &mut self.banks[b];
                if self.now >= node.down_until {
                    let seals = node.bank.seal(self.now + node.off);
                    seals.into_iter().for_each(|seal| self.spread(&Msg::Seal(seal)));
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
        if self.plan.together {
            let p = &mut self.proxies[n];
            p.writes.moves(at);
            let asks = p.leave.asks(at, &p.writes);
            let news = p.missing.news(64);
            if !self.cut.contains(&n) {
                asks.into_iter().for_each(|(bank, ask)| self.send(n, Msg::Ask(bank, ask)));
                news.into_iter().for_each(|told| self.spread(&Msg::Told(told)));
                // An exchange of copies now and then, for what rumours missed.
                if self.rng.random_bool(0.01) {
                    let (to, copy) =
                        (self.rng.random_range(0..self.proxies.len()), self.proxies[n].missing.closed());
                    let copy = Msg::Copy(Box::new(copy.clone()));
                    self.send(to, copy);
                }
            }
        }
        let each = STEP as f64 / SECOND as f64;
        for _ in 0..self.proxies[n].flood {
            let key = 1 << 40 | self.rng.random::<u32>() as u64;
            self.sum.flooded += 1;
            (0..2).for_each(|_| self.read(n, key, Need::Bounded(2 * SECOND)));
        }
        if self.rng.random_bool((self.plan.reads * each).min(1.0)) {
            let (key, need) = match (self.rng.random_range(0..10), self.commits.last()) {
                (0, Some((key, at))) => (*key, Need::Session(Some(*at))),
                (1 | 2, _) => (self.zipf.draw(&mut self.rng), Need::Bounded(5 * SECOND)),
                _ => (self.zipf.draw(&mut self.rng), Need::Bounded(2 * SECOND)),
            };
            self.read(n, key, need);
        }
        if self.rng.random_bool((self.plan.writes * each).min(1.0)) {
            self.write(n);
        }
    }

    fn asked(&self, key: u64) -> Asked {
        Asked::new(&self.hasher, 1, &key.to_le_bytes(), &key.to_le_bytes(), self.history.primary)
    }

    fn read(&mut self, n: usize, key: u64, need: Need) {
        let (at, asked) = (self.now + self.proxies[n].off, self.asked(key));
        let (flood, absent) = (key >> 40 == 1, !self.history.present(key, Micros::MAX));
        let repeat = !self.seen.insert(key);
        let verdict = self.proxies[n].missing.question(at, &asked, need);
        let counted = u64::from(absent && !flood);
        self.sum.reads += counted;
        self.sum.repeats += counted * u64::from(repeat);
        match verdict {
            Verdict::Missing { position, answer } => {
                self.sum.answered += counted;
                self.sum.moved += u64::from(position > Micros::from(answer) * 1_000 + 1_000 * SECOND);
                let needed = match need {
                    Need::Bounded(age) => self.history.clock(self.now) - age,
                    Need::Session(at) => at.unwrap_or(Micros::MAX),
                    _ => unreachable!(),
                };
                if position < needed || !self.history.absent_since(key, position, self.now) {
                    self.sum.wrong.push(format!("{key} {need:?} at {} from {position}, proxy {n}", self.now));
                }
            }
            Verdict::Ask(_) => {
                self.sum.asked += counted;
                self.sum.repeats_asked += counted * u64::from(repeat);
                let lag =
                    if self.rng.random_bool(0.3) { 0 } else { self.rng.random_range(0..=self.plan.lag_most) };
                let delay = self.rng.random_range(1_000..20_000);
                self.post(delay, n, Msg::Read(asked, key, lag));
            }
        }
    }

    fn write(&mut self, n: usize) {
        let (at, key) = (self.now + self.proxies[n].off, self.zipf.draw(&mut self.rng));
        let mark = self.asked(key).mark;
        let p = &mut self.proxies[n];
        if self.plan.together && !p.leave.may_write(at) {
            self.sum.no_leave += 1;
            return;
        }
        let Some(ticket) = p.writes.begin(at, vec![mark]) else { return };
        self.sum.writes += 1;
        // Most run at once; some only just before they cannot any more. Of some no answer comes.
        let late = self.rng.random_bool(0.1);
        let most = if late { self.plan.terms.late } else { 40_000 };
        let (delay, answers) = (self.rng.random_range(1_000..most), self.rng.random_bool(0.8));
        self.post(delay, n, Msg::Write(ticket, key, answers));
        if late || !answers {
            self.post(SECOND, n, Msg::Doubt(ticket));
        }
    }

    fn deliver(&mut self, to: usize, msg: Msg) {
        // What members and banks do needs no proxy to be alive.
        match msg {
            Msg::Write(ticket, key, answers) => {
                let at = self.history.flip(key, self.now);
                if answers {
                    self.post(2_000, to, Msg::Done(ticket, key, at));
                }
                return;
            }
            Msg::Read(asked, key, lag) => {
                let position = (self.history.clock(self.now) - lag).div_euclid(1_000) * 1_000;
                let none = !self.history.present(key, self.history.clock(self.now) - lag);
                return self.post(2_000, to, Msg::Answer(asked, none.then_some(position)));
            }
            Msg::Ask(bank, ask) => {
                let node = &mut self.banks[bank];
                if self.now >= node.down_until && !self.deaf.contains(&(to, bank)) {
                    if let Some(grant) = node.bank.asked(self.now + node.off, &ask) {
                        self.send(to, Msg::Grant(bank, grant));
                    }
                }
                return;
            }
            _ => {}
        }
        let (now, cut) = (self.now, self.cut.contains(&to));
        let p = &mut self.proxies[to];
        if !p.alive {
            return;
        }
        if now < p.paused_until {
            let wait = p.paused_until - now;
            return self.post(wait, to, msg);
        }
        let at = now + p.off;
        match msg {
            Msg::Answer(asked, Some(position)) if asked.primary == self.history.primary => {
                p.missing.heard(at, &asked, position, ((position - 1_000 * SECOND) / 1_000) as u32)
            }
            Msg::Answer(asked, ..) => p.missing.found(&asked),
            Msg::Done(ticket, key, commit) => {
                p.writes.settled(at, ticket);
                self.commits.push((key, commit));
            }
            Msg::Doubt(ticket) => p.writes.in_doubt(at, ticket),
            _ if cut => {}
            Msg::Grant(bank, grant) => p.leave.granted(bank, &grant),
            Msg::Copy(copy) => p.missing.merged(at, &copy),
            Msg::Seal(seal) if p.missing.sealed(at, &seal) => self.spread(&Msg::Seal(seal)),
            Msg::Told(told) if p.missing.told(at, &told) => self.spread(&Msg::Told(told)),
            _ => {}
        }
    }
}
