//! The time limits of polls: waits, timeouts, hedging and backoff.

use wharfplank_routing::Micros;

/// The longest time after which a change takes effect for a proxy, counted from when discovery has it and is
/// reachable, whether the proxy received it or not (the platform's protocol, 'Figures').
pub const EFFECTIVE_WITHIN: Micros = 6_000_000;

/// The number of units that [`EFFECTIVE_WITHIN`] and the drain grace are divided into; all limits are
/// multiples of a unit.
const UNITS: Micros = 14;
/// The longest drain grace; longer values are reduced to it.
const MAX_DRAIN_GRACE: Micros = 3_600_000_000;
/// The greatest number of times that a backoff is doubled.
const MAX_DOUBLINGS: u32 = 10;

/// The time limits of polls. All durations are in microseconds.
///
/// A change takes effect [`EFFECTIVE_WITHIN`] after discovery has it and is reachable, however earlier polls
/// failed (refused, reset, silent or timed out), and requests to a draining endpoint must end
/// [`PollSchedule::drain_grace`] later. The unit of all limits is one fourteenth of the sum of both, 0.5 s on
/// the platform:
///
/// | in units | local agent that receives pushed lists | shared service that is polled |
/// | --- | --- | --- |
/// | wait of a watch | 4 | 4 |
/// | connect, and response after the wait | 1, at most a quarter of `drain_grace` | 1 |
/// | time in the service's queue | none | 5, also for the full list |
/// | start of the hedged poll of a watch | half a response timeout after the wait | 4.5 |
/// | timeout of the hedged poll | a connect and a response | at 8 |
/// | start of the poll after a failed one started | backoff of an eighth of `drain_grace` | at most 8.5 |
/// | response to that poll | at once | at most 5 later |
///
/// [`PollSchedule::max_recovery`] is the sum: 13.5 of 14 units for a shared service, with the latest possible
/// response. A watch that falls silent and is refused twice when reopened (at 5 units, and after a backoff of
/// 3.5) takes the same time. A local agent runs on the proxy's machine, and what it received when discovery
/// recovered takes effect at once, so a poll that hung and the backoff after it must fit into `drain_grace`
/// alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSchedule {
    /// The time within which requests to an endpoint must end after it is told to drain or is removed.
    pub drain_grace: Micros,
    /// The long-poll wait that a watch requests.
    pub watch_wait: Micros,
    /// The limit for opening a connection.
    pub connect_timeout: Micros,
    /// The limit for a response after the requested wait.
    pub response_timeout: Micros,
    /// How late a response may be before the hedged poll starts.
    pub hedge_after: Micros,
    /// Set if discovery is one service that every proxy polls.
    pub shared: Option<SharedDiscovery>,
}

/// A discovery service of fixed capacity that all proxies poll.
///
/// It refuses polls while its queue is full and lets queued ones time out, so proxies that start together, or
/// retry at a fixed interval, can overload it until it answers no poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedDiscovery {
    /// The seed of this proxy's jitter.
    pub seed: u64,
    /// The platform's interval between polls (`Rules.AskEveryUs`).
    pub poll_interval: Micros,
    /// The number of proxies that poll.
    pub proxies: u32,
}

/// The limits of a hedged poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeLimits {
    /// The long-poll wait that it requests.
    pub wait: Micros,
    /// The limit for its response, including the connect.
    pub timeout: Micros,
}

impl PollSchedule {
    /// The shortest interval between two polls, however they end, so that an agent that answers a watch at
    /// once is not polled in a busy loop. The service continues a watch if the next poll arrives within
    /// 200 ms.
    pub const MIN_INTERVAL: Micros = 20_000;
    /// The longest backoff after early empty responses; it stays within those 200 ms.
    pub const MAX_IDLE_BACKOFF: Micros = 150_000;
    /// The shortest timeout for a connect or a response, because the proxy itself may stall briefly.
    pub const MIN_TIMEOUT: Micros = 100_000;
    /// The longest backoff after failed polls of a local agent.
    pub const MAX_FAILURE_BACKOFF: Micros = 1_000_000;
    /// The time per proxy over which polls of a shared service are spread, as far as the limits allow.
    pub const SPREAD_PER_PROXY: Micros = 25_000;
    /// The number of consecutive failures after which a small fleet requests the full list from a shared
    /// service.
    pub const FULL_LIST_AFTER_SMALL_FLEET: u32 = 4;
    /// The same number for a large fleet. It is higher because each entry of the full list costs the service
    /// work.
    pub const FULL_LIST_AFTER_LARGE_FLEET: u32 = 16;
    /// The time per proxy over which a large fleet spreads full-list polls that no notified change caused.
    pub const FULL_LIST_SPREAD_PER_PROXY: Micros = 400_000;

    /// Creates the limits for a local agent, where requests must end `drain_grace` after a drain
    /// notification. Values outside 0 to 1 h are clamped.
    pub fn new(drain_grace: Micros) -> Self {
        let drain_grace = drain_grace.clamp(0, MAX_DRAIN_GRACE);
        let unit = (EFFECTIVE_WITHIN + drain_grace.min(EFFECTIVE_WITHIN)) / UNITS;
        // A local agent answers at once or, while discovery is down, not at all.
        let timeout = (drain_grace / 4).clamp(Self::MIN_TIMEOUT, unit);
        PollSchedule {
            drain_grace,
            watch_wait: unit * 4,
            connect_timeout: timeout,
            response_timeout: timeout,
            hedge_after: timeout / 2,
            shared: None,
        }
    }

    /// Returns the limits for one service of fixed capacity that every proxy polls.
    pub fn with_shared(self, shared: SharedDiscovery) -> Self {
        let unit = self.unit();
        PollSchedule {
            connect_timeout: unit,
            response_timeout: unit,
            hedge_after: unit / 2,
            shared: Some(shared),
            ..self
        }
    }

