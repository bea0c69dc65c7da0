//! Admission control for client connections: the connection limit and the choice of connections to evict.

use super::{ClientListener, ConnectionState};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::client_session::CancelKey;

/// Connections without a command for this long after the accept are evicted first, since clients send their
/// startup message immediately.
const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(20);
/// Connections that have been idle for this long since their last response are evicted next.
const LONG_IDLE_TIME: Duration = Duration::from_secs(2);
/// The minimum number of connections beyond the limit, which use file descriptors that the process keeps for
/// itself.
const MIN_OVERFLOW: usize = 2;
/// At most `limit / LINGERING_DIVISOR` connections linger after a fatal error.
const LINGERING_DIVISOR: usize = 4;

/// Returns the number of connections allowed beyond `max_connections` while they are being rejected or while
/// evicted connections are closing. File descriptors are reserved for them in addition to the limit.
pub fn overflow_connections(max_connections: usize) -> usize {
    max_connections / 10
}

/// The number of consecutive failed accepts after which even recently used connections are evicted. Up to
/// this number only connections without a command or idle for long are, since the shortage of file
/// descriptors may be brief.
const MAX_FAILURES_BEFORE_EVICTING_RECENT: u32 = 3;

/// The eviction priority of a connection; lower values are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionOrder {
    /// It has sent no command within [`FIRST_COMMAND_GRACE`].
    NoCommand,
    /// It has been idle for at least [`LONG_IDLE_TIME`].
    LongIdle,
    /// It has sent no command but was just accepted.
    New,
    /// It recently received a response and is likely to send another request.
    RecentlyUsed,
}

impl EvictionOrder {
    fn of(state: &ConnectionState, idle_time: Duration) -> Self {
        match state.has_sent_command.get() {
            false if idle_time >= FIRST_COMMAND_GRACE => EvictionOrder::NoCommand,
            true if idle_time >= LONG_IDLE_TIME => EvictionOrder::LongIdle,
            false => EvictionOrder::New,
            true => EvictionOrder::RecentlyUsed,
        }
    }
}

impl ClientListener {
    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Sets the maximum number of connections.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Returns whether an accepted connection has to be rejected. At the limit it is admitted if another
    /// connection can be evicted for it. An evicted connection stays open if it has just read a request, so
    /// nothing is evicted once the overflow is used up.
    pub(super) fn is_full(&self) -> bool {
        let open = self.open_connections();
        let limit = self.max_connections.get();
        if open < limit {
            return false;
        }
        open >= limit + overflow_connections(limit) + MIN_OVERFLOW || !self.evict_one(|_| true)
    }

    /// Returns whether a connection may stay open for the delivery of a fatal error.
    pub(crate) fn may_linger(&self) -> bool {
        let limit = self.max_connections.get();
        self.lingering.get() < limit / LINGERING_DIVISOR
            && self.open_connections() <= limit + overflow_connections(limit)
    }

    /// Counts a connection when it sends its first command. If more than two fifths of the limit have sent
    /// one, evicts the one that has been idle longest, since clients share a limited number of connections.
    pub(crate) fn on_command(&self, state: &ConnectionState) {
        if state.has_sent_command.replace(true) {
            return;
        }
        self.connections_with_commands.set(self.connections_with_commands.get() + 1);
        if self.connections_with_commands.get() > self.max_connections.get() * 2 / 5 {
            self.evict_one(|state| state.has_sent_command.get());
        }
    }

    /// Evicts a connection after `failures` consecutive accepts failed for lack of file descriptors.
    pub(super) fn evict_for_descriptor(&self, failures: u32) {
        if failures > MAX_FAILURES_BEFORE_EVICTING_RECENT {
            self.evict_one(|_| true);
        } else {
            self.evict_first(|order, _| order <= EvictionOrder::LongIdle);
        }
    }

    /// Evicts one of the `eligible` connections without an open request. Returns whether there was one.
    pub(super) fn evict_one(&self, eligible: impl Fn(&ConnectionState) -> bool) -> bool {
        self.evict_first(|_, state| eligible(state))
    }

    /// Evicts the first `eligible` connection in eviction order. Returns whether there was one.
    fn evict_first(&self, eligible: impl Fn(EvictionOrder, &ConnectionState) -> bool) -> bool {
        let connections = self.connections.borrow();
        let now = Instant::now();
        let candidates = connections.values().filter(|state| !state.evicted.get());
        let eligible = candidates.filter_map(|state| {
            let idle_since = state.idle_since.get()?;
            let order = EvictionOrder::of(state, now - idle_since);
            eligible(order, state).then_some((order, idle_since, state))
        });
        let mut ranked: Vec<_> = eligible.collect();
        ranked.sort_by_key(|(order, idle_since, _)| (*order, *idle_since));
        let first = ranked.into_iter().find(|(_, _, state)| !self.has_undelivered_output(state));
        let Some((_, _, state)) = first else { return false };
        state.evicted.set(true);
        state.response_writer.wake();
        true
    }

    /// Returns whether the client has yet to take output, so that the connection would not close now.
    pub(super) fn has_undelivered_output(&self, state: &ConnectionState) -> bool {
        let socket = state.response_writer.socket();
        socket.is_some_and(|socket| self.undelivered_bytes(socket.get_ref()).is_ok_and(|bytes| bytes > 0))
    }

    /// Returns the connection with this cancel key, if any.
    pub(crate) fn connection_with_key(&self, key: CancelKey) -> Option<Rc<ConnectionState>> {
        self.connections.borrow().values().find(|state| state.cancel_key == key).cloned()
    }
}
