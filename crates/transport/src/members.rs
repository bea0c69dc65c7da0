//! Connections to members: a pool for each, attempts and probes on them.
//!
//! A connection carries one query at a time. An attempt takes an idle one or waits for one; openers
//! run apart from the attempts, and keep as many spare as `standby` finds that the member's use is worth.

mod attempt;
mod budgeted;
mod connection;
mod pool;

use super::budgets::Budgets;
use super::flow::Flow;
use super::{Ends, Memory};
use async_channel::Sender;
use async_executor::LocalExecutor;
use connection::{Connection, IDLE};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_admin::Figures;
use wharfplank_pool_policy::Demand;
use wharfplank_protocol::member_response::MemberResponse;
use wharfplank_routing::Ending;

/// The most connections to a member that open at one time.
const OPENING_MOST: usize = 6;
/// After a failure no spare connection is opened for so long: attempts show whether it works again.
const PAUSE: Duration = Duration::from_millis(500);
/// How long a connection is listened to after an answer before it carries the next request: a second copy
/// of the answer, or noise behind it, would be read as the answer to that.
const REST: Duration = Duration::from_millis(3);
/// A connection that stood idle for this long is asked an empty query before it carries a request: one that has
/// been dropped without a word would take the request with it. Where connections die sooner the span shrinks to
/// half of what the dead one stood, and grows back by a tenth each second.
pub const CHECK_AFTER: Duration = Duration::from_millis(500);
const CHECK_LEAST: Duration = Duration::from_millis(5);

type Reason = &'static str;

/// How an attempt ended.
#[derive(Debug)]
pub struct Report {
    /// In the module's words.
    pub ending: Ending,
    /// The member's answer, if it gave one.
    pub answer: Option<MemberResponse>,
    /// A served answer that has only begun: it passes through, and ends with a report of its own.
    pub flow: Option<Flow>,
}

impl Report {
    /// An end without an answer.
    pub fn bare(ending: Ending) -> Self {
        Report { ending, answer: None, flow: None }
    }
}

/// How far an attempt has come; the first byte is what drains count from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Nothing is written yet.
    #[default]
    Waiting,
    /// Some of it may be written, but not its last byte: closed now, it never runs.
    Begun,
    /// All of it is written: it may have run.
    Written,
    /// It has ended, and its report is on the way.
    Done,
}

/// What the pools share.
pub struct Shared {
    /// Runs the openers.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Where ended connections are noted.
    pub ends: Ends,
    /// A connection that is not up after this time never comes up.
    pub connect_timeout: Duration,
    /// Idle connections are retired after this time, well before the member closes them.
    pub idle_most: Duration,
    /// The most connections to all members, and to one.
    pub most: Cell<usize>,
    /// The most connections to one member.
    pub most_each: usize,
    /// Connections to all members that are up or coming up.
    pub open: Cell<usize>,
    /// What the answers of all members may fill.
    pub memory: Rc<Memory>,
    /// Whether members may answer that there is no row.
    pub rowless: bool,
    /// See [`CHECK_AFTER`].
    pub check_after: Cell<Duration>,
    /// The caller's clock.
    pub now: super::Now,
    /// Counts requests that ended, and attempts written whole.
    pub figures: Figures,
    /// The fleet's budgets, where the settings have them.
    pub budgets: Option<Rc<Budgets>>,
}

impl Shared {
    /// Learns that a connection was dead that had stood idle for so long.
    fn died(&self, idle: Duration) {
        if idle >= CHECK_LEAST {
            self.check_after.set(self.check_after.get().min(idle / 2).max(CHECK_LEAST));
        }
    }

    /// What was learnt of idle connections wears off.
    pub fn relax(&self) {
        self.check_after.set((self.check_after.get() * 11 / 10).min(CHECK_AFTER));
    }
}

