//! The driver of the discovery watch: makes the polls that [`EndpointTracker`] schedules, on one connection after the
//! other, hedges polls that stay silent, and reports what changed as events for the broker.

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

/// The delay after which a poll that the fleet's budget denied is tried again.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What the watch needs of the process.
#[derive(Clone)]
pub struct WatchContext {
    /// Runs the watch.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Takes the watch's events.
    pub events: Sender<ProxyEvent>,
    /// Logs the end of each connection.
    pub ends: ConnectionEndObserver,
    /// The clock of the tracker.
    pub now: Now,
    /// The fleet's budgets, which limit polls, if there are any.
    pub budgets: Option<Rc<Budgets>>,
}

/// A running watch on one discovery address at a time. It stops when it is dropped.
pub struct DiscoveryWatch {
    poller: Poller,
    /// Dropping the task closes the connections.
    _task: Task<()>,
}

#[derive(Clone)]
struct Poller {
    context: WatchContext,
    address: SocketAddr,
    /// Only the task borrows it while it runs, and never across an await.
    tracker: Rc<RefCell<EndpointTracker>>,
    /// The reason that the log gets for connections that are dropped in use.
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

    /// Watches the endpoint list at another address from now on.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address == self.poller.address {
            return;
        }
        self.poller.drop_reason.set(CloseReason::Moved);
        self.poller.tracker.borrow_mut().on_address_changed(self.poller.now());
        let drop_reason = Poller::new_drop_reason();
        // The assignment drops the former task, whatever it waits for, and its connections.
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

    /// Polls until nobody receives the events any more.
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
            let former_staleness = staleness;
            staleness = self.tracker.borrow().staleness(self.now());
            let changed_staleness = (staleness != former_staleness).then_some(staleness);
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

    /// Takes one poll from the fleet's budget; false where none is left.
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

    /// Runs `work`, and meanwhile expires the tracker's deadlines when they are due.
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
                // Where nobody receives it, the next report ends the watch.
                let _ = self.report(event, None).await;
            }
        }
    }

    fn delay_until(&self, at: Micros) -> Duration {
        Duration::from_micros((at - self.now()).max(0) as u64)
    }
}
