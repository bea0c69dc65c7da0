//! What comes from other proxies: rumours and exchanges, and what is told at once.

use super::*;

impl Replica {
    /// Tells some peers at once; the rumour goes on beside it.
    pub(super) fn urgent(&mut self, now: Micros, key: Key) {
        let Some(entry) = self.store.get(&key).copied() else { return };
        let peers: Vec<SocketAddrV4> = self.alive.iter().copied().collect();
        let chosen = rand::seq::index::sample(&mut self.rng, peers.len(), URGENT_TO.min(peers.len()));
        for nth in chosen {
            self.answer(now, peers[nth], &Message::Delta(vec![(key, entry)]));
        }
    }

    /// A message came.
    pub fn received(&mut self, now: Micros, from: SocketAddrV4, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes::<Message>(bytes) else {
            self.counts.unread += 1;
            return;
        };
        match message {
            Message::Delta(entries) => drop(self.merge(now, &entries, true)),
            Message::Fill(entries) => {
                let missed = self.merge(now, &entries, false);
                self.differed(now, missed > 0);
            }
            Message::Ask(digests) => {
                if !differing(&self.store, &digests).is_empty() {
                    let first = self.rng.random_range(0..crate::LEAVES);
                    let answers = tell(&self.store, &digests, first, ANSWERS);
                    answers.iter().for_each(|m| self.answer(now, from, m));
                }
            }
            Message::Tell(ranges) => {
                let (mut missed, mut lacks) = (0, Vec::new());
                for range in &ranges {
                    missed += self.merge(now, &range.entries, false);
                    lacks.extend(lacking(&self.store, range));
                }
                missed += lacks.iter().filter(|(_, entry)| now - entry.wall() > RUMOURED).count();
                self.differed(now, missed > 0);
                fill(lacks, ANSWERS).iter().for_each(|m| self.answer(now, from, m));
            }
        }
    }

    /// An exchange that found differences is followed by another at once.
    fn differed(&mut self, now: Micros, differed: bool) {
        if differed {
            self.counts.differed += 1;
            self.sync_at = self.sync_at.min(now + SYNC_FAST);
        }
    }

    /// Merges entries of another proxy. What came as a rumour is passed on; what came by an exchange is told on too
    /// where it matters for writes, and else left to exchanges, so that a heal does not flood the fleet. How many it
    /// took that a rumour should have brought before.
    pub(super) fn merge(&mut self, now: Micros, entries: &[(Key, Entry)], rumour: bool) -> usize {
        let mut missed = 0;
        for (key, entry) in entries {
            if let Value::Mark { stamp, .. } = entry.value() {
                if !self.clock.saw(stamp, now) {
                    self.store.refused += 1;
                    continue;
                }
            }
            // A router's first word on a member brings it into question, or answers that: it goes on at once.
            let first = matches!(key, Key::Health(..)) && self.store.get(key).is_none();
            match self.store.offer(*key, entry, now) {
                Offer::Taken => {
                    self.counts.taken += 1;
                    missed += usize::from(now - entry.wall() > RUMOURED);
                    if rumour || matches!(key, Key::Doubt(_)) {
                        self.spread.changed(*key, self.alive.len());
                    }
                    if rumour && (first || matches!(key, Key::Doubt(_))) {
                        self.urgent(now, *key);
                    }
                    self.tell_news(key);
                }
                Offer::Known => {
                    self.counts.known += 1;
                    self.spread.known(key);
                }
                Offer::Refused | Offer::Full => {}
            }
        }
        missed
    }

    fn tell_news(&mut self, key: &Key) {
        let held = self.store.get(key);
        let at = held.map_or(0, Entry::wall);
        let news = match (key, held.map(Entry::value)) {
            (Key::Doubt(write), Some(Value::Doubt(doubt))) => News::Doubt { write: *write, doubt, at },
            (Key::Position(member), Some(Value::Position { epoch, at })) => {
                News::Position { member: *member, epoch, at }
            }
            (Key::Mark(member), Some(Value::Mark { stamp, mark: Mark::Suspected }))
                if stamp.by != self.me =>
            {
                News::Suspected { member: *member, at: stamp.wall }
            }
            _ => return,
        };
        if self.news.len() >= NEWS_MOST {
            // Positions and suspicions come again; a doubt that is dropped may cost a write that runs twice.
            let oldest = self.news.iter().position(|news| !matches!(news, News::Doubt { .. }));
            self.news.remove(oldest.unwrap_or(0));
            self.counts.dropped += 1;
        }
        self.news.push(news);
    }

    pub(super) fn answer(&mut self, now: Micros, to: SocketAddrV4, message: &Message) {
        let bytes = postcard::to_allocvec(message).unwrap_or_default();
        if self.exchanges.left(now) < bytes.len() {
            self.counts.held_back += 1;
            return;
        }
        self.exchanges.spend(bytes.len());
        self.counts.sync_bytes += bytes.len() as u64;
        if self.sends.len() >= SENDS_MOST {
            self.sends.remove(0);
            self.counts.dropped += 1;
        }
        self.sends.push((to, bytes));
    }
}
