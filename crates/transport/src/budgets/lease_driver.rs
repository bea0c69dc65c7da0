//! The lease driver of the serving thread: requests leases, applies the granted ones, and logs the usage.

use super::lease_worker::{AllocatorRequest, LeaseUpdate};
use super::{BudgetLogEvent, BudgetUsage, Budgets, State};
use crate::worker::{RingReceiver, RingSender};
use async_io::Timer;
use futures_lite::future;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_budget::{BudgetKind, LeaseGrant, Micros, MAX_BUDGETS};

/// The interval at which the usage is logged.
const USAGE_LOG_INTERVAL: Micros = 5_000_000;
/// The interval at which recorded spends are logged, if the usage is traced.
const TRACE_LOG_INTERVAL: Micros = 50_000;
/// The minimum wait for a timer.
const MIN_WAIT: Micros = 1_000;

/// Drives the leases of the serving thread.
pub(super) struct LeaseDriver<Log> {
    budgets: Rc<Budgets>,
    requests: RingSender<AllocatorRequest>,
    updates: RingReceiver<LeaseUpdate>,
    has_worker_ended: bool,
    next_usage_log_at: Micros,
    log: Log,
}

/// The reason why the driver continues after a wait.
enum Wakeup {
    Update(LeaseUpdate),
    WorkerEnded,
    TimerExpired,
}

impl<Log: Fn(BudgetLogEvent<'_>)> LeaseDriver<Log> {
    pub(super) fn new(
        budgets: Rc<Budgets>,
        requests: RingSender<AllocatorRequest>,
        updates: RingReceiver<LeaseUpdate>,
        log: Log,
    ) -> Self {
        LeaseDriver { budgets, requests, updates, has_worker_ended: false, next_usage_log_at: 0, log }
    }

    /// Runs until the future is dropped.
    pub(super) async fn run(mut self) {
        self.next_usage_log_at = self.budgets.now() + USAGE_LOG_INTERVAL;
        loop {
            let now = self.budgets.now();
            self.request_leases(now);
            self.log_trace();
            self.log_usage(now);
            match self.wait(now).await {
                Wakeup::Update(LeaseUpdate::Granted { allocator, grant }) => self.on_grant(allocator, &grant),
                Wakeup::Update(LeaseUpdate::Status(status)) => {
                    self.budgets.state.borrow_mut().worker_status = status;
                }
                // The worker has failed: leases expire, and only the static quota remains.
                Wakeup::WorkerEnded => {
                    self.has_worker_ended = true;
                    (self.log)(BudgetLogEvent::WorkerEnded);
                }
                Wakeup::TimerExpired => {}
            }
        }
    }

    fn request_leases(&mut self, now: Micros) {
        let due = self.budgets.state.borrow_mut().holder.due_requests(now);
        for (allocator, request) in due {
            self.requests.send(AllocatorRequest { allocator, request });
        }
    }

    fn on_grant(&self, allocator: usize, grant: &LeaseGrant) {
        let now = self.budgets.now();
        let State { holder, trace, .. } = &mut *self.budgets.state.borrow_mut();
        if !holder.on_grant(now, allocator, grant) {
            return;
        }
        if let Some(trace) = trace {
            trace.record_lease(now, allocator, holder.lease_expires_at(allocator), grant);
        }
    }

    async fn wait(&mut self, now: Micros) -> Wakeup {
        let wait = (self.next_due(now) - now).clamp(MIN_WAIT, USAGE_LOG_INTERVAL);
        let timer = async {
            Timer::after(Duration::from_micros(wait as u64)).await;
            Wakeup::TimerExpired
        };
        let has_worker_ended = self.has_worker_ended;
        let update = async {
            match self.updates.recv().await {
                Some(update) => Wakeup::Update(update),
                None if has_worker_ended => future::pending().await,
                None => Wakeup::WorkerEnded,
            }
        };
        future::or(update, timer).await
    }

    fn next_due(&self, now: Micros) -> Micros {
        let state = self.budgets.state.borrow();
        let due = state.holder.next_due().min(self.next_usage_log_at);
        if state.trace.is_some() {
            due.min(now + TRACE_LOG_INTERVAL)
        } else {
            due
        }
    }

    fn log_trace(&self) {
        if let Some(trace) = &mut self.budgets.state.borrow_mut().trace {
            trace.flush(&self.log);
        }
    }

    fn log_usage(&mut self, now: Micros) {
        if now < self.next_usage_log_at {
            return;
        }
        self.next_usage_log_at = now + USAGE_LOG_INTERVAL;
        let State { holder, worker_status, .. } = &*self.budgets.state.borrow();
        (self.log)(BudgetLogEvent::Status {
            reachable_allocators: holder.reachable_allocators(now),
            worker: *worker_status,
        });
        if holder.refused_registrations() > 0 {
            let refused = holder.refused_registrations();
            (self.log)(BudgetLogEvent::TableFull { refused, places: MAX_BUDGETS });
        }
        for kind in BudgetKind::ALL {
            if let Some(usage) = BudgetUsage::of(holder, now, kind) {
                (self.log)(BudgetLogEvent::Usage(kind, usage));
            }
        }
    }
}