/// A member as this proxy reaches it.
pub struct Member {
    shared: Rc<Shared>,
    name: String,
    address: Cell<SocketAddr>,
    wanted: Cell<bool>,
    /// When sends must have ended, where the list takes it out of use but is in doubt.
    until: Cell<Option<Instant>>,
    idle: RefCell<Vec<Connection>>,
    waiters: RefCell<VecDeque<Sender<Option<Connection>>>>,
    opening: Cell<usize>,
    /// Connections that are listened to after their answer.
    resting: Cell<usize>,
    open: Cell<usize>,
    heard: Cell<Instant>,
    pause_until: Cell<Option<Instant>>,
    demand: Cell<Demand>,
}

impl Member {
    /// A member at an address. No connection is opened before [`Member::want`].
    pub fn new(shared: Rc<Shared>, name: &str, address: SocketAddr) -> Rc<Self> {
        shared.budgets.iter().for_each(|budgets| budgets.member(name));
        Rc::new(Member {
            shared,
            name: name.to_string(),
            address: Cell::new(address),
            wanted: Cell::new(false),
            until: Cell::new(None),
            idle: RefCell::default(),
            waiters: RefCell::default(),
            opening: Cell::new(0),
            resting: Cell::new(0),
            open: Cell::new(0),
            heard: Cell::new(Instant::now()),
            pause_until: Cell::new(None),
            demand: Cell::default(),
        })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether it takes work, as far as the list tells.
    pub fn wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Nothing may be begun from then on, unless a list says otherwise before.
    pub fn until(&self, until: Instant) {
        self.until.set(Some(until));
    }

    /// Whether something may be sent to it now. Asked just before a first byte, which is what drains count from:
    /// between the decision and there lie a wait for a connection and a check whether it still works.
    fn open_for_work(&self) -> bool {
        self.wanted.get() && self.until.get().is_none_or(|until| Instant::now() < until)
    }

    /// Whether a connection to it stands ready.
    pub fn warm(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    /// Whether nothing holds a connection to it.
    pub fn unused(&self) -> bool {
        self.open.get() == 0 && self.opening.get() == 0
    }

    /// Connects to it, so that it is seen whether it can be reached.
    pub fn knock(self: &Rc<Self>) {
        if self.wanted.get() && self.unused() && self.may_open() {
            self.open_one();
        }
    }

    /// Keeps connections ready to a member that takes work, and closes idle ones of another.
    pub fn want(self: &Rc<Self>, wanted: bool, address: Option<SocketAddr>) {
        if let Some(address) = address.filter(|a| *a != self.address.get()) {
            self.address.set(address);
            self.close_idle("moved", |_| true);
        }
        self.wanted.set(wanted);
        self.until.set(None);
        if wanted {
            self.top_up();
        } else {
            self.close_idle("left", |_| true);
        }
    }

    /// Retires what stood idle for long, drops what has died, and opens spares.
    pub fn tend(self: &Rc<Self>) {
        let now = Instant::now();
        let mut idle = std::mem::take(&mut *self.idle.borrow_mut());
        idle.retain_mut(|c| {
            let old = now - c.used >= self.shared.idle_most;
            let quiet = c.quiet();
            c.reason = match (old, quiet) {
                (true, _) => "retired",
                (_, false) => "member_closed",
                _ => IDLE,
            };
            quiet && !old
        });
        // What is held past the fleet's budget goes first where it is idle, longest first.
        let excess = idle.len().min(self.excess().0 as usize);
        idle.drain(..excess).for_each(|connection| connection.end("over_budget"));
        // The borrow is over before a dropped connection's line is noted.
        self.idle.borrow_mut().splice(0..0, idle);
        if self.wanted.get() {
            self.top_up();
        }
    }

    fn close_idle(&self, reason: &'static str, which: impl Fn(&Connection) -> bool) {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        let (closed, kept): (Vec<_>, Vec<_>) = idle.into_iter().partition(which);
        // The borrow is over before a dropped connection's line is noted.
        self.idle.borrow_mut().extend(kept);
        closed.into_iter().for_each(|connection| connection.end(reason));
    }
}
