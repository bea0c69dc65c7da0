//! Waiting for the next event of a connection, and its time limits.

use super::delivery::DELIVERY_CHECK_INTERVAL;
use super::input::ReadMode;
use super::{ClientConnection, CloseReason};
use crate::client_listener::{ClientListener, DrainPhase};
use crate::response_stream::StreamChunk;
use crate::socket::peek;
use crate::with_deadline;
use event_listener::EventListener;
use futures_lite::future;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// The maximum time from accepting a connection to its first command. Clients must be told what is wrong
/// within 3 s of connecting.
const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(2_300);
/// The maximum time from the first byte of a message until it is complete.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_300);
/// The maximum idle time between requests. The number of client connections is limited, and many clients send
/// one request and never close their connection, which would leave none for other clients.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_100);

/// The event that ended a wait.
enum Wake {
    /// The number of bytes read; 0 if the client disconnected.
    Read(usize),
    /// A chunk of the streamed response was received.
    Chunk(StreamChunk),
    /// The state of the connection or of the listener changed, or the connection is to close.
    Notified,
    /// The time limit has passed.
    TimedOut,
}

/// The conditions of a wait, determined when it starts.
struct WaitPlan {
    /// Whether any command is waiting for its response.
    has_open_commands: bool,
    /// The reason to close the connection, unless input has arrived.
    close: Option<CloseReason>,
    /// Whether the last output is still being delivered, known only if the connection is to close.
    is_delivering: bool,
    /// When to check again whether the connection can close, if it waits for the delivery.
    recheck_at: Option<Instant>,
    /// The time limit of the wait.
    deadline: Option<Instant>,
    /// The close reason if the time limit passes.
    timeout_reason: CloseReason,
}

impl ClientConnection {
    /// Waits until input was read, a response is ready or a time limit has passed.
    ///
    /// # Errors
    ///
    /// Returns the reason why the connection ends.
    pub(super) async fn wait(
        &mut self,
        listener: &ClientListener,
        woken: EventListener,
    ) -> Result<(), CloseReason> {
        let plan = self.plan_wait(listener);
        let wake = self.wait_for_wake(&plan, woken).await;
        self.state.idle_since.set(None);
        match wake {
            Ok(Wake::Read(0)) if plan.has_open_commands => Err(CloseReason::ClientGone),
            Ok(Wake::Read(0)) => Err(CloseReason::ClientClosed),
            Ok(Wake::Read(_)) => Ok(()),
            Ok(Wake::Chunk(chunk)) => {
                if let Some(active) = &mut self.active_stream {
                    active.next_chunk = Some(chunk);
                }
                Ok(())
            }
            Ok(Wake::Notified) => self.on_notified(&plan),
            Ok(Wake::TimedOut) if plan.deadline.is_none_or(|deadline| Instant::now() < deadline) => Ok(()),
            Ok(Wake::TimedOut) => self.on_timeout(listener, plan.timeout_reason),
            Err(CloseReason::OutOfMemory) => {
                self.end_after_responses(CloseReason::OutOfMemory);
                Ok(())
            }
            Err(reason) => Err(reason),
        }
    }

    /// Determines what to wait for, and publishes the start of the connection's idle time for eviction.
    fn plan_wait(&mut self, listener: &ClientListener) -> WaitPlan {
        let now = Instant::now();
        let has_open_commands = !self.response_writer.is_empty();
        let idle = self.started && self.session.buffer.unread().is_empty() && !has_open_commands;
        self.idle_since = if idle { self.idle_since.or(Some(now)) } else { None };
        let before_first_command = !self.state.has_sent_command.get();
        // A connection counts towards the limit even if its first message is incomplete. Until its first
        // command it can be evicted at any time.
        self.state.idle_since.set(if before_first_command {
            Some(self.accepted_at)
        } else {
            self.idle_since
        });
        let idle_deadline =
            (idle && !before_first_command).then(|| self.idle_since.unwrap_or(now) + IDLE_TIMEOUT);
        let first_deadline = before_first_command.then_some(self.accepted_at + FIRST_COMMAND_TIMEOUT);
        let message_deadline = self.message_started_at.map(|at| at + MESSAGE_TIMEOUT);
        let close = self.pending_close(listener, idle);
        let is_delivering = close.is_some() && self.is_delivering(listener);
        // Commands are accepted until the delivery ends, unless the process would not live to answer them.
        let postpones_close = is_delivering && listener.drain_phase.get() != DrainPhase::Closed;
        WaitPlan {
            has_open_commands,
            close: close.filter(|_| !postpones_close),
            is_delivering,
            recheck_at: postpones_close.then(|| now + DELIVERY_CHECK_INTERVAL),
            deadline: [message_deadline, first_deadline, idle_deadline].into_iter().flatten().min(),
            timeout_reason: match (self.started, idle_deadline) {
                (false, _) => CloseReason::StartupTimeout,
                (true, None) => CloseReason::RequestTimeout,
                (true, Some(_)) => CloseReason::IdleTimeout,
            },
        }
    }

