//! The time limits of polls: waits, timeouts, hedging and backoff.

use wharfplank_routing::Micros;

/// A change takes effect for a proxy at the latest this long after discovery had it and could be reached, whether the
/// proxy received it or not (the platform's protocol, 'Figures').
pub const EFFECTIVE_WITHIN: Micros = 6_000_000;

/// All limits are multiples of a unit; this many units make up [`EFFECTIVE_WITHIN`] and the drain grace together.
const UNITS: Micros = 14;
/// The longest drain grace; a longer one counts as this.
const MAX_DRAIN_GRACE: Micros = 3_600_000_000;
/// Backoffs stop doubling after this many steps.
const MAX_DOUBLINGS: u32 = 10;

/// The time limits of polls. All spans are microseconds.
///
/// A change takes effect [`EFFECTIVE_WITHIN`] after discovery had it and could be reached, whatever polls met before
/// (refused, reset, silent, timed out), and requests to a draining endpoint must end [`PollSchedule::drain_grace`]
/// later. A fourteenth of both together is the unit, 0.5 s on the platform, from which all limits are made:
///
/// | units | a local agent that is pushed the list | a shared service that is polled |
/// | --- | --- | --- |
/// | wait of a watch | 4 | 4 |
/// | connect, and response beyond the wait | 1, and a quarter of `drain_grace` at most | 1 |
/// | time in the service's queue | none | 5, for the full list too |
/// | start of the hedged poll beside a watch | half a response timeout late | 4.5 |
/// | timeout of the hedged poll | a connect and a response | 8 |
/// | start of the poll after a failed one started | a backoff of an eighth of `drain_grace` | 8.5 at most |
/// | response to that poll | at once | 5 later at most |
///
/// [`PollSchedule::max_recovery`] adds them up: 13.5 units of 14 for a shared service, however late the response. A
/// watch that falls silent and is refused twice when opened anew (at 5 units, and after a backoff of 3.5) comes to the
/// same. A local agent is on the proxy's own machine, and what it received when discovery recovered takes effect at
/// once: a poll that hung and the backoff after it have to fit into `drain_grace` alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSchedule {
    /// Requests to an endpoint must end this long after it is notified to drain or removed.
    pub drain_grace: Micros,
    /// The long-poll wait that a watch requests.
    pub watch_wait: Micros,
    /// The limit for opening a connection.
    pub connect_timeout: Micros,
    /// The limit for a response beyond the wait that was requested.
    pub response_timeout: Micros,
    /// How late a response may be before a hedged poll is made.
    pub hedge_after: Micros,
    /// Set where discovery is one service that every proxy polls.
    pub shared: Option<SharedDiscovery>,
}

