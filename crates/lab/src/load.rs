//! An open-loop load: each request is due at a time that does not depend on earlier answers, and its latency
//! counts from then, so that it includes the delay of a late sender (no coordinated omission).
//!
//! - [`Load`]: draws the requests and records how they end.
//! - `client`: how a client sends a request and retries a write.
//! - `connection`: a client's connection and the text of its requests.
//! - `record`: what clients saw.

mod client;
mod connection;
mod record;

pub use client::WriteRetries;
pub use record::{ClientOutcome, RequestRecord};

use crate::clock::{now, time_until};
use crate::member_model::{ClassMix, Micros, CLASSES};
use async_executor::LocalExecutor;
use async_io::Timer;
use connection::{statement, Connection};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The most requests in flight; further ones that are due are dropped and counted.
const MAX_IN_FLIGHT: usize = 2000;
/// The shortest time that a client waits for an answer, in µs, if its request was sent late.
const MIN_TIMEOUT: Micros = 1000;
/// The fraction of session reads that follow a write of their session.
const READ_YOUR_WRITES_FRACTION: f64 = 0.6;
/// The age of the session's write at the time of such a read, in milliseconds.
const SESSION_WRITE_AGE_MS: i64 = 400;
/// The number of requests between two reports of progress.
const PROGRESS_INTERVAL: u64 = 16;
/// Combined with the seed of the run, so that the load does not draw the same random numbers as the member
/// model.
const LOAD_SEED: u64 = 0x10ad;
/// The interval at which the end of the requests in flight is checked.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The longest latency that a histogram holds, in µs.
const MAX_LATENCY: u64 = 60_000_000;

/// The amount and the distribution of the load.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// The requests per second to all proxies together.
    pub requests_per_second: u64,
    /// The number of seconds for which requests are sent.
    pub seconds: u64,
    /// The number of groups that requests address, from 0 on.
    pub groups: usize,
    /// The fraction of the requests that each class has.
    pub mix: ClassMix,
    /// The seed of the random numbers.
    pub seed: u64,
}

/// The load of one run.
pub struct Load {
    executor: Rc<LocalExecutor<'static>>,
    /// The address of each proxy; none while it is down.
    pub proxy_addresses: Vec<Cell<Option<SocketAddr>>>,
    idle_connections: Vec<RefCell<Vec<Connection>>>,
    /// All finished requests.
    pub finished: RefCell<Vec<RequestRecord>>,
    in_flight: Cell<usize>,
    /// The time in µs for which a client still waits for the answer after the timeout. Such an answer has no
    /// value, but counts as received.
    pub grace: Cell<Micros>,
    /// The rule by which clients retry failed writes.
    pub write_retries: RefCell<WriteRetries>,
    /// The outcomes of the retries.
    pub retry_outcomes: RefCell<Vec<ClientOutcome>>,
    /// The number of requests that were due while too many were in flight.
    pub dropped_requests: Cell<u64>,
}

/// A request that is due.
struct DueRequest {
    number: u64,
    proxy: usize,
    class: usize,
    group: usize,
    min_position_ms: Option<i64>,
    due_at: Micros,
}

impl Load {
    /// Creates a load for a number of proxies whose addresses are not known yet.
    pub fn new(executor: &Rc<LocalExecutor<'static>>, proxies: usize) -> Rc<Load> {
        Rc::new(Load {
            executor: Rc::clone(executor),
            proxy_addresses: (0..proxies).map(|_| Cell::new(None)).collect(),
            idle_connections: (0..proxies).map(|_| RefCell::default()).collect(),
            finished: RefCell::default(),
            in_flight: Cell::new(0),
            grace: Cell::new(0),
            write_retries: RefCell::default(),
            retry_outcomes: RefCell::default(),
            dropped_requests: Cell::new(0),
        })
    }

    /// Sends the requests of a profile and waits until all have ended. `on_progress` receives the fraction
    /// that has been sent.
    pub async fn run(self: &Rc<Self>, profile: LoadProfile, on_progress: impl Fn(f64)) {
        let mut rng = SmallRng::seed_from_u64(profile.seed ^ LOAD_SEED);
        let total = profile.requests_per_second * profile.seconds;
        let mut due_at = now();
        for number in 0..total {
            // Poisson arrivals: bursts are part of the load.
            due_at +=
                (-(1.0 - rng.random::<f64>()).ln() * 1e6 / profile.requests_per_second as f64) as Micros;
            Timer::after(time_until(due_at)).await;
            let request = self.draw_request(&mut rng, number, due_at, &profile);
            self.start_request(request);
            if number % PROGRESS_INTERVAL == 0 {
                on_progress(number as f64 / total as f64);
            }
        }
        while self.in_flight.get() > 0 {
            Timer::after(DRAIN_CHECK_INTERVAL).await;
        }
        on_progress(1.0);
    }

    fn draw_request(
        &self,
        rng: &mut SmallRng,
        number: u64,
        due_at: Micros,
        profile: &LoadProfile,
    ) -> DueRequest {
        let class = profile.mix.draw(rng.random::<f64>());
        let proxy = rng.random_range(0..self.proxy_addresses.len());
        let group = rng.random_range(0..profile.groups);
        let follows_write =
            CLASSES[class].name == "session-read" && rng.random::<f64>() < READ_YOUR_WRITES_FRACTION;
        let min_position_ms = follows_write.then(|| due_at / 1000 - SESSION_WRITE_AGE_MS);
        DueRequest { number, proxy, class, group, min_position_ms, due_at }
    }

    fn start_request(self: &Rc<Self>, request: DueRequest) {
        if self.in_flight.get() >= MAX_IN_FLIGHT {
            self.dropped_requests.set(self.dropped_requests.get() + 1);
            return;
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let load = Rc::clone(self);
        let task = async move {
            load.run_request(request).await;
            load.in_flight.set(load.in_flight.get() - 1);
        };
        self.executor.spawn(task).detach();
    }

    async fn run_request(&self, request: DueRequest) {
        let DueRequest { number, proxy, class, group, min_position_ms, due_at } = request;
        let deadline = due_at + CLASSES[class].timeout + self.grace.get();
        let timeout = Duration::from_micros((deadline - now()).max(MIN_TIMEOUT) as u64);
        let text = statement(number, class, group, min_position_ms);
        let outcome = self.send_until(proxy, &text, Timer::after(timeout)).await;
        self.finished.borrow_mut().push(RequestRecord {
            proxy,
            class,
            group,
            min_position_ms,
            due_at,
            finished_at: now(),
            outcome,
        });
        if CLASSES[class].is_write() && outcome == ClientOutcome::Failed {
            self.retry_write(proxy, number, &text).await;
        }
    }

    /// Returns the latencies of the served requests of a class, from when they were due, in µs.
    pub fn latencies(&self, class: usize) -> Histogram<u64> {
        let mut latencies =
            Histogram::new_with_bounds(1, MAX_LATENCY, 3).expect("the bounds are valid constants");
        let finished = self.finished.borrow();
        for record in finished.iter().filter(|record| record.is(class, ClientOutcome::Served)) {
            latencies.saturating_record((record.finished_at - record.due_at).max(1) as u64);
        }
        latencies
    }

    /// Returns the number of requests of a class with this outcome.
    pub fn count(&self, class: usize, outcome: ClientOutcome) -> usize {
        self.finished.borrow().iter().filter(|record| record.is(class, outcome)).count()
    }
}
