//! The order of answers on one client connection.
//!
//! Commands that a client sends ahead are all asked at once, each with its own number and clock, and their
//! answers may come in any order; they leave in the order of the commands. A [`Pipeline`] holds one place for
//! each: what comes early waits there, and a place that waits for nothing more is taken from the front. It knows
//! no socket and no clock. A place stands for whatever the protocol answers as one piece: a simple query here.

use super::server::Violation;
use std::collections::VecDeque;

/// Commands of one connection that may be open at a time: asked and not answered, or answered and not yet taken.
/// A client that sends a thousand at once must not fill the members with them alone.
pub const PLACES_MOST: usize = 32;
/// Bytes that the statements and the early answers of one connection may hold beyond the first place. Past half
/// of it nothing more is asked ahead; an answer past it fails.
pub const AHEAD_MOST: usize = 2 * 1024 * 1024;

/// Numbers the requests of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A final answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served: the messages that a member answered with.
    Served(Vec<u8>),
    /// Refused: a further try is harmless; milliseconds after which to come back, 0 for no advice.
    Refused(i64),
    /// Failed, with no promise about its effect.
    Failed,
    /// Ended by a cancel request, with no promise either.
    Cancelled,
    /// The request cannot be used; in words.
    Malformed(&'static str),
}

/// What stands in a place.
#[derive(Debug, PartialEq, Eq)]
enum Place {
    /// A request that is open, and the bytes of its statement.
    Open(Ticket, usize),
    /// Its answer, which waits for those before it.
    Done(Answer),
    /// Its answer has begun and passes through; the driver holds what there is of it.
    Passing(Ticket),
    /// A command without a request in it, which is answered once the proxy can serve.
    Empty,
}

/// What is to be written next.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// The answer to a request.
    Answer(Answer),
    /// More of the answer that passes through for this request, until [`Pipeline::passed`] says that it is over.
    Pass(Ticket),
    /// The answer to a command with nothing in it.
    Empty,
    /// The last word; the connection ends with this reason.
    End(&'static str, Option<Violation>),
}

/// The open commands of one connection, in their order.
#[derive(Debug, Default)]
pub struct Pipeline {
    places: VecDeque<Place>,
    /// Bytes of open statements and of answers that wait.
    bytes: usize,
    /// Whether any request on the connection could be used.
    usable: bool,
    /// Why nothing more is taken: once all that is open has been answered, the connection ends so.
    end: Option<(&'static str, Option<Violation>)>,
}

impl Pipeline {
    /// Whether a further command may be asked before those in hand are answered.
    pub fn has_room(&self) -> bool {
        let little = self.places.is_empty() || self.bytes <= AHEAD_MOST / 2;
        self.end.is_none() && self.places.len() < PLACES_MOST && little
    }

    /// Whether all that was asked has been answered and taken.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether nothing more is taken from the client.
    pub fn ending(&self) -> bool {
        self.end.is_some()
    }

    /// Whether the first place is an empty command's, which waits for the proxy's start.
    pub fn waits(&self) -> bool {
        self.places.front() == Some(&Place::Empty)
    }

    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Requests that are open, in their order, with those whose answers pass through.
    pub fn open(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.places.iter().filter_map(|place| match place {
            Place::Open(ticket, _) | Place::Passing(ticket) => Some(*ticket),
            _ => None,
        })
    }

    /// Gives a request the next place.
    pub fn ask(&mut self, ticket: Ticket, bytes: usize) {
        self.places.push_back(Place::Open(ticket, bytes));
        self.bytes += bytes;
    }

    /// Gives a command without a request the next place.
    pub fn ask_nothing(&mut self) {
        self.places.push_back(Place::Empty);
    }

    /// A command that cannot be used takes the next place, with its error; see [`Pipeline::answer`].
    pub fn ask_wrongly(&mut self, what: &'static str) {
        if self.usable || !self.places.is_empty() {
            self.places.push_back(Place::Done(Answer::Malformed(what)));
        } else {
            self.end("malformed_request", Some(Violation { code: "08P01", what }));
        }
    }