/// Discovery as one service of fixed capacity that all proxies poll.
///
/// It refuses polls while its queue is full and lets others time out, so proxies that start together, or retry at a
/// fixed interval, can keep it from answering any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedDiscovery {
    /// The seed of this proxy's jitter.
    pub seed: u64,
    /// The platform's interval between polls (its `Rules.AskEveryUs`).
    pub poll_interval: Micros,
    /// How many proxies poll.
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
    /// The shortest interval between two polls, however they end: an agent that answers a watch at once must not be
    /// polled in a busy loop. The service continues a watch if the next poll comes within 200 ms.
    pub const MIN_INTERVAL: Micros = 20_000;
    /// The longest backoff after empty responses that come at once: still within those 200 ms.
    pub const MAX_IDLE_BACKOFF: Micros = 150_000;
    /// The shortest timeout for a connect or a response: the proxy itself may stall for a while.
    pub const MIN_TIMEOUT: Micros = 100_000;
    /// The longest backoff after failed polls of a local agent.
    pub const MAX_FAILURE_BACKOFF: Micros = 1_000_000;
    /// Polls of a shared service are spread over this much time for each proxy, as far as the limits allow.
    pub const SPREAD_PER_PROXY: Micros = 25_000;
    /// A small fleet requests the full list from a shared service again after this many failures in a row.
    pub const FULL_LIST_AFTER_SMALL_FLEET: u32 = 4;
    /// A large fleet does so after this many: each line of the full list is work for the service.
    pub const FULL_LIST_AFTER_LARGE_FLEET: u32 = 16;
    /// Full-list polls that the proxies of a large fleet make without having been notified of a change are spread over
    /// this much time for each proxy.
    pub const FULL_LIST_SPREAD_PER_PROXY: Micros = 400_000;

    /// The limits for a local agent, where requests must end `drain_grace` after a drain notification (0 to 1 h; more
    /// counts as 1 h).
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

    /// The limits for one service of fixed capacity that every proxy polls.
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

    /// The timeout from the start of a poll that requests this wait. A shared service queues polls, those for the full
    /// list as well: abandoned sooner, they would have cost it their work for nothing.
    pub fn total_response_timeout(&self, wait: Micros) -> Micros {
        self.response_timeout + if self.shared.is_some() { self.watch_wait } else { wait }
    }

    /// The limits of the hedged poll beside a watch. A shared service is asked for changes once more, and may queue the
    /// poll; a local agent is asked for the full list.
    pub fn hedge_limits(&self) -> HedgeLimits {
        match self.shared {
            Some(_) => HedgeLimits { wait: self.unit() * 3, timeout: self.unit() * 7 / 2 },
            None => HedgeLimits { wait: 0, timeout: self.connect_timeout + self.response_timeout },
        }
    }

    /// The limit for a poll while bytes of its response keep arriving.
    pub fn total_timeout(&self) -> Micros {
        self.unit() * 8
    }

    /// For a shared service, the longest time from the start of a failed poll to the start of the next one.
    pub fn max_retry_interval(&self) -> Micros {
        self.unit() * 17 / 2
    }

    /// The first poll of a shared service, at the start or at a new address, is made within this span.
    pub fn initial_spread(&self, shared: &SharedDiscovery) -> Micros {
        let spread = Micros::from(shared.proxies) * Self::SPREAD_PER_PROXY;
        spread.min(shared.poll_interval / 4).min(self.unit() * 5).max(1)
    }

    /// The longest backoff after this many failures in a row of polls of a shared service: the spread of all proxies,
    /// doubled each time, as far as the limits allow. A silent watch may precede the first failure.
    pub fn max_shared_backoff(&self, shared: &SharedDiscovery, failures: u32) -> Micros {
        let limit = if failures <= 1 { self.unit() * 7 / 2 } else { self.max_retry_interval() };
        let spread = (Micros::from(shared.proxies) * Self::SPREAD_PER_PROXY).max(Self::MIN_TIMEOUT);
        let doubled = spread << failures.saturating_sub(1).min(MAX_DOUBLINGS);
        doubled.min(shared.poll_interval.max(Self::MIN_TIMEOUT)).min(limit)
    }

    /// The backoff after this many failures in a row (at least one) of polls of a local agent.
    pub fn local_backoff(&self, failures: u32) -> Micros {
        let doubled = Self::MIN_INTERVAL << (failures - 1).min(MAX_DOUBLINGS);
        doubled.min(self.max_local_backoff())
    }

    /// The backoff after this many empty responses in a row that came at once.
    pub fn idle_backoff(&self, idle_responses: u32) -> Micros {
        (Self::MIN_INTERVAL << idle_responses.min(MAX_DOUBLINGS)).min(Self::MAX_IDLE_BACKOFF)
    }

    /// Whether so few proxies share discovery that all may request the full list within the time of one poll.
    pub fn is_small_fleet(&self, shared: &SharedDiscovery) -> bool {
        let mean_spread = Micros::from(shared.proxies) * Self::FULL_LIST_SPREAD_PER_PROXY / 2;
        mean_spread <= self.total_response_timeout(self.watch_wait)
    }

    /// After this many failures in a row the full list is requested from a shared service.
    pub fn full_list_after(&self, shared: &SharedDiscovery) -> u32 {
        if self.is_small_fleet(shared) {
            Self::FULL_LIST_AFTER_SMALL_FLEET
        } else {
            Self::FULL_LIST_AFTER_LARGE_FLEET
        }
    }

    /// The longest backoff after failed polls of a local agent. What the agent received when discovery recovered takes
    /// effect at once, so a poll that hung until then and this backoff must fit into the drain grace.
    pub fn max_local_backoff(&self) -> Micros {
        (self.drain_grace / 8).clamp(Self::MIN_INTERVAL, Self::MAX_FAILURE_BACKOFF)
    }

    /// The longest time from the moment from which discovery can be reached to its response, whatever polls met before:
    /// one that started just before and failed, and the next one. A local agent answers at once; a shared service may
    /// queue the poll. [`PollSchedule::allowed_recovery`] is never less for a drain grace of 0.4 s and more.
    pub fn max_recovery(&self) -> Micros {
        match self.shared {
            Some(_) => self.max_retry_interval() + self.total_response_timeout(self.watch_wait),
            None => {
                self.hedge_after + self.connect_timeout + self.response_timeout + self.max_local_backoff()
            }
        }
    }

    /// The limit of [`PollSchedule::max_recovery`].
    pub fn allowed_recovery(&self) -> Micros {
        match self.shared {
            Some(_) => EFFECTIVE_WITHIN + self.drain_grace.min(EFFECTIVE_WITHIN),
            None => self.drain_grace,
        }
    }

    /// The longest time from the start of a watch that falls silent to the response to the second poll after it.
    pub fn max_silent_watch(&self) -> Micros {
        let hedge = self.hedge_limits();
        let next_response = match self.shared {
            Some(_) => self.total_response_timeout(self.watch_wait),
            None => self.hedge_after + hedge.timeout,
        };
        self.watch_wait + self.hedge_after + hedge.timeout + 2 * Self::MIN_INTERVAL + next_response
    }

    /// Past this age of the list, changes may have taken effect unseen.
    pub fn stale_after(&self) -> Micros {
        EFFECTIVE_WITHIN + self.drain_grace
    }
}
