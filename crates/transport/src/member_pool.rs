//! Connection pools to members: one per member, with the attempts and health checks that use it.
//!
//! A connection carries one query at a time. An attempt takes an idle connection or waits for one. Connections are
//! opened apart from the attempts, in tasks of their own, and the pool keeps as many spare ones as its use justifies.
//!
//! - [`MemberPool`]: the connections to one member, and whether it is sent anything.
//! - [`PoolContext`]: limits and services that all pools share.
//! - [`AttemptReport`] and [`AttemptStage`]: the result and the progress of an attempt.
//! - [`StreamForwarder`]: forwards a long response after its attempt was reported.

mod attempt;
mod checkout;
mod connection;
mod connection_budget;
mod context;
mod end_reason;
mod forwarder;
mod idle;
mod limits;
mod opening;
mod report;

pub use connection_budget::ConnectionExcess;
pub use context::{PoolContext, CHECK_AFTER};
pub use forwarder::StreamForwarder;
pub use limits::AttemptLimits;
pub use report::{AttemptCompletion, AttemptReport, AttemptStage};

use async_channel::Sender;
use connection::MemberConnection;
use end_reason::EndReason;
use opening::OpenFailed;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use wharfplank_pool_policy::ConnectionDemand;

/// How a waiting attempt is handed a connection, or told that opening one failed.
type ConnectionWaiter = Sender<Result<MemberConnection, OpenFailed>>;

/// The connections to one member.
pub struct MemberPool {
    context: Rc<PoolContext>,
    name: String,
    address: Cell<SocketAddr>,
    /// Whether the endpoint list has the member take work.
    active: Cell<bool>,
    /// Until when sends may begin, where the member was removed from an endpoint list that is in doubt.
    send_until: Cell<Option<Instant>>,
    /// Idle connections; the one used last is at the end.
    idle: RefCell<Vec<MemberConnection>>,
    /// Attempts that wait for a connection; the one that has waited longest is at the front.
    waiters: RefCell<VecDeque<ConnectionWaiter>>,
    /// Connections that are being opened.
    opening: Cell<usize>,
    /// Connections that are watched for unsolicited bytes after a response.
    settling: Cell<usize>,
    /// Connections that are established.
    open: Cell<usize>,
    /// When the member last sent a response, or a part of one.
    last_response: Cell<Instant>,
    /// Until when no spare connection is opened, after opening one failed.
    backoff_until: Cell<Option<Instant>>,
    demand: Cell<ConnectionDemand>,
}

impl MemberPool {
    /// Creates the pool of a member. No connection is opened before [`MemberPool::activate`].
    pub fn new(context: Rc<PoolContext>, name: &str, address: SocketAddr) -> Rc<Self> {
        if let Some(budgets) = &context.budgets {
            budgets.add_member(name);
        }
        Rc::new(MemberPool {
            context,
            name: name.to_string(),
            address: Cell::new(address),
            active: Cell::new(false),
            send_until: Cell::new(None),
            idle: RefCell::default(),
            waiters: RefCell::default(),
            opening: Cell::new(0),
            settling: Cell::new(0),
            open: Cell::new(0),
            last_response: Cell::new(Instant::now()),
            backoff_until: Cell::new(None),
            demand: Cell::default(),
        })
    }

    /// The member's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether the member takes work according to the endpoint list.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }

    /// Whether an idle connection is ready.
    pub fn has_idle_connection(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    /// Whether no connection is open or being opened.
    pub fn has_no_connections(&self) -> bool {
        self.open.get() == 0 && self.opening.get() == 0
    }

    /// Lets nothing be sent from `until` on, unless [`MemberPool::activate`] or [`MemberPool::deactivate`] is called
    /// before.
    pub fn stop_sends_at(&self, until: Instant) {
        self.send_until.set(Some(until));
    }

    /// Opens a connection if there is none, to show whether the member can be reached.
    pub fn connect_if_unused(self: &Rc<Self>) {
        if self.active.get() && self.has_no_connections() && self.reserve_connection() {
            self.start_opening();
        }
    }

    /// Connects to this address from now on. Idle connections to a former address are closed.
    pub fn relocate(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.close_idle(EndReason::Relocated, |_| true);
        }
    }

    /// Sends attempts to the member from now on, and keeps connections ready.
    pub fn activate(self: &Rc<Self>) {
        self.active.set(true);
        self.send_until.set(None);
        self.open_missing_connections();
    }

    /// Sends nothing to the member from now on, and closes its idle connections.
    pub fn deactivate(&self) {
        self.active.set(false);
        self.send_until.set(None);
        self.close_idle(EndReason::Deactivated, |_| true);
    }

    /// Whether something may be sent to the member now. It is checked just before a first byte, which is what the
    /// time limit of draining counts from: between the decision and the first byte lie a wait for a connection and a
    /// check whether it still works.
    fn accepts_sends(&self) -> bool {
        self.active.get() && self.send_until.get().is_none_or(|until| Instant::now() < until)
    }
}