    /// Returns the reason to close the connection, if any, unless input has arrived.
    fn pending_close(&self, listener: &ClientListener, idle: bool) -> Option<CloseReason> {
        let shuts_down = match listener.drain_phase.get() {
            DrainPhase::Serving => false,
            DrainPhase::ClosingIdle => idle && self.state.closes_while_draining.get(),
            DrainPhase::Closed => self.response_writer.is_empty(),
        };
        if shuts_down || self.cannot_become_ready(listener) {
            return Some(CloseReason::Shutdown);
        }
        let evictable = idle || !self.state.has_sent_command.get();
        (evictable && self.state.evicted.get()).then_some(CloseReason::Evicted)
    }

    /// Returns whether the first command is an empty query that waits for a process that will not become
    /// ready.
    fn cannot_become_ready(&self, listener: &ClientListener) -> bool {
        listener.drain_phase.get() != DrainPhase::Serving
            && self.response_writer.awaits_readiness()
            && !self.answers_empty_queries(listener)
    }

    async fn wait_for_wake(&mut self, plan: &WaitPlan, woken: EventListener) -> Result<Wake, CloseReason> {
        let notified = async {
            if plan.close.is_none() {
                woken.await;
            }
            Ok(Wake::Notified)
        };
        let chunks = self.active_stream.as_ref().map(|active| active.chunks());
        let chunk = async {
            match chunks {
                // If the sender was dropped, all queued chunks were written, and the next advance detects the
                // end.
                Some(chunks) => Ok(chunks.recv().await.map_or(Wake::Notified, Wake::Chunk)),
                None => future::pending().await,
            }
        };
        let mode = if plan.has_open_commands { ReadMode::Ahead } else { ReadMode::Message };
        let read = async { self.read_available(mode).await.map(Wake::Read) };
        // Reading comes first, so that input that has already arrived is not lost when the connection closes.
        let work = future::or(read, future::or(chunk, notified));
        match plan.deadline.into_iter().chain(plan.recheck_at).min() {
            Some(deadline) => with_deadline(deadline, work).await.unwrap_or(Ok(Wake::TimedOut)),
            None => work.await,
        }
    }

    fn on_notified(&self, plan: &WaitPlan) -> Result<(), CloseReason> {
        match plan.close {
            Some(reason) if self.close_if_idle(plan.is_delivering) => Err(reason),
            _ => Ok(()),
        }
    }

    fn on_timeout(&mut self, listener: &ClientListener, reason: CloseReason) -> Result<(), CloseReason> {
        if reason != CloseReason::IdleTimeout {
            self.end_after_responses(reason);
            return Ok(());
        }
        if self.is_delivering(listener) {
            // The client is still reading the last response.
            self.idle_since = Some(Instant::now());
            return Ok(());
        }
        if self.close_if_idle(false) {
            Err(CloseReason::IdleTimeout)
        } else {
            Ok(())
        }
    }

    /// Stops accepting commands and closes the connection after the pending responses.
    fn end_after_responses(&self, reason: CloseReason) {
        self.response_writer.end(reason, reason.violation());
    }

    /// Closes an idle connection unless input has just arrived. A client that pipelines requests loses all
    /// but the first if its write crosses the close, and the process may be suspended by the scheduler at any
    /// point, so the shutdown directly follows the check. While output is being delivered only the sending
    /// side is shut down, since input to a closed connection would discard that output.
    fn close_if_idle(&self, is_delivering: bool) -> bool {
        let stream = self.stream.get_ref();
        let direction = if is_delivering { Shutdown::Write } else { Shutdown::Both };
        peek::is_idle(stream) && stream.shutdown(direction).is_ok()
    }
}
