//! Opening of connections, independent of the attempts that wait for them.

use super::connection::MemberConnection;
use super::end_reason::EndReason;
use super::MemberPool;
use crate::socket::open;
use crate::{with_deadline, ConnectionEnd, Remote};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::member_request;
use wharfplank_protocol::member_response::{ResponseEvent, ResponseKind, ResponseReader};

/// The maximum number of connections to a member that are opened at the same time.
const MAX_OPENING: usize = 6;
/// The time after a failure during which no spare connection is opened. Meanwhile, attempts show whether the
/// member works again.
const BACKOFF: Duration = Duration::from_millis(500);
/// The user and the database of the startup message.
const USER: &str = "web";
const DATABASE: &str = "orders";

/// The failure to open a connection for a waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("could not open a connection to the member")]
pub(super) struct OpenFailed;

/// The reason why a connection could not be established.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    /// The connection could not be opened, or failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The member closed the connection before it was ready.
    #[error("member closed the connection during startup")]
    Closed,
    /// The member rejected the startup.
    #[error("member rejected the startup")]
    Rejected,
    /// The member was not ready in time.
    #[error("connection was not established within the time limit")]
    Timeout,
}

impl From<&ConnectError> for EndReason {
    fn from(error: &ConnectError) -> Self {
        match error {
            ConnectError::Timeout => EndReason::ConnectTimeout,
            ConnectError::Io(_) | ConnectError::Closed | ConnectError::Rejected => EndReason::ConnectFailed,
        }
    }
}

impl MemberPool {
    /// Opens connections for waiting attempts and as spares, within the limits.
    pub(super) fn open_missing_connections(self: &Rc<Self>) {
        let missing = self.missing_connections();
        while self.opening.get() < missing && self.may_open_another() {
            self.start_opening();
        }
    }

    /// Returns the number of connections that should be in the process of being opened.
    fn missing_connections(&self) -> usize {
        let now = Instant::now();
        let in_backoff = self.backoff_until.get().is_some_and(|until| now < until);
        let spares = if in_backoff || !self.active.get() {
            0
        } else {
            self.demand.get().spare_connections((self.context.now)())
        };
        let waiting = self.waiters.borrow().iter().filter(|waiter| !waiter.is_closed()).count();
        let available = self.idle.borrow().len() + self.settling.get();
        (waiting + spares).saturating_sub(available).min(MAX_OPENING)
    }

    /// Returns whether the limits allow another connection. If so, reserves it in the fleet-wide budget.
    fn may_open_another(&self) -> bool {
        self.open.get() + self.opening.get() < self.context.max_connections_per_member
            && self.context.open_connections.get() < self.context.max_connections.get()
            && self.reserve_connection()
    }

    /// Starts a task that opens one connection. The connection must have been reserved.
    pub(super) fn start_opening(self: &Rc<Self>) {
        self.opening.set(self.opening.get() + 1);
        let open_connections = &self.context.open_connections;
        open_connections.set(open_connections.get() + 1);
        let pool = Rc::clone(self);
        self.context.executor.spawn(async move { pool.open_connection().await }).detach();
    }

    /// Opens a connection and releases it to the pool. Reports a failure to the attempt that has waited
    /// longest.
    async fn open_connection(self: Rc<Self>) {
        let peer = self.address.get();
        let started = Instant::now();
        let deadline = started + self.context.connect_timeout;
        let connected = with_deadline(deadline, self.connect(peer)).await;
        self.opening.set(self.opening.get() - 1);
        match connected.unwrap_or(Err(ConnectError::Timeout)) {
            Ok(connection) => {
                self.backoff_until.set(None);
                self.release(connection);
            }
            Err(error) => self.on_open_failed(peer, started, &error),
        }
    }

    fn on_open_failed(self: &Rc<Self>, peer: SocketAddr, started: Instant, error: &ConnectError) {
        self.release_reservation();
        (self.context.on_connection_end)(&ConnectionEnd {
            remote: Remote::Member(&self.name),
            address: peer,
            reason: EndReason::from(error).as_str(),
            undelivered_bytes: 0,
            requests: 0,
            started_at: started,
        });
        self.backoff_until.set(Some(Instant::now() + BACKOFF));
        self.fail_first_waiter();
        self.open_missing_connections();
    }

    /// Reports a failure to the attempt that has waited longest, skipping those that no longer wait.
    fn fail_first_waiter(&self) {
        loop {
            let waiter = self.waiters.borrow_mut().pop_front();
            let Some(waiter) = waiter else { return };
            if waiter.try_send(Err(OpenFailed)).is_ok() {
                return;
            }
        }
    }

    /// Connects to the member and completes the startup.
    async fn connect(self: &Rc<Self>, peer: SocketAddr) -> Result<MemberConnection, ConnectError> {
        let mut stream = open::connect(peer).await?;
        let _ = stream.get_ref().set_nodelay(true);
        stream.write_all(&member_request::startup_message(USER, DATABASE)).await?;
        let mut reader = ResponseReader::default();
        reader.accepts_no_row = self.context.allow_empty_result;
        loop {
            match reader.advance(false) {
                Ok(Some(ResponseEvent::Complete(response))) if response.kind == ResponseKind::Done => break,
                Ok(Some(_)) | Err(_) => return Err(ConnectError::Rejected),
                Ok(None) => {}
            }
            match stream.read(reader.buffer.spare()).await? {
                0 => return Err(ConnectError::Closed),
                count => reader.buffer.commit(count),
            }
        }
        Ok(MemberConnection::new(Rc::clone(self), peer, stream, reader))
    }
}
