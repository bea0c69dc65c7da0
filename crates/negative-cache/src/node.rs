//! One process: what it knows to be missing, its own writes, its leave, the bank it may be, and its messages. Holders
//! speak to the banks alone; banks pass seals and facts on to all holders.

use crate::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// What members answered, held at most, and the longest: facts with another answer are not taken.
pub const ANSWERS_MOST: usize = 1_024;
/// See [`ANSWERS_MOST`].
pub const ANSWER_BYTES_MOST: usize = 512;
/// Each seal goes out so often, since a lost one is a gap; and seals in one message.
const SEALS_AGAIN: u32 = 4;
const SEALS_MOST: usize = 32;
/// The largest message.
const BYTES_MOST: usize = 60_000;
/// Facts in one message, and messages that may wait to be sent.
const TOLD_MOST: usize = 32;
const SENDS_MOST: usize = 4_096;

#[derive(Serialize, Deserialize)]
enum Message {
    Ask(Ask),
    Grant(u32, Grant),
    Seals(Vec<Seal>),
    /// Facts, each with what the member answered: from a holder to a bank.
    Tell(Vec<(Told, Vec<u8>)>),
    /// The same, passed on by a bank.
    Told(Vec<(Told, Vec<u8>)>),
}

/// One process.
pub struct Node {
    terms: Terms,
    hasher: Hasher,
    banks: Vec<SocketAddrV4>,
    bank: Option<Bank>,
    /// Those that asked this bank, and when last.
    holders: BTreeMap<SocketAddrV4, Micros>,
    /// Seals that go out yet, and how often.
    sealed: Vec<(Seal, u32)>,
    missing: Missing,
    /// Its own writes.
    pub writes: Writes,
    /// Its leave to write.
    pub leave: Leave,
    answers: HashMap<u32, Rc<[u8]>>,
    sends: VecDeque<(SocketAddrV4, Vec<u8>)>,
    due: Micros,
    /// Messages that could not be read, or came from where they cannot come from.
    pub unread: u64,
    /// Messages dropped since too many waited.
    pub dropped: u64,
}

impl Node {
    /// A process that has just started at an address; the bank of that address is its own. `holder` is a number that
    /// no other process has, nor had.
    pub fn new(
        terms: Terms,
        hasher: Hasher,
        me: SocketAddrV4,
        banks: Vec<SocketAddrV4>,
        holder: u64,
        now: Micros,
    ) -> Node {
        let mine = banks.iter().position(|bank| *bank == me);
        Node {
            bank: mine.map(|id| Bank::new(id as u32, terms.clone(), now)),
            missing: Missing::new(terms.clone(), banks.len(), now),
            writes: Writes::new(terms.clone(), now),
            leave: Leave::new(holder, terms.clone(), banks.len()),
            holders: BTreeMap::new(),
            sealed: Vec::new(),
            answers: HashMap::new(),
            sends: VecDeque::new(),
            due: now,
            unread: 0,
            dropped: 0,
            terms,
            hasher,
            banks,
        }
    }

    /// What a member answered to a read whose key is known to be missing.
    pub fn question(&mut self, now: Micros, asked: &Asked, need: Need) -> Option<Rc<[u8]>> {
        match self.missing.question(now, asked, need) {
            Verdict::Missing { answer, .. } => self.answers.get(&answer).cloned(),
            Verdict::Ask(_) => None,
        }
    }

    /// A member answered "no row", as [`Missing::heard`] says, with these bytes.
    pub fn heard(&mut self, now: Micros, asked: &Asked, position: Micros, bytes: &[u8]) {
        if let Some(answer) = self.keep(bytes) {
            self.missing.heard(now, asked, position, answer);
        }
    }

    /// A member answered with a row.
    pub fn found(&mut self, asked: &Asked) {
        self.missing.found(asked);
    }

    /// Keeps an answer. None where there is no room, or where another has its number.
    fn keep(&mut self, bytes: &[u8]) -> Option<u32> {
        let number = self.hasher.answer(bytes);
        let room = self.answers.len() < ANSWERS_MOST && bytes.len() <= ANSWER_BYTES_MOST;
        match self.answers.get(&number) {
            Some(held) => (**held == *bytes).then_some(number),
            None => room.then(|| {
                self.answers.insert(number, bytes.into());
                number
            }),
        }
    }

