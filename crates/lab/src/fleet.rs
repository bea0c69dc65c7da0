//! The stand-in members as a model without I/O: time and requests go in, answers and their times come out.
//!
//! A position is the time up to which a member has applied all commits. A primary stands at the present; a replica
//! gets the log a few milliseconds late and applies it with one thread, which stands still while it holds a long read.

mod class;
mod course;

pub use class::{Class, CLASSES};

use crate::timeline::Timeline;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Microseconds of Unix time.
pub type Micros = i64;

/// A replica gets the log so late, and catches up so many times as fast as time passes.
const SHIPPED: Micros = 8_000;
const CATCH_UP: f64 = 3.0;
/// What a member works on at a time.
pub const CORES: usize = 4;
/// What may wait at a member.
const QUEUE: usize = 60;
/// A member that starts has this part of its capacity, and all of it after the span; sent more than the multiple of
/// what it can do then, over the second span, it falls over and stays down: the brief's rule on cold members.
pub const COLD_FROM: f64 = 0.24;
/// See [`COLD_FROM`].
pub const COLD_SPAN: Micros = 15_000_000;
/// See [`COLD_FROM`].
pub const FALL_MULTIPLE: f64 = 3.0;
/// See [`COLD_FROM`].
pub const FALL_SPAN: Micros = 1_500_000;
/// How old the data of a bounded read may be when it is served, as the classes of the configuration have it, and the
/// slack that the rules on sockets give every time limit.
const BOUND: Micros = 200_000;
const SLACK: Micros = 50_000;

/// One member.
#[derive(Debug)]
pub struct Member {
    /// Its name, `g0m1`.
    pub name: String,
    /// Its group.
    pub group: usize,
    /// Its zone.
    pub zone: &'static str,
    /// Whether it takes writes.
    pub primary: bool,
    /// Whether it is cut off or dead: it says nothing.
    pub silent: bool,
    /// Whether it drains.
    pub drains: bool,
    /// What the agent on its machine does to it.
    pub hand: Hand,
    position: f64,
    rate: f64,
    pace: f64,
    /// Long reads that it holds.
    long: usize,
    /// When each core is free.
    pub free: [Micros; CORES],
    held: usize,
    /// Statements that it has run, for the rule on writes.
    pub writes: u64,
    /// When it last started; 0: long ago.
    pub born: Micros,
    /// Arrivals within the last `FALL_SPAN`, for the rule on cold members.
    arrivals: std::collections::VecDeque<Micros>,
    /// Whether it fell over under more than it could do while cold.
    pub fallen: bool,
    /// The most that it was sent over a span of `FALL_SPAN`, as a part of what fells it.
    pub peak: f64,
}

/// What the agent on a member's machine does to it, beside the script: a restart, and the version that it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hand {
    /// It takes nothing new.
    pub drains: bool,
    /// Its process is gone.
    pub away: bool,
    /// The part of its requests that it refuses.
    pub refuses: f64,
    /// What its requests take, as a multiple.
    pub pace: f64,
}

impl Default for Hand {
    fn default() -> Hand {
        Hand { drains: false, away: false, refuses: 0.0, pace: 1.0 }
    }
}

/// What a member does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answers then.
    At(Micros),
    /// It is no primary.
    Miss,
    /// It is full, or drains.
    Full,
}

/// All members.
#[derive(Debug)]
pub struct Fleet {
    /// The members, group by group.
    pub members: Vec<Member>,
    /// Reads served from data older than their class allows, and writes that ran a second time: broken rules.
    pub stale: u64,
    /// See `stale`.
    pub twice: u64,
    /// Ids of the writes that ran, for `twice`; the run bounds them.
    written: std::collections::HashSet<String>,
    start: Micros,
    now: Micros,
    timeline: Timeline,
    rng: SmallRng,
}

