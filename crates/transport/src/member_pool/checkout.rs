//! Checkout of connections from the pool, and their return.

use super::connection::{Liveness, MemberConnection};
use super::end_reason::EndReason;
use super::opening::OpenFailed;
use super::MemberPool;
use crate::with_deadline;
use async_channel::bounded;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time for which a connection is watched for unsolicited bytes after a response. A duplicate response,
/// or garbage after it, would otherwise be read as the response to the next request.
const SETTLE_TIME: Duration = Duration::from_millis(3);

/// The reason why no connection could be acquired from the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AcquireError {
    /// No connection could be opened.
    #[error(transparent)]
    Open(#[from] OpenFailed),
    /// The member closed the connection right after the startup. A query written to it would have to be
    /// treated as possibly executed.
    #[error("member closed the new connection")]
    Closed,
    /// The member did not respond to the liveness check of an idle connection.
    #[error("member did not respond to the liveness check")]
    Unresponsive,
    /// The member no longer accepts work.
    #[error("member no longer accepts work")]
    Inactive,
}

impl MemberPool {
    /// Acquires a connection: an idle one that works, or else the next one that is opened or returned.
    pub(super) async fn acquire(self: &Rc<Self>) -> Result<MemberConnection, AcquireError> {
        self.record_demand();
        while let Some(connection) = self.pop_idle() {
            if let Some(usable) = self.check_idle(connection).await? {
                return Ok(usable);
            }
        }
        self.wait_for_connection().await
    }

    fn record_demand(&self) {
        let mut demand = self.demand.get();
        demand.record_use((self.context.now)());
        self.demand.set(demand);
    }

    /// Removes and returns the most recently used idle connection.
    fn pop_idle(&self) -> Option<MemberConnection> {
        self.idle.borrow_mut().pop()
    }

    /// Checks whether an idle connection can carry a request. If not, closes it and returns `None`, and the
    /// caller tries another one.
    async fn check_idle(
        self: &Rc<Self>,
        mut connection: MemberConnection,
    ) -> Result<Option<MemberConnection>, AcquireError> {
        if !connection.is_reusable() {
            connection.close(EndReason::MEMBER_CLOSED);
            return Ok(None);
        }
        let last_used = connection.last_used;
        let idle_time = last_used.elapsed();
        // Pool maintenance runs only periodically, and the member may close the connection before the next
        // run.
        if idle_time >= self.context.idle_timeout {
            connection.close(EndReason::IdleTimeout);
            return Ok(None);
        }
        self.open_missing_connections();
        if idle_time < self.context.liveness_check_after.get() {
            return Ok(Some(connection));
        }
        if !self.accepts_sends() {
            connection.close(EndReason::Deactivated);
            return Err(AcquireError::Inactive);
        }
        connection.end_reason = EndReason::Abandoned;
        match connection.check_liveness().await {
            Liveness::Alive => Ok(Some(connection)),
            Liveness::Dead => {
                connection.close(EndReason::Stale);
                self.context.on_dead_connection(idle_time);
                // Connections that have been idle for longer are probably dead as well.
                self.close_idle(EndReason::Stale, |other| other.last_used <= last_used);
                Ok(None)
            }
            Liveness::Unresponsive => {
                connection.close(EndReason::Unresponsive);
                self.close_idle(EndReason::Unresponsive, |_| true);
                Err(AcquireError::Unresponsive)
            }
        }
    }

    /// Waits for the next connection that is opened or returned to the pool.
    async fn wait_for_connection(self: &Rc<Self>) -> Result<MemberConnection, AcquireError> {
        let (waiter, received) = bounded(1);
        self.waiters.borrow_mut().retain(|waiter| !waiter.is_closed());
        self.waiters.borrow_mut().push_back(waiter);
        self.open_missing_connections();
        let connection = received.recv().await.unwrap_or(Err(OpenFailed))?;
        if !connection.is_reusable() {
            connection.close(EndReason::MEMBER_CLOSED);
            return Err(AcquireError::Closed);
        }
        Ok(connection)
    }

    /// Returns a connection to the pool, or passes it to the attempt that has waited longest.
    pub(super) fn release(self: &Rc<Self>, connection: MemberConnection) {
        if self.excess().over_quota > 0 {
            return connection.close(EndReason::OverBudget);
        }
        // The member's address has changed, and another member may use the old one by now.
        if connection.peer != self.address.get() {
            connection.close(EndReason::Relocated);
            return self.open_missing_connections();
        }
        match self.hand_to_waiter(connection) {
            Some(unclaimed) => self.store_idle(unclaimed),
            None => self.open_missing_connections(),
        }
    }

    /// Passes a connection to the attempt that has waited longest. Returns it if no attempt is waiting.
    fn hand_to_waiter(&self, connection: MemberConnection) -> Option<MemberConnection> {
        let mut offered = Ok(connection);
        loop {
            let waiter = self.waiters.borrow_mut().pop_front();
            let Some(waiter) = waiter else { return offered.ok() };
            match waiter.try_send(offered) {
                Ok(()) => return None,
                Err(rejected) => offered = rejected.into_inner(),
            }
        }
    }

    /// Stores a connection as idle if the member accepts work, and closes it otherwise.
    fn store_idle(&self, mut connection: MemberConnection) {
        connection.reader.buffer.release_memory();
        if self.active.get() {
            connection.end_reason = EndReason::Shutdown;
            self.idle.borrow_mut().push(connection);
        } else {
            connection.close(EndReason::Deactivated);
        }
    }

    /// Watches a connection for [`SETTLE_TIME`] after a response and returns it to the pool if nothing more
    /// was received.
    pub(super) fn settle_and_release(self: &Rc<Self>, connection: MemberConnection) {
        self.settling.set(self.settling.get() + 1);
        let pool = Rc::clone(self);
        let task = async move {
            if !connection.reader.has_partial_response() {
                with_deadline(Instant::now() + SETTLE_TIME, connection.stream.as_async().readable()).await;
            }
            pool.settling.set(pool.settling.get() - 1);
            if connection.is_reusable() {
                return pool.release(connection);
            }
            let reason =
                if connection.has_unread_bytes() { EndReason::Unsolicited } else { EndReason::MEMBER_CLOSED };
            connection.close(reason);
            pool.open_missing_connections();
        };
        self.context.executor.spawn(task).detach();
    }
}
