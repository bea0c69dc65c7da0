//! One proxy's side for a driver that has a socket, a file and a clock: views of the broker, datagrams and operators'
//! words go in; datagrams, the ledger and what the log is to say come out.

use crate::message::{Deed, Identity, To};
use crate::{
    Action, Agents, Cause, Control, Ledger, Micros, PlanId, Roster, Station, Sums, Terms, View, Word,
};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// What goes to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// What was done in a release that this proxy drives, or a release's course, which each proxy tells.
    Did(PlanId, Action),
    /// An operator's word, and what it came to.
    Word(String, Result<PlanId, String>),
    /// Whether the bank is open: it has a ledger.
    Bank(bool),
    /// Whether this proxy drives.
    Drives(bool),
}

/// A datagram that is to leave, and where it goes.
pub type Out = (SocketAddrV4, Vec<u8>);

/// One proxy's side.
pub struct Desk {
    station: Station,
    agents: Agents,
    sums: Sums,
    view: View,
    /// Where proxies are, by rank from 1.
    proxies: Vec<SocketAddrV4>,
    rank: u64,
    was: (Option<bool>, bool),
    /// The courses that the log was told of; bounded as the releases are.
    told: BTreeMap<PlanId, Control>,
    said: Vec<Said>,
    /// The last word and its answer, for the status.
    pub(crate) answered: String,
    /// Datagrams of proxies that are not in the settings, or could not be read.
    pub rejected: u64,
}

impl Desk {
    /// A process that has just started. `proxies` by rank from 1; `ledger` is the bank's as its file holds it.
    pub fn new(
        me: Identity,
        (roster, terms): (Roster, Terms),
        proxies: Vec<SocketAddrV4>,
        agents: BTreeMap<u64, SocketAddrV4>,
        ledger: Option<Ledger>,
        now: Micros,
    ) -> Desk {
        let mut station = Station::new(me, roster, terms, ledger, now);
        station.alive((1..=proxies.len() as u64).filter(|rank| *rank != me.rank).collect());
        Desk {
            station,
            agents: Agents::new(agents, me.number, now),
            sums: Sums::default(),
            view: View::default(),
            proxies,
            rank: me.rank,
            was: (None, false),
            told: BTreeMap::new(),
            said: Vec::new(),
            answered: String::from("-"),
            rejected: 0,
        }
    }

    /// What the broker makes of members now. Discovery's drains and this proxy's own cordons count as causes where it is
    /// a bank; a member that the list lacks is not well, and so not sound.
    pub fn viewed(&mut self, view: View) {
        self.station.told(Cause::Drain, &view.those(|look| look.drained));
        self.station.told(Cause::Cordon, &view.those(|look| look.cordoned));
        self.station.primaries(view.those(|look| look.primary));
        for (plan, tally) in self.sums.count(self.rank, &view, self.station.plans().iter()) {
            self.station.tallied(plan, &tally);
        }
        self.view = view;
    }

    /// A datagram: of an agent by where it comes from, else of a proxy, which says its rank.
    pub fn received(&mut self, now: Micros, from: SocketAddrV4, bytes: &[u8]) {
        if let Some(id) = self.agents.member(from) {
            if let Some(sight) = self.agents.received(id, bytes, &self.view) {
                self.station.seen(now, id, sight);
            }
            return;
        }
        let message =
            bytes.split_first_chunk::<4>().map(|(rank, rest)| (u32::from_be_bytes(*rank).into(), rest));
        match message.filter(|(rank, _): &(u64, _)| (1..=self.proxies.len() as u64).contains(rank)) {
            Some((rank, rest)) => self.station.received(now, rank, rest),
            None => self.rejected += 1,
        }
    }

    /// An operator's word, as it stands in the signal file.
    pub fn word(&mut self, now_ms: u64, text: &str) {
        let shown: String = text.trim().chars().take(80).collect();
        let did = text.parse::<Word>();
        let did = did.and_then(|word| self.station.word(now_ms, &word).map_err(String::from));
        self.answered = match &did {
            Ok(plan) => format!("yes word=\"{shown}\" release={}", crate::status::name(*plan)),
            Err(what) => format!("no word=\"{shown}\" what=\"{what}\""),
        };
        self.said.push(Said::Word(shown, did));
    }

    /// What is due now.
    pub fn tick(&mut self, now: Micros) {
        self.station.tick(now);
        if self.station.watches() {
            self.agents.tick(now);
        }
        for deed in self.station.take_deeds() {
            match deed {
                Deed::Order(order) => self.agents.order(now, &order),
                Deed::HandOver(id, launch) => self.agents.hand_over(now, id, launch),
                // Told below, by each proxy that knows it.
                Deed::Did(_, Action::Turned(_)) => {}
                Deed::Did(plan, action) => self.said.push(Said::Did(plan, action)),
            }
        }
        let known: BTreeMap<PlanId, Control> =
            self.station.plans().iter().map(|plan| (plan.id, plan.control)).collect();
        let new = known.iter().filter(|(plan, control)| self.told.get(plan) != Some(control));
        self.said.extend(new.map(|(plan, control)| Said::Did(*plan, Action::Turned(control.course))));
        self.told = known;
        let is = (self.station.is_bank().then(|| !self.station.closed()), self.station.drives());
        let was = std::mem::replace(&mut self.was, is);
        self.said.extend(is.0.filter(|_| is.0 != was.0).map(Said::Bank));
        self.said.extend((is.1 != was.1).then_some(Said::Drives(is.1)));
    }

    /// Datagrams that are to leave; what goes to this proxy itself is taken in at once.
    pub fn take_sends(&mut self, now: Micros) -> Vec<Out> {
        let mut out = Vec::new();
        loop {
            let sends = self.station.take_sends();
            if sends.is_empty() {
                break;
            }
            for (to, bytes) in sends {
                // The banks are the proxies of the first ranks.
                let rank = match to {
                    To::Bank(bank) => u64::from(bank) + 1,
                    To::Proxy(rank) => rank,
                };
                if rank == self.rank {
                    self.station.received(now, rank, &bytes);
                } else if let Some(address) = self.proxies.get(rank as usize - 1) {
                    out.push((*address, [&(self.rank as u32).to_be_bytes(), &bytes[..]].concat()));
                }
            }
        }
        out.extend(self.agents.take_sends());
        out
    }

    /// What the log is to say.
    pub fn take_said(&mut self) -> Vec<Said> {
        std::mem::take(&mut self.said)
    }

    /// The bank's ledger, where it is to be written before its answers leave.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.station.ledger()
    }

    /// The ledger is on disk with so many changes.
    pub fn kept(&mut self, changes: u64) {
        self.station.kept(changes);
    }

    /// Whether its bank waits for a ledger.
    pub fn closed(&self) -> bool {
        self.station.closed()
    }

    /// An operator gave the bank a ledger.
    pub fn open(&mut self, ledger: Ledger) {
        self.station.open(ledger);
    }

    /// One proxy's side of permits and releases.
    pub fn station(&self) -> &Station {
        &self.station
    }
}
