//! The discovery watch: sends the polls that [`EndpointTracker`] schedules, hedges polls that get no
//! response, and reports changes to the broker as events.

mod connection;
mod poll;

use super::budgets::Budgets;
use super::{with_deadline, ConnectionEndObserver, Now, ProxyEvent};
use async_channel::{SendError, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use connection::CloseReason;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_discovery::{EndpointTracker, Staleness, WatchEvent};
use wharfplank_routing::Micros;

/// The delay before a poll that the fleet-wide budget denied is tried again.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The services that the watch uses.
#[derive(Clone)]
pub struct WatchContext {
    /// The executor that runs the watch.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The channel to the broker.
    pub events: Sender<ProxyEvent>,
    /// Called for each connection that ended.
    pub connection_end_observer: ConnectionEndObserver,
    /// The clock used by the tracker.
    pub now: Now,
    /// The fleet-wide budgets, which limit polls, if configured.
    pub budgets: Option<Rc<Budgets>>,
}

/// A running watch of one discovery address at a time. Stops when dropped.
pub struct DiscoveryWatch {
    poller: Poller,
    /// Dropping the task closes the connections.
    _task: Task<()>,
}

#[derive(Clone)]
struct Poller {
    context: WatchContext,
    address: SocketAddr,
    /// Borrowed only by the task while it runs, and never across an await.
    tracker: Rc<RefCell<EndpointTracker>>,
    /// The reason that is logged for connections that are dropped while in use.
    drop_reason: Rc<Cell<CloseReason>>,
}

impl DiscoveryWatch {
    /// Starts watching the endpoint list at an address.
    pub fn start(context: WatchContext, tracker: EndpointTracker, address: SocketAddr) -> Self {
        let tracker = Rc::new(RefCell::new(tracker));
        Self::spawn(Poller { context, address, tracker, drop_reason: Poller::new_drop_reason() })
    }

    fn spawn(poller: Poller) -> Self {
        let _task = poller.context.executor.spawn(poller.clone().run());
        DiscoveryWatch { poller, _task }
    }

    /// Switches the watch to another address.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address == self.poller.address {
            return;
        }
        self.poller.drop_reason.set(CloseReason::Moved);
        self.poller.tracker.borrow_mut().on_address_changed(self.poller.now());
        let drop_reason = Poller::new_drop_reason();
        // The assignment drops the previous task, wherever it is suspended, and its connections.
        *self = Self::spawn(Poller { address, drop_reason, ..self.poller.clone() });
    }
}

impl Poller {
    fn new_drop_reason() -> Rc<Cell<CloseReason>> {
        Rc::new(Cell::new(CloseReason::Shutdown))
    }

    fn now(&self) -> Micros {
        (self.context.now)()
    }

    /// Polls until the receiver of the events is dropped.
    async fn run(self) {
        let mut idle_connection = None;
        let mut staleness = Staleness::Unconfirmed;
        loop {
            let request = self.tracker.borrow_mut().next_poll(self.now());
            self.wait_until(request.start_at).await;
            self.wait_for_budget().await;
            let result = self.with_deadlines(self.poll(idle_connection.take(), &request)).await;
            let event = match result {
                Ok(response) => {
                    idle_connection = response.connection;
                    self.tracker.borrow_mut().on_response(self.now(), response.list)
                }
                Err(_) => {
                    self.tracker.borrow_mut().on_failure(self.now());
                    WatchEvent::default()
                }
            };
            let previous_staleness = staleness;
            staleness = self.tracker.borrow().staleness(self.now());
            let changed_staleness = (staleness != previous_staleness).then_some(staleness);
            if event.is_empty() && changed_staleness.is_none() {
                continue;
            }
            if self.report(event, changed_staleness).await.is_err() {
                return;
            }
        }
    }

    async fn wait_until(&self, at: Micros) {
        let delay = self.delay_until(at);
        if !delay.is_zero() {
            self.with_deadlines(Timer::after(delay)).await;
        }
    }

    async fn wait_for_budget(&self) {
        while !self.try_spend_budget() {
            self.with_deadlines(Timer::after(BUDGET_RETRY_DELAY)).await;
        }
    }

    /// Spends one poll of the fleet-wide budget. Returns false if none is left.
    fn try_spend_budget(&self) -> bool {
        self.context.budgets.as_ref().is_none_or(|budgets| budgets.try_spend_discovery_poll())
    }

    async fn report(
        &self,
        event: WatchEvent,
        staleness: Option<Staleness>,
    ) -> Result<(), SendError<ProxyEvent>> {
        self.context.events.send(ProxyEvent::EndpointsChanged { event, staleness }).await
    }

    /// Runs `work` while expiring the tracker's deadlines when they are due.
    async fn with_deadlines<T>(&self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        loop {
            let next_deadline = self.tracker.borrow().next_deadline();
            let Some(deadline) = next_deadline else { return work.await };
            let expires_at = Instant::now() + self.delay_until(deadline);
            if let Some(output) = with_deadline(expires_at, work.as_mut()).await {
                return output;
            }
            let event = self.tracker.borrow_mut().expire_deadlines(self.now());
            if !event.is_empty() {
                // If the receiver is gone, the next report ends the watch.
                let _ = self.report(event, None).await;
            }
        }
    }

    fn delay_until(&self, at: Micros) -> Duration {
        Duration::from_micros((at - self.now()).max(0) as u64)
    }
}