    /// Nothing more is taken: after the answers of what is open the connection ends. The first reason stands.
    pub fn end(&mut self, reason: &'static str, violation: Option<Violation>) {
        self.end.get_or_insert((reason, violation));
    }

    /// Takes the final answer of a request; true when it can be written now. An answer that has to wait and does
    /// not fit into what may be held, of which others leave `room`, is given up: it failed, and may have run.
    pub fn answer(&mut self, ticket: Ticket, answer: Answer, room: usize) -> bool {
        let Some(at) = self.find(ticket) else { return false };
        if let Place::Open(_, bytes) = self.places[at] {
            self.bytes -= bytes;
        }
        let size = |answer: &Answer| if let Answer::Served(messages) = answer { messages.len() } else { 0 };
        let fits = at == 0 || size(&answer) <= room.min(AHEAD_MOST.saturating_sub(self.bytes));
        let answer = match answer {
            // One that has never asked anything usable is told so and closed. Otherwise the error keeps its place and
            // the connection goes on: a client has other requests behind it, which a close would lose.
            Answer::Malformed(what) if !self.usable && self.places.len() == 1 => {
                self.places.pop_back();
                self.end("malformed_request", Some(Violation { code: "08P01", what }));
                return true;
            }
            answer if fits => answer,
            _ => Answer::Failed,
        };
        self.bytes += size(&answer);
        self.usable |= !matches!(answer, Answer::Malformed(_));
        self.places[at] = Place::Done(answer);
        at == 0
    }

    /// The answer of a request has begun and passes through from now on; `None` where none is awaited, else whether
    /// it can be written now.
    pub fn begin(&mut self, ticket: Ticket) -> Option<bool> {
        let at = self.find(ticket)?;
        if let Place::Open(_, bytes) = self.places[at] {
            self.bytes -= bytes;
        }
        self.usable = true;
        self.places[at] = Place::Passing(ticket);
        Some(at == 0)
    }

    /// The answer that passes through at the front is over.
    pub fn passed(&mut self) {
        if matches!(self.places.front(), Some(Place::Passing(_))) {
            self.places.pop_front();
        }
    }

    /// Ends all that is open with [`Answer::Cancelled`] in its place, and tells what that was. An answer that has
    /// begun passes on, and what waits for its turn has ended before.
    pub fn cancel(&mut self) -> Vec<Ticket> {
        let mut ended = Vec::new();
        for place in &mut self.places {
            if let Place::Open(ticket, bytes) = *place {
                self.bytes -= bytes;
                self.usable = true;
                *place = Place::Done(Answer::Cancelled);
                ended.push(ticket);
            }
        }
        ended
    }

    /// Whether any request waits for its answer to begin.
    pub fn waits_for_members(&self) -> bool {
        self.places.iter().any(|place| matches!(place, Place::Open(..)))
    }

    /// Whether this request still waits for its answer.
    pub fn awaits(&self, ticket: Ticket) -> bool {
        self.find(ticket).is_some()
    }

    /// Whether a command stands behind the one whose turn it is.
    pub fn has_more(&self) -> bool {
        self.places.len() > 1
    }

    fn find(&self, ticket: Ticket) -> Option<usize> {
        self.places.iter().position(|p| matches!(p, Place::Open(t, _) if *t == ticket))
    }

    /// What is to be written next, if it is there; `ready` says whether commands without a request are answered.
    pub fn next(&mut self, ready: bool) -> Option<Next> {
        match self.places.front() {
            Some(Place::Open(..)) => return None,
            Some(Place::Passing(ticket)) => return Some(Next::Pass(*ticket)),
            Some(Place::Empty) if !ready => return None,
            _ => {}
        }
        match self.places.pop_front() {
            Some(Place::Done(answer)) => {
                if let Answer::Served(messages) = &answer {
                    self.bytes -= messages.len();
                }
                Some(Next::Answer(answer))
            }
            Some(_) => Some(Next::Empty),
            None => self.end.map(|(reason, violation)| Next::End(reason, violation)),
        }
    }
}
