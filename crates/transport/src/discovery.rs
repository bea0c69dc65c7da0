//! The watch on discovery: carries out the calls that `membership` asks for, on one connection after the other, and
//! a second one beside a call that may hang.

mod call;
mod connection;

use super::budgets::Budgets;
use super::{with_deadline, ConnectionEndObserver, Now, ProxyEvent};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_discovery::{EndpointTracker, Staleness, WatchEvent};

/// A call that the fleet's budget does not allow is tried again so much later.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// The watch on one address at a time.
pub struct Watch {
    parts: Parts,
    /// Dropping it closes the connections.
    _task: Task<()>,
}

#[derive(Clone)]
struct Parts {
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<ProxyEvent>,
    ends: ConnectionEndObserver,
    now: Now,
    /// Only the task borrows it, and never across a wait.
    tracker: Rc<RefCell<EndpointTracker>>,
    address: SocketAddr,
    budgets: Option<Rc<Budgets>>,
    /// The reason of connections that are dropped in use.
    dropped: Rc<Cell<&'static str>>,
}

impl Watch {
    /// Follows the list at an address from now on.
    pub fn start(
        executor: Rc<LocalExecutor<'static>>,
        events: Sender<ProxyEvent>,
        ends: ConnectionEndObserver,
        now: Now,
        tracker: EndpointTracker,
        address: SocketAddr,
        budgets: Option<Rc<Budgets>>,
    ) -> Self {
        let (tracker, dropped) = (Rc::new(RefCell::new(tracker)), Rc::new(Cell::new("shutdown")));
        Self::follow(Parts { executor, events, ends, now, tracker, address, budgets, dropped })
    }

    fn follow(parts: Parts) -> Self {
        let _task = parts.executor.spawn(parts.clone().watch());
        Watch { parts, _task }
    }

    /// Follows the list at another address. Its first call asks for the whole list.
    pub fn move_to(&mut self, address: SocketAddr) {
        if address != self.parts.address {
            self.parts.dropped.set("moved");
            self.parts.tracker.borrow_mut().on_address_changed((self.parts.now)());
            let dropped = Rc::new(Cell::new("shutdown"));
            // The old task ends with the assignment, whatever it waits for, and so do its connections.
            *self = Self::follow(Parts { address, dropped, ..self.parts.clone() });
        }
    }
}

impl Parts {
    /// Follows the list for good and tells of each answer that says something.
    async fn watch(self) {
        let mut kept = None;
        let mut age = Staleness::Unconfirmed;
        loop {
            let call = self.tracker.borrow_mut().next_poll((self.now)());
            let pause = Duration::from_micros((call.start_at - (self.now)()).max(0) as u64);
            if !pause.is_zero() {
                self.attended(Timer::after(pause)).await;
            }
            while !self.may_call() {
                self.attended(Timer::after(ASK_AGAIN)).await;
            }
            let called = self.attended(self.call(kept.take(), &call)).await;
            let news = match called {
                Some((list, connection)) => {
                    kept = connection;
                    self.tracker.borrow_mut().on_response((self.now)(), list)
                }
                None => {
                    self.tracker.borrow_mut().on_failure((self.now)());
                    WatchEvent::default()
                }
            };
            let before = std::mem::replace(&mut age, self.tracker.borrow().staleness((self.now)()));
            let aged = (age != before).then_some(age);
            if (news != WatchEvent::default() || aged.is_some()) && !self.tell(news, aged).await {
                return;
            }
        }
    }

    fn may_call(&self) -> bool {
        self.budgets.as_ref().is_none_or(|budgets| budgets.discovery())
    }

    /// Whether anybody still listens.
    async fn tell(&self, news: WatchEvent, age: Option<Staleness>) -> bool {
        self.events.send(ProxyEvent::EndpointsChanged(news, age)).await.is_ok()
    }

    /// Does work, and meanwhile tells what lapses.
    async fn attended<T>(&self, work: impl std::future::Future<Output = T>) -> T {
        let mut work = pin!(work);
        loop {
            let due = self.tracker.borrow().next_deadline();
            let Some(due) = due else { return work.await };
            let pause = Duration::from_micros((due - (self.now)()).max(0) as u64);
            if let Some(done) = with_deadline(Instant::now() + pause, work.as_mut()).await {
                return done;
            }
            let news = self.tracker.borrow_mut().expire_deadlines((self.now)());
            if news != WatchEvent::default() {
                self.tell(news, None).await;
            }
        }
    }
}
