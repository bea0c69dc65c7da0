//! Graceful shutdown: after SIGTERM, clients are drained, the listener closes, and the requests that are
//! still open are aborted.

use super::attempt_table::InFlightAttempt;
use super::shutdown_timing::{abort_delay, CLOSE_LISTENER_AFTER, FINAL_WRITE_TIME, MAX_DELIVERY_TIME};
use super::Broker;
use crate::log::{self, OpenWork, ShutdownStep};
use wharfplank_routing::{self as routing, AttemptOutcome, Micros};
use wharfplank_transport::member_pool::AttemptStage;

/// The interval at which open connections and streams are checked after the listener has closed.
const EXIT_CHECK_INTERVAL: Micros = FINAL_WRITE_TIME / 4;

/// The progress of a shutdown.
pub(super) struct Shutdown {
    /// When SIGTERM was received. It is moved forward if the process was stalled past the time to abort
    /// requests.
    started_at: Micros,
    is_listener_closed: bool,
    pub(super) has_aborted_requests: bool,
}

impl Broker {
    /// Starts draining clients. A repeated SIGTERM has no effect.
    pub(super) fn begin_shutdown(&mut self) {
        if self.lifecycle.is_shutting_down() {
            return;
        }
        let started_at = self.clock.now();
        let shutdown = Shutdown { started_at, is_listener_closed: false, has_aborted_requests: false };
        self.lifecycle.shutdown = Some(shutdown);
        self.log_shutdown_step(ShutdownStep::Requested);
        self.recorder.record_shutdown();
        self.clients.begin_draining();
    }

    /// Executes the shutdown steps that are due.
    pub(super) fn advance_shutdown(&mut self, now: Micros) {
        let Some(Shutdown { started_at, is_listener_closed, has_aborted_requests }) = self.lifecycle.shutdown
        else {
            return;
        };
        if !is_listener_closed && now >= started_at + CLOSE_LISTENER_AFTER {
            self.close_listener();
        }
        if !has_aborted_requests && now >= started_at + self.abort_delay() {
            self.abort_open_requests();
        }
    }

    fn close_listener(&mut self) {
        if let Some(shutdown) = &mut self.lifecycle.shutdown {
            shutdown.is_listener_closed = true;
        }
        self.log_shutdown_step(ShutdownStep::ListenerClosed);
        self.negative_cache.shut_down();
        self.clients.stop_accepting();
        self.release_listener();
    }

    /// Answers all open requests. Attempts that were not completely written are cancelled first: they have
    /// not been executed, so their requests are rejected instead of failed.
    fn abort_open_requests(&mut self) {
        if let Some(shutdown) = &mut self.lifecycle.shutdown {
            shutdown.has_aborted_requests = true;
        }
        self.log_shutdown_step(ShutdownStep::RequestsAborted);
        self.notify_router(routing::Event::StopSending);
        let unsent = |attempt: &InFlightAttempt| {
            matches!(attempt.stage.get(), AttemptStage::Queued | AttemptStage::Writing)
        };
        for key in self.attempts.keys_where(unsent) {
            self.end_attempt(key, AttemptOutcome::NotSent);
        }
        self.report_finished_attempts();
        self.notify_router(routing::Event::Shutdown);
        let delay = self.abort_delay();
        if let Some(shutdown) = &mut self.lifecycle.shutdown {
            // If the process was stalled, before this step or during it, requests are aborted late: the final
            // responses still get their time to be written.
            shutdown.started_at = self.clock.now() - delay;
        }
    }

    fn log_shutdown_step(&self, step: ShutdownStep) {
        log::shutdown_step(step, self.open_work());
    }

    fn open_work(&self) -> OpenWork {
        OpenWork {
            requests: self.requests.len(),
            streams: self.streaming.len(),
            clients: self.clients.open_connections(),
        }
    }

    /// Logs the end of the event loop if it ends a shutdown.
    pub(super) fn log_event_loop_end(&self) {
        if self.lifecycle.is_shutting_down() {
            self.log_shutdown_step(ShutdownStep::EventLoopEnded);
        }
    }

    /// Returns the time of the next shutdown step, if a shutdown is in progress.
    pub(super) fn next_shutdown_step(&self, now: Micros) -> Option<Micros> {
        let shutdown = self.lifecycle.shutdown.as_ref()?;
        let exit_check = now + EXIT_CHECK_INTERVAL;
        Some(match (shutdown.is_listener_closed, shutdown.has_aborted_requests) {
            (false, _) => shutdown.started_at + CLOSE_LISTENER_AFTER,
            (true, false) => exit_check.min(shutdown.started_at + self.abort_delay()),
            // Responses that are still being streamed or delivered are waited for beyond the exit time.
            (true, true) => exit_check,
        })
    }

    /// Returns whether the process may exit: all clients have been answered and have closed, or its exit time
    /// has come and no response is being streamed or delivered, or the time for that has passed too.
    pub(super) fn can_exit(&self) -> bool {
        let Some(shutdown) = &self.lifecycle.shutdown else { return false };
        let is_drained = self.requests.is_empty() && self.clients.is_finished();
        if shutdown.is_listener_closed && is_drained {
            return true;
        }
        let exit_at = shutdown.started_at + self.abort_delay() + FINAL_WRITE_TIME;
        let now = self.clock.now();
        if now < exit_at {
            return false;
        }
        let is_delivering = !self.streaming.is_empty() || self.clients.is_delivering();
        !is_delivering || now >= exit_at + MAX_DELIVERY_TIME
    }

    fn abort_delay(&self) -> Micros {
        abort_delay(self.parameters.longest_deadline)
    }
}
