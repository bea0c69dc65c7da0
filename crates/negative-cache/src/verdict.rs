//! What is asked for each read: whether its key is known to be missing, as new as the read needs it.

use crate::{Closed, Fact, Facts, Hasher, Key, Mark, Micros, Seal, Terms, Told};
use std::collections::VecDeque;

/// Facts that may wait to be told to others; past that the oldest goes.
const NEWS_MOST: usize = 1_024;

/// How new what answers a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Any age.
    Any,
    /// At most this old.
    Bounded(Micros),
    /// Every commit up to here, the newest that its session has made or seen; `None`: not known.
    Session(Option<Micros>),
    /// Every write made before it arrived.
    Fresh,
}

/// A read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Its statement.
    pub key: Key,
    /// The key that it asks for, as writes mark it.
    pub mark: Mark,
    /// Its whole group.
    pub whole: Mark,
    /// Which primary its group has now, as the caller numbers them (of all proxies alike: a hash of the member and
    /// its launch). What was heard under another is not used.
    pub primary: u32,
}

impl Asked {
    /// Of a statement without its comment, and the one key that it asks for.
    pub fn new(hasher: &Hasher, group: u64, statement: &[u8], value: &[u8], primary: u32) -> Asked {
        let (key, mark) = (hasher.key(group, statement), hasher.mark(group, value));
        Asked { key, mark, whole: hasher.whole(group), primary }
    }
}

/// Why a member is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The read takes no answer but a member's.
    Fresh,
    /// The session's position is not known.
    NoPosition,
    /// Nothing is known of the key.
    Unknown,
    /// The group has another primary than when it was heard.
    OtherPrimary,
    /// The fact has ended.
    Ended,
    /// What is known is too old, or the key may have been written since.
    Old {
        /// The position that is needed.
        needed: Micros,
        /// The position that is known.
        known: Micros,
    },
}

/// What to do with a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is known that there is no row.
    Missing {
        /// From a state that holds every commit up to here.
        position: Micros,
        /// What the member answered, by the caller's number.
        answer: u32,
    },
    /// A member must be asked.
    Ask(Why),
}

/// What was done, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads answered, and those for which a member was to be asked.
    pub missing: u64,
    /// See `missing`.
    pub ask: u64,
    /// Facts not taken: of a position ahead of this clock, too old to be of use, or ended.
    pub refused: u64,
    /// Facts not told to others since there were too many.
    pub untold: u64,
}

/// What one proxy knows to be missing.
pub struct Missing {
    terms: Terms,
    facts: Facts,
    closed: Closed,
    news: VecDeque<Told>,
    second: Micros,
    told: u32,
    /// What was done.
    pub counts: Counts,
}

impl Missing {
    /// Nothing known. Without banks a fact answers for as long as its own position does.
    pub fn new(terms: Terms, banks: usize, now: Micros) -> Missing {
        let facts = Facts::new(terms.facts_most, terms.once_most);
        let closed = Closed::new(terms.clone(), banks, now);
        let (news, counts) = (VecDeque::new(), Counts::default());
        Missing { terms, facts, closed, news, second: 0, told: 0, counts }
    }

    /// Whether the read's key is known to be missing.
    pub fn question(&mut self, now: Micros, asked: &Asked, need: Need) -> Verdict {
        let verdict = self.judge(now, asked, need);
        match verdict {
            Verdict::Missing { .. } => self.counts.missing += 1,
            Verdict::Ask(_) => self.counts.ask += 1,
        }
        verdict
    }

    fn judge(&mut self, now: Micros, asked: &Asked, need: Need) -> Verdict {
        let needed = match need {
            Need::Any => Micros::MIN,
            // By the clock of who stamps commits it may be later than here.
            Need::Bounded(age) => now + self.terms.apart - age,
            Need::Session(Some(after)) => after,
            Need::Session(None) => return Verdict::Ask(Why::NoPosition),
            Need::Fresh => return Verdict::Ask(Why::Fresh),
        };
        let closed = &self.closed;
        let verdict = self.facts.ask(asked.key, |fact| {
            if now >= fact.ends {
                return Verdict::Ask(Why::Ended);
            }
            if fact.primary != asked.primary {
                return Verdict::Ask(Why::OtherPrimary);
            }
            if fact.position < needed {
                fact.position = closed.forward(fact.position, asked.mark, asked.whole);
            }
            if fact.position < needed {
                return Verdict::Ask(Why::Old { needed, known: fact.position });
            }
            Verdict::Missing { position: fact.position, answer: fact.answer }
        });
        if let Some(Verdict::Ask(Why::Ended | Why::OtherPrimary)) = verdict {
            self.facts.forget(asked.key);
        }
        verdict.unwrap_or(Verdict::Ask(Why::Unknown))
    }

    /// A member answered "no row". `position` is one that it had applied when it read, rounded down; `asked` is as of
    /// when the statement was sent, and a new primary since makes it useless: the caller drops it then.
    pub fn heard(&mut self, now: Micros, asked: &Asked, position: Micros, answer: u32) {
        let (ends, mark, primary) = (now + self.terms.fact_life, asked.mark, asked.primary);
        let fact = Fact { position, ends, mark, primary, answer };
        let known = self.facts.ask(asked.key, |fact| fact.primary);
        // What was heard under another primary makes room whatever its position.
        if known.is_some_and(|held| held != primary) {
            self.facts.forget(asked.key);
        }
        if !self.take(now, asked.key, fact) {
            return;
        }
        // What was asked for again is told first; of the rest, which may be an attacker's, no more than so many.
        let second = now.div_euclid(1_000_000);
        if second != self.second {
            (self.second, self.told) = (second, 0);
        }
        self.told += u32::from(known.is_none());
        if known.is_none() && self.told > self.terms.tells {
            self.counts.untold += 1;
            return;
        }
        if self.news.len() >= NEWS_MOST {
            self.counts.untold += 1;
            self.news.pop_front();
        }
        self.news.push_back(Told { key: asked.key, fact });
    }

    /// A member answered with a row.
    pub fn found(&mut self, asked: &Asked) {
        self.facts.forget(asked.key);
    }

    /// Another proxy tells a fact. True where it is news, to be passed on.
    pub fn told(&mut self, now: Micros, told: &Told) -> bool {
        let ends = told.fact.ends.min(now + self.terms.fact_life);
        self.take(now, told.key, Fact { ends, ..told.fact })
    }

    fn take(&mut self, now: Micros, key: Key, fact: Fact) -> bool {
        let kept = now - self.terms.fact_life;
        if fact.position > now + self.terms.apart || fact.position < kept || fact.ends <= now {
            self.counts.refused += 1;
            return false;
        }
        self.facts.put(key, fact)
    }

    /// Facts to be told to the other proxies.
    pub fn news(&mut self, most: usize) -> Vec<Told> {
        let most = most.min(self.news.len());
        self.news.drain(..most).collect()
    }

    /// A bank's seal has come. True where it is news, to be passed on.
    pub fn sealed(&mut self, now: Micros, seal: &Seal) -> bool {
        self.closed.take(now, seal)
    }

    /// Takes all that another proxy knows of the banks' seals, in an exchange of copies.
    pub fn merged(&mut self, now: Micros, closed: &Closed) {
        self.closed.moves(now);
        self.closed.merge(closed);
    }

    /// What the banks have sealed.
    pub fn closed(&self) -> &Closed {
        &self.closed
    }

    /// The facts.
    pub fn facts(&mut self) -> &mut Facts {
        &mut self.facts
    }
}
