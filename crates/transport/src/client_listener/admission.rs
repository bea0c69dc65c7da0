//! Admission of client connections: how many there may be, and which one is evicted to make room.

use super::{ClientListener, ConnectionState};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::client_session::CancelKey;

/// Connections that have sent no command for so long are evicted first: a client sends its startup at once.
const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(20);
/// Connections that have been idle for so long since their last response are evicted next.
const LONG_IDLE_TIME: Duration = Duration::from_secs(2);
/// The least number of connections beyond the limit, for which the process keeps descriptors of its own.
const MIN_OVERFLOW: usize = 2;
/// The most connections that linger after an error are one in so many of the limit.
const LINGERING_DIVISOR: usize = 4;

/// Connections beyond the limit of `max_connections`, while they are rejected or while others still close for them.
/// Their descriptors are reserved beside those of the limit.
pub fn overflow_connections(max_connections: usize) -> usize {
    max_connections / 10
}

/// Failed accepts in a row before connections are evicted that are likely to send another request: the descriptors of
/// the machine may be short for a moment only.
const MAX_PATIENT_FAILURES: u32 = 3;

/// The order in which connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionOrder {
    /// It has sent no command for a while.
    NoCommand,
    /// It has been idle for long.
    LongIdle,
    /// It has sent no command, but was accepted just now.
    New,
    /// It had a response lately, and is likely to send the next request.
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
    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Admits so many connections from now on.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Whether there is no place for a connection that has been accepted. One that was evicted for it may have read a
    /// request meanwhile and stay open, so beyond the overflow none is evicted.
    pub(super) fn is_full(&self) -> bool {
        let open = self.open_connections();
        let limit = self.max_connections.get();
        if open < limit {
            return false;
        }
        open >= limit + overflow_connections(limit) + MIN_OVERFLOW || !self.evict_one(|_| true)
    }

    /// Whether a connection may be kept open until its last error has arrived.
    pub(crate) fn may_linger(&self) -> bool {
        let limit = self.max_connections.get();
        self.lingering.get() < limit / LINGERING_DIVISOR
            && self.open_connections() <= limit + overflow_connections(limit)
    }

    /// Counts a connection that sends a command. Clients share a limited number of connections: if more than two
    /// fifths of the limit have sent one, the one that has been idle longest is evicted.
    pub(crate) fn on_command(&self, state: &ConnectionState) {
        if state.has_sent_command.replace(true) {
            return;
        }
        self.with_commands.set(self.with_commands.get() + 1);
        if self.with_commands.get() > self.max_connections.get() * 2 / 5 {
            self.evict_one(|state| state.has_sent_command.get());
        }
    }

    /// Asks a connection to close after so many accepts in a row failed for want of a descriptor.
    pub(super) fn evict_for_descriptor(&self, failures: u32) {
        if failures > MAX_PATIENT_FAILURES {
            self.evict_one(|_| true);
        } else {
            self.evict_first(|order, _| order <= EvictionOrder::LongIdle);
        }
    }

    /// Asks one of the `eligible` connections without an open request to close. Returns whether there is one.
    pub(super) fn evict_one(&self, eligible: impl Fn(&ConnectionState) -> bool) -> bool {
        self.evict_first(|_, state| eligible(state))
    }

    /// Asks the first `eligible` connection in the order of eviction to close. Returns whether there is one.
    fn evict_first(&self, eligible: impl Fn(EvictionOrder, &ConnectionState) -> bool) -> bool {
        let connections = self.connections.borrow();
        let now = Instant::now();
        let candidates = connections.values().filter(|state| !state.evicted.get());
        let ranked = candidates.filter_map(|state| {
            let idle_since = state.idle_since.get()?;
            let order = EvictionOrder::of(state, now - idle_since);
            eligible(order, state).then_some((order, idle_since, state))
        });
        let first = ranked.min_by_key(|(order, idle_since, _)| (*order, *idle_since));
        let Some((_, _, state)) = first else { return false };
        state.evicted.set(true);
        state.response_writer.wake();
        true
    }

    /// The connection that this cancel key names, if any.
    pub(crate) fn connection_with_key(&self, key: CancelKey) -> Option<Rc<ConnectionState>> {
        self.connections.borrow().values().find(|state| state.cancel_key == key).cloned()
    }
}