    /// When there is something to do although nothing comes.
    pub fn next_due(&self) -> Micros {
        self.due
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        if now < self.due {
            return;
        }
        self.due = now + self.terms.ask_every.min(self.terms.slot);
        self.writes.moves(now);
        for (bank, ask) in self.leave.asks(now, &self.writes) {
            self.send(self.banks[bank], &Message::Ask(ask));
        }
        self.seal(now);
        let news = self.missing.news(TOLD_MOST);
        // One bank for each key passes it on: that of another that is away costs the others a look-up.
        let mut tells: BTreeMap<usize, Vec<(Told, Vec<u8>)>> = BTreeMap::new();
        for told in news {
            let (Some(bytes), true) = (self.answers.get(&told.fact.answer), !self.banks.is_empty()) else {
                continue;
            };
            let bank = (told.key.0 % self.banks.len() as u128) as usize;
            tells.entry(bank).or_default().push((told, bytes.to_vec()));
        }
        for (bank, told) in tells {
            self.send(self.banks[bank], &Message::Tell(told));
        }
    }

    fn seal(&mut self, now: Micros) {
        let Some(bank) = &mut self.bank else { return };
        let seals = bank.seal(now);
        let life = self.terms.life;
        self.holders.retain(|_, at| now - *at <= 4 * life);
        self.sealed.extend(seals.into_iter().map(|seal| (seal, SEALS_AGAIN)));
        let mut parts: Vec<Message> = self
            .sealed
            .chunks(SEALS_MOST)
            .map(|part| Message::Seals(part.iter().map(|s| s.0.clone()).collect()))
            .collect();
        // Where they are too large for one message they go alone.
        if parts.iter().any(|part| encode(part).is_none()) {
            parts = self.sealed.iter().map(|(seal, _)| Message::Seals(vec![seal.clone()])).collect();
        }
        self.sealed.iter_mut().for_each(|(_, left)| *left -= 1);
        self.sealed.retain(|(_, left)| *left > 0);
        parts.iter().for_each(|part| self.tell_holders(part));
    }

    fn tell_holders(&mut self, message: &Message) {
        let holders: Vec<SocketAddrV4> = self.holders.keys().copied().collect();
        holders.into_iter().for_each(|to| self.send(to, message));
    }

    /// A message has come from an address.
    pub fn received(&mut self, now: Micros, from: SocketAddrV4, bytes: &[u8]) {
        let bank = self.banks.iter().position(|bank| *bank == from);
        match postcard::from_bytes(bytes) {
            Ok(Message::Ask(ask)) => self.asked(now, from, &ask),
            Ok(Message::Grant(id, grant)) if bank == Some(id as usize) => {
                self.leave.granted(id as usize, &grant)
            }
            Ok(Message::Seals(seals)) if seals.iter().all(|seal| bank == Some(seal.bank as usize)) => {
                for seal in &seals {
                    self.missing.sealed(now, seal);
                }
            }
            Ok(Message::Tell(told)) if self.bank.is_some() && self.holders.contains_key(&from) => {
                self.tell_holders(&Message::Told(told))
            }
            Ok(Message::Told(told)) if bank.is_some() => {
                for (told, bytes) in told {
                    if self.keep(&bytes) == Some(told.fact.answer) {
                        self.missing.told(now, &told);
                    }
                }
            }
            _ => self.unread += 1,
        }
    }

    fn asked(&mut self, now: Micros, from: SocketAddrV4, ask: &Ask) {
        let Some(bank) = &mut self.bank else { return };
        let grant = bank.asked(now, ask);
        if self.holders.len() < HOLDERS_MOST || self.holders.contains_key(&from) {
            self.holders.insert(from, now);
        }
        let id = bank.id();
        if let Some(grant) = grant {
            self.send(from, &Message::Grant(id, grant));
        }
    }

    /// Messages to be sent.
    pub fn take_sends(&mut self) -> VecDeque<(SocketAddrV4, Vec<u8>)> {
        std::mem::take(&mut self.sends)
    }

    fn send(&mut self, to: SocketAddrV4, message: &Message) {
        match encode(message).filter(|_| self.sends.len() < SENDS_MOST) {
            Some(bytes) => self.sends.push_back((to, bytes)),
            None => self.dropped += 1,
        }
    }

    /// What was done, counted.
    pub fn counts(&self) -> Counts {
        self.missing.counts
    }

    /// The newest position up to which facts can move.
    pub fn horizon(&self) -> Option<Micros> {
        self.missing.closed().horizon()
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    postcard::to_allocvec(message).ok().filter(|bytes| bytes.len() <= BYTES_MOST)
}
