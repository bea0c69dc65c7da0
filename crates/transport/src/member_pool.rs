//! Connection pools, one per member, and the attempts and health checks that use them.
//!
//! A connection carries one query at a time. An attempt takes an idle connection or waits for one.
//! Connections are opened in separate tasks, and the pool keeps a number of spare connections that depends on
//! its use.
//!
//! - [`MemberPool`]: the connections to one member, and whether the member receives traffic.
//! - [`PoolContext`]: the limits and services shared by all pools.
//! - [`AttemptReport`] and [`AttemptStage`]: the result and the progress of an attempt.
//! - [`StreamForwarder`]: forwards the rest of a long response after its attempt was reported.

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
pub use context::{PoolContext, MAX_LIVENESS_CHECK_AFTER};
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

/// Passes a connection, or the failure to open one, to a waiting attempt.
type ConnectionWaiter = Sender<Result<MemberConnection, OpenFailed>>;

/// The connections to one member.
pub struct MemberPool {
    context: Rc<PoolContext>,
    name: String,
    address: Cell<SocketAddr>,
    /// Whether the member accepts work according to the endpoint list.
    active: Cell<bool>,
    /// The time from which no send may start. Set if the member was removed from an endpoint list that is
    /// suspect.
    send_until: Cell<Option<Instant>>,
    /// Idle connections, the most recently used one last.
    idle: RefCell<Vec<MemberConnection>>,
    /// Attempts that wait for a connection, in order of arrival.
    waiters: RefCell<VecDeque<ConnectionWaiter>>,
    /// The number of connections that are being opened.
    opening: Cell<usize>,
    /// The number of connections that are watched for unsolicited bytes after a response.
    settling: Cell<usize>,
    /// The number of established connections.
    open: Cell<usize>,
    /// When the member last sent a response or a part of one.
    last_response: Cell<Instant>,
    /// The end of the back-off after a failed open, during which no spare connections are opened.
    backoff_until: Cell<Option<Instant>>,
    demand: Cell<ConnectionDemand>,
}

impl MemberPool {
    /// Creates the pool of a member. No connection is opened before [`MemberPool::activate`] is called.
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

    /// Returns the member's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns whether the member accepts work according to the endpoint list.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }

    /// Returns whether the pool has an idle connection.
    pub fn has_idle_connection(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    /// Returns whether no connection is open or being opened.
    pub fn has_no_connections(&self) -> bool {
        self.open.get() == 0 && self.opening.get() == 0
    }

    /// Stops sends from `until` on, unless [`MemberPool::activate`] or [`MemberPool::deactivate`] is called
    /// before then.
    pub fn stop_sends_at(&self, until: Instant) {
        self.send_until.set(Some(until));
    }

    /// Opens a connection if there is none, to find out whether the member is reachable.
    pub fn connect_if_unused(self: &Rc<Self>) {
        if self.active.get() && self.has_no_connections() && self.reserve_connection() {
            self.start_opening();
        }
    }

    /// Changes the member's address, and closes idle connections to the previous one.
    pub fn relocate(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.close_idle(EndReason::Relocated, |_| true);
        }
    }

    /// Allows sends to the member and opens spare connections.
    pub fn activate(self: &Rc<Self>) {
        self.active.set(true);
        self.send_until.set(None);
        self.open_missing_connections();
    }

    /// Stops sends to the member and closes its idle connections.
    pub fn deactivate(&self) {
        self.active.set(false);
        self.send_until.set(None);
        self.close_idle(EndReason::Deactivated, |_| true);
    }

    /// Returns whether data may be sent to the member now. Checked just before the first byte, because the
    /// drain time limit applies to the first byte, and the wait for a connection and its liveness check may
    /// take a while after the routing decision.
    fn accepts_sends(&self) -> bool {
        self.active.get() && self.send_until.get().is_none_or(|until| Instant::now() < until)
    }
}
