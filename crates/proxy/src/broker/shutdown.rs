//! Graceful shutdown: after SIGTERM clients are drained, the listener closes, and what is still open then is given up.

use super::attempt_table::InFlightAttempt;
use super::shutdown_timing::{give_up_delay, CLOSE_LISTENER_AFTER, FINAL_WRITE_TIME};
use super::Broker;
use wharfplank_routing::{self as routing, AttemptOutcome, Micros};
use wharfplank_transport::member_pool::AttemptStage;

/// How often the end of the last connections and streams is checked once the listener is closed.
const EXIT_CHECK_INTERVAL: Micros = FINAL_WRITE_TIME / 4;

/// How far a shutdown has come.
pub(super) struct Shutdown {
    /// When SIGTERM was received. A process that was stalled past the time to give up counts as if it had been in time.
    began_at: Micros,
    is_listener_closed: bool,
    pub(super) has_given_up: bool,
}

impl Broker {
    /// Starts to drain clients. A second SIGTERM changes nothing.
    pub(super) fn begin_shutdown(&mut self) {
        if self.lifecycle.is_shutting_down() {
            return;
        }
        let began_at = self.clock.now();
        let shutdown = Shutdown { began_at, is_listener_closed: false, has_given_up: false };
        self.lifecycle.shutdown = Some(shutdown);
        self.recorder.record_shutdown();
        self.clients.begin_draining();
    }

    /// Takes the steps of the shutdown that are due.
    pub(super) fn advance_shutdown(&mut self, now: Micros) {
        let Some(Shutdown { began_at, is_listener_closed, has_given_up }) = self.lifecycle.shutdown else {
            return;
        };
        if !is_listener_closed && now >= began_at + CLOSE_LISTENER_AFTER {
            self.close_listener();
        }
        if !has_given_up && now >= began_at + self.give_up_delay() {
            self.give_up_open_requests(now);
        }
    }

    fn close_listener(&mut self) {
        if let Some(shutdown) = &mut self.lifecycle.shutdown {
            shutdown.is_listener_closed = true;
        }
        self.negative_cache.shut_down();
        self.clients.stop_accepting();
        self.release_listener();
    }

    /// Answers all open requests. Attempts that were not written completely are taken back first: they never ran, so
    /// their requests are rejected rather than failed.
    fn give_up_open_requests(&mut self, now: Micros) {
        let delay = self.give_up_delay();
        if let Some(shutdown) = &mut self.lifecycle.shutdown {
            shutdown.has_given_up = true;
            // A process that was stalled gives up late: the answers have their time to be written all the same.
            shutdown.began_at = now - delay;
        }
        self.notify_router(routing::Event::StopSending);
        let unsent = |attempt: &InFlightAttempt| {
            matches!(attempt.stage.get(), AttemptStage::Queued | AttemptStage::Writing)
        };
        for key in self.attempts.keys_where(unsent) {
            self.end_attempt(key, AttemptOutcome::NotSent);
        }
        self.report_finished_attempts();
        self.notify_router(routing::Event::Shutdown);
    }

    /// When the shutdown has its next step, if one is under way.
    pub(super) fn next_shutdown_step(&self, now: Micros) -> Option<Micros> {
        let shutdown = self.lifecycle.shutdown.as_ref()?;
        let exit_check = now + EXIT_CHECK_INTERVAL;
        Some(match (shutdown.is_listener_closed, shutdown.has_given_up) {
            (false, _) => shutdown.began_at + CLOSE_LISTENER_AFTER,
            (true, false) => exit_check.min(shutdown.began_at + self.give_up_delay()),
            // Answers that are still streamed are waited for past the end.
            (true, true) => exit_check,
        })
    }

    /// Whether the process may exit.
    pub(super) fn can_exit(&self) -> bool {
        let Some(shutdown) = &self.lifecycle.shutdown else { return false };
        let is_drained = self.requests.is_empty() && self.clients.is_finished();
        // Answers that are still streamed end by themselves, or with the process.
        let exit_at = shutdown.began_at + self.give_up_delay() + FINAL_WRITE_TIME;
        let is_overdue = self.clock.now() >= exit_at;
        (shutdown.is_listener_closed && is_drained) || (is_overdue && self.streaming.is_empty())
    }

    fn give_up_delay(&self) -> Micros {
        give_up_delay(self.parameters.longest_deadline)
    }
}