impl Fleet {
    /// The members of a timeline that begins at `start`.
    pub fn new(timeline: &Timeline, start: Micros) -> Fleet {
        let zone = |i: usize| ["a", "b", "c"][i % 3];
        let member = |g: usize, m: usize| Member {
            name: format!("g{g}m{m}"),
            group: g,
            zone: zone(g + m),
            primary: m == 0,
            silent: false,
            drains: false,
            hand: Hand::default(),
            position: start as f64,
            rate: 1.0,
            pace: 1.0,
            long: 0,
            free: [0; CORES],
            held: 0,
            writes: 0,
            born: 0,
            arrivals: std::collections::VecDeque::new(),
            fallen: false,
            peak: 0.0,
        };
        let members =
            (0..timeline.groups).flat_map(|g| (0..timeline.members).map(move |m| member(g, m))).collect();
        let rng = SmallRng::seed_from_u64(timeline.seed);
        let written = std::collections::HashSet::new();
        Fleet { members, stale: 0, twice: 0, written, start, now: start, timeline: timeline.clone(), rng }
    }

    /// The script's seconds count from then on.
    pub fn begin(&mut self, start: Micros) {
        self.start = start;
    }

    /// The part of its capacity that a member has now.
    pub fn capacity(&self, member: usize) -> f64 {
        let m = &self.members[member];
        let age = (self.now - m.born).max(0) as f64;
        (COLD_FROM + (1.0 - COLD_FROM) * age / COLD_SPAN as f64).min(1.0)
    }

    /// Takes a request at a member. `id` and `after_ms` are the request's, where the stand read them: a write is
    /// counted once by its id, a read against the age its class allows.
    pub fn ask(&mut self, member: usize, class: usize) -> Verdict {
        self.asked(member, class, None, None)
    }

    /// See [`Fleet::ask`].
    pub fn asked(&mut self, member: usize, class: usize, id: Option<&str>, after_ms: Option<i64>) -> Verdict {
        let draw = -(1.0 - self.rng.random::<f64>()).ln();
        let capacity = self.capacity(member);
        let now = self.now;
        let write = CLASSES[class].name == "write";
        if write && !self.members[member].primary {
            return Verdict::Miss;
        }
        if self.members[member].drains || self.members[member].held >= QUEUE + CORES {
            return Verdict::Full;
        }
        let refuses = self.members[member].hand.refuses;
        if refuses > 0.0 && self.rng.random::<f64>() < refuses {
            return Verdict::Full;
        }
        // The cold rule: what all proxies sent it over the span, against what it can do now.
        let m = &mut self.members[member];
        m.arrivals.push_back(now);
        while m.arrivals.front().is_some_and(|at| now - at > FALL_SPAN) {
            m.arrivals.pop_front();
        }
        let mean_work = CLASSES.iter().map(|c| c.part * c.work).sum::<f64>();
        let can = CORES as f64 / mean_work * FALL_SPAN as f64 * capacity;
        let part = m.arrivals.len() as f64 / (FALL_MULTIPLE * can);
        m.peak = m.peak.max(part);
        m.fallen |= part > 1.0 && m.arrivals.len() > 10;
        let position = m.position as Micros;
        let stale = match (CLASSES[class].name, after_ms) {
            ("bounded-read", _) => !m.primary && position < now - BOUND - SLACK,
            (_, Some(after)) if !write => !m.primary && position < after * 1000,
            _ => false,
        };
        self.stale += u64::from(stale);
        if let Some(id) = id.filter(|_| write) {
            if !self.written.insert(id.to_string()) {
                self.twice += 1;
            }
        }
        let member = &mut self.members[member];
        let work = CLASSES[class].work * (0.3 + 0.7 * draw.min(5.0)) * member.pace / capacity;
        let core = member.free.iter_mut().min().expect("there are cores");
        *core = now.max(*core) + work as Micros;
        member.held += 1;
        member.writes += u64::from(write);
        member.long += usize::from(CLASSES[class].name == "report");
        Verdict::At(*core)
    }

    /// A request has left a member.
    pub fn done(&mut self, member: usize, class: usize) {
        let member = &mut self.members[member];
        member.held -= 1;
        member.long -= usize::from(CLASSES[class].name == "report");
    }

    /// A member's position, rounded down to milliseconds.
    pub fn position_ms(&self, member: usize) -> i64 {
        self.members[member].position as i64 / 1000
    }

    /// A member's load report.
    pub fn report(&self, member: usize) -> String {
        let m = &self.members[member];
        let (at, util) = (m.position as i64, (m.held as f64 / CORES as f64).min(1.0));
        let (whole, part) = (at / 1_000_000, at % 1_000_000);
        format!("x0={whole}.{part:06},x1={},inflight={},util={util:.2}", u8::from(m.primary), m.held)
    }
}