    fn unit(&self) -> Micros {
        self.watch_wait / 4
    }

    /// Returns the timeout from the start of a poll that requests this wait. A shared service queues polls,
    /// including those for the full list, so an earlier timeout would waste the work that it does for them.
    pub fn total_response_timeout(&self, wait: Micros) -> Micros {
        self.response_timeout + if self.shared.is_some() { self.watch_wait } else { wait }
    }

    /// Returns the limits of the hedged poll for a watch. It requests changes again from a shared service,
    /// which may queue it, and the full list from a local agent.
    pub fn hedge_limits(&self) -> HedgeLimits {
        match self.shared {
            Some(_) => HedgeLimits { wait: self.unit() * 3, timeout: self.unit() * 7 / 2 },
            None => HedgeLimits { wait: 0, timeout: self.connect_timeout + self.response_timeout },
        }
    }

    /// Returns the limit for a poll while bytes of its response keep arriving.
    pub fn total_timeout(&self) -> Micros {
        self.unit() * 8
    }

    /// Returns the longest time from the start of a failed poll of a shared service to the start of the next
    /// one.
    pub fn max_retry_interval(&self) -> Micros {
        self.unit() * 17 / 2
    }

    /// Returns the time within which the first poll of a shared service is made, at the start or at a new
    /// address.
    pub fn initial_spread(&self, shared: &SharedDiscovery) -> Micros {
        let spread = Micros::from(shared.proxies) * Self::SPREAD_PER_PROXY;
        spread.min(shared.poll_interval / 4).min(self.unit() * 5).max(1)
    }

    /// Returns the longest backoff after this many consecutive failed polls of a shared service: the spread
    /// of all proxies, doubled with each failure, as far as the limits allow. The limit is lower for the
    /// first failure because a silent watch may precede it.
    pub fn max_shared_backoff(&self, shared: &SharedDiscovery, failures: u32) -> Micros {
        let limit = if failures <= 1 { self.unit() * 7 / 2 } else { self.max_retry_interval() };
        let spread = (Micros::from(shared.proxies) * Self::SPREAD_PER_PROXY).max(Self::MIN_TIMEOUT);
        let doubled = spread << failures.saturating_sub(1).min(MAX_DOUBLINGS);
        doubled.min(shared.poll_interval.max(Self::MIN_TIMEOUT)).min(limit)
    }

    /// Returns the backoff after this many consecutive failed polls (at least one) of a local agent.
    pub fn local_backoff(&self, failures: u32) -> Micros {
        let doubled = Self::MIN_INTERVAL << (failures - 1).min(MAX_DOUBLINGS);
        doubled.min(self.max_local_backoff())
    }

    /// Returns the backoff after this many consecutive early empty responses.
    pub fn idle_backoff(&self, idle_responses: u32) -> Micros {
        (Self::MIN_INTERVAL << idle_responses.min(MAX_DOUBLINGS)).min(Self::MAX_IDLE_BACKOFF)
    }

    /// Returns whether the fleet is small enough for all proxies to request the full list within the timeout
    /// of one poll.
    pub fn is_small_fleet(&self, shared: &SharedDiscovery) -> bool {
        let mean_spread = Micros::from(shared.proxies) * Self::FULL_LIST_SPREAD_PER_PROXY / 2;
        mean_spread <= self.total_response_timeout(self.watch_wait)
    }

    /// Returns the number of consecutive failures after which the full list is requested from a shared
    /// service.
    pub fn full_list_after(&self, shared: &SharedDiscovery) -> u32 {
        if self.is_small_fleet(shared) {
            Self::FULL_LIST_AFTER_SMALL_FLEET
        } else {
            Self::FULL_LIST_AFTER_LARGE_FLEET
        }
    }

    /// Returns the longest backoff after failed polls of a local agent. What the agent received when
    /// discovery recovered takes effect at once, so a poll that hung until then and this backoff must fit
    /// into the drain grace.
    pub fn max_local_backoff(&self) -> Micros {
        (self.drain_grace / 8).clamp(Self::MIN_INTERVAL, Self::MAX_FAILURE_BACKOFF)
    }

    /// Returns the longest time from when discovery becomes reachable to its response. The worst case is a
    /// poll that started just before and failed, followed by the next one. A local agent answers at once; a
    /// shared service may queue the poll. For a drain grace of at least 0.4 s,
    /// [`PollSchedule::allowed_recovery`] is never less.
    pub fn max_recovery(&self) -> Micros {
        match self.shared {
            Some(_) => self.max_retry_interval() + self.total_response_timeout(self.watch_wait),
            None => {
                self.hedge_after + self.connect_timeout + self.response_timeout + self.max_local_backoff()
            }
        }
    }

    /// Returns the limit for [`PollSchedule::max_recovery`].
    pub fn allowed_recovery(&self) -> Micros {
        match self.shared {
            Some(_) => EFFECTIVE_WITHIN + self.drain_grace.min(EFFECTIVE_WITHIN),
            None => self.drain_grace,
        }
    }

    /// Returns the longest time from the start of a watch that falls silent to the response to the second
    /// poll after it.
    pub fn max_silent_watch(&self) -> Micros {
        let hedge = self.hedge_limits();
        let next_response = match self.shared {
            Some(_) => self.total_response_timeout(self.watch_wait),
            None => self.hedge_after + hedge.timeout,
        };
        self.watch_wait + self.hedge_after + hedge.timeout + 2 * Self::MIN_INTERVAL + next_response
    }

    /// Returns the age of the list beyond which changes may have taken effect without being received.
    pub fn stale_after(&self) -> Micros {
        EFFECTIVE_WITHIN + self.drain_grace
    }
}
