//! The thread of the budgets: the socket, the bank where this proxy is one, and the coding of datagrams. The leases
//! themselves are the serving thread's: what is promised not to be used any more, only who spends can promise.

use crate::worker::{RingReceiver, RingSender};
use async_io::{Async, Timer};
use futures_lite::future;
use serde::{Deserialize, Serialize};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::time::Duration;
use wharfplank_budget::{
    EpochAnnouncement, LeaseAllocator, LeaseGrant, LeaseRequest, LeaseTerms, Micros, TakeoverGuard,
};

/// How often banks greet each other and the serving thread hears of this one.
const GREET_EVERY: Micros = 1_000_000;
const DATAGRAM_BYTES: usize = 65_536;

/// What proxies say to each other.
#[derive(Debug, Serialize, Deserialize)]
enum Word {
    Ask(LeaseRequest),
    Grant(LeaseGrant),
    Hello(EpochAnnouncement),
}

#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    /// A hash of all figures: proxies that have others do not lease from each other.
    figures: u64,
    word: Word,
}

/// What the serving thread hears.
#[derive(Debug)]
pub enum Told {
    /// A bank's lease.
    Grant(usize, LeaseGrant),
    /// What the thread did so far.
    Done(Done),
}

/// What the thread did so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Done {
    /// Datagrams that could not be read, or are of other figures.
    pub unread: u64,
    /// See `unread`.
    pub others: u64,
    /// Holders at this proxy's bank, and asks that it did not answer.
    pub holders: u64,
    /// See `holders`.
    pub ignored: u64,
    /// Whether this proxy's bank leases.
    pub leases: bool,
}

/// What the thread is made of.
pub struct Setup<Clock> {
    /// Where datagrams come and go.
    pub socket: UdpSocket,
    /// The banks.
    pub banks: Vec<SocketAddrV4>,
    /// Which of them this proxy is, with its part and its place among the others.
    pub bank: Option<(usize, LeaseAllocator, TakeoverGuard)>,
    /// The figures of the leases.
    pub terms: LeaseTerms,
    /// A hash of all figures of the settings.
    pub figures: u64,
    /// The clock of the budgets.
    pub now: Clock,
}

enum Woken {
    Ask(usize, LeaseRequest),
    Datagram(usize, SocketAddr),
    Time,
    End,
}

impl<Clock: Fn() -> Micros> Setup<Clock> {
    /// Works until the serving thread is gone.
    pub async fn work(mut self, mut asks: RingReceiver<(usize, LeaseRequest)>, mut told: RingSender<Told>) {
        let socket = match self.socket.try_clone().and_then(Async::new) {
            Ok(socket) => socket,
            Err(_) => return,
        };
        let (mut buffer, mut done, mut greet_at) = (vec![0_u8; DATAGRAM_BYTES], Done::default(), 0);
        loop {
            let pause = Duration::from_micros((greet_at - (self.now)()).clamp(0, GREET_EVERY) as u64);
            let asked = async { asks.recv().await.map_or(Woken::End, |(bank, ask)| Woken::Ask(bank, ask)) };
            let heard = async {
                match socket.recv_from(&mut buffer).await {
                    Ok((count, from)) => Woken::Datagram(count, from),
                    // An unreachable peer's word comes back as an error here: it says nothing of the socket.
                    Err(_) => Woken::Time,
                }
            };
            let time = async {
                Timer::after(pause).await;
                Woken::Time
            };
            match future::or(asked, future::or(heard, time)).await {
                Woken::End => return,
                Woken::Ask(bank, ask) => match self.bank.as_ref().is_some_and(|(me, ..)| *me == bank) {
                    false => self.send(bank, Word::Ask(ask)),
                    true => {
                        if let Some(grant) = self.lease(&ask) {
                            told.send(Told::Grant(bank, grant));
                        }
                    }
                },
                Woken::Datagram(count, from) => match postcard::from_bytes::<Datagram>(&buffer[..count]) {
                    Err(_) => done.unread += 1,
                    Ok(datagram) if datagram.figures != self.figures => done.others += 1,
                    Ok(datagram) => self.heard(from, datagram.word, &mut told),
                },
                Woken::Time => {}
            }
            if (self.now)() >= greet_at {
                greet_at = (self.now)() + GREET_EVERY;
                self.greet(&mut done);
                told.send(Told::Done(done));
            }
        }
    }

    /// A lease of this proxy's bank, where it may lease.
    fn lease(&mut self, request: &LeaseRequest) -> Option<LeaseGrant> {
        let now = (self.now)();
        let (_, allocator, guard) = self.bank.as_mut()?;
        allocator.postpone_opening(guard.opens_at(&self.terms)?);
        allocator.on_request(now, request)
    }

    fn heard(&mut self, from: SocketAddr, word: Word, told: &mut RingSender<Told>) {
        let place = self.banks.iter().position(|bank| SocketAddr::V4(*bank) == from);
        match (word, place) {
            (Word::Ask(ask), _) => {
                let grant = self.lease(&ask).map(Word::Grant);
                grant.into_iter().for_each(|grant| self.put(from, grant));
            }
            // What does not fit is lost as a datagram is: the lease before it ends by itself.
            (Word::Grant(grant), Some(place)) => {
                told.send(Told::Grant(place, grant));
            }
            (Word::Hello(hello), Some(place)) => {
                let now = (self.now)();
                let answer =
                    self.bank.as_mut().and_then(|(_, _, guard)| guard.on_announcement(now, place, hello));
                answer.into_iter().for_each(|answer| self.send(place, Word::Hello(answer)));
            }
            (Word::Grant(_) | Word::Hello(_), None) => {}
        }
    }

    fn greet(&mut self, done: &mut Done) {
        let Some((_, allocator, guard)) = &self.bank else { return };
        let opens = guard.opens_at(&self.terms).map(|at| at.max(allocator.opens_at()));
        done.leases = opens.is_some_and(|opens| opens <= (self.now)());
        done.holders = allocator.holder_count() as u64;
        done.ignored = allocator.ignored_requests;
        for (place, hello) in guard.announcements() {
            self.send(place, Word::Hello(hello));
        }
    }

    fn send(&self, bank: usize, word: Word) {
        if let Some(to) = self.banks.get(bank) {
            self.put(SocketAddr::V4(*to), word);
        }
    }

    /// A datagram that cannot go is as one lost on the wire.
    fn put(&self, to: SocketAddr, word: Word) {
        if let Ok(bytes) = postcard::to_allocvec(&Datagram { figures: self.figures, word }) {
            let _ = self.socket.send_to(&bytes, to);
        }
    }
}
