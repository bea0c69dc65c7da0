//! What a connection waits for, and its time limits.

use super::input::ReadMode;
use super::{ClientConnection, CloseReason};
use crate::client_listener::{ClientListener, DrainPhase};
use crate::response_stream::StreamPiece;
use crate::socket::peek;
use crate::with_deadline;
use event_listener::EventListener;
use futures_lite::future;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// How long a client may take from the accept until its first command: within 3 s of connecting it is to be told what
/// is wrong.
const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(2_300);
/// How long a client may take from the first byte of a message until it is complete.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_300);
/// How long a connection may be idle between requests. Clients hold a limited number of connections, and many send one
/// request and keep theirs for good: those would leave none for the others.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_100);

/// Why a wait ended.
enum Wake {
    /// So many bytes were read; 0 if the client disconnected.
    Read(usize),
    /// A piece of the streamed response came.
    Piece(StreamPiece),
    /// The state of the connection or of the listener changed, or the connection is to close.
    Notified,
    /// The time limit is over.
    TimedOut,
}

/// What a wait depends on, as of its beginning.
struct WaitPlan {
    /// Whether any command waits for its response.
    has_open_commands: bool,
    /// Why the connection closes unless something has arrived.
    close: Option<CloseReason>,
    /// When the time limit is over.
    deadline: Option<Instant>,
    /// The reason for the end of the connection at the time limit.
    timeout_reason: CloseReason,
}

impl ClientConnection {
    /// Waits until something was read, a response is ready or a time limit is over.
    ///
    /// # Errors
    ///
    /// Returns why the connection ends.
    pub(super) async fn wait(
        &mut self,
        listener: &ClientListener,
        woken: EventListener,
    ) -> Result<(), CloseReason> {
        let plan = self.plan_wait(listener);
        if self.cannot_become_ready(listener) && self.close_if_quiet() {
            return Err(CloseReason::Shutdown);
        }
        let wake = self.wait_for_wake(&plan, woken).await;
        self.state.idle_since.set(None);
        match wake {
            Ok(Wake::Read(0)) if plan.has_open_commands => Err(CloseReason::ClientGone),
            Ok(Wake::Read(0)) => Err(CloseReason::ClientClosed),
            Ok(Wake::Read(_)) => Ok(()),
            Ok(Wake::Piece(piece)) => {
                if let Some(active) = &mut self.active_stream {
                    active.next_piece = Some(piece);
                }
                Ok(())
            }
            Ok(Wake::Notified) => self.on_notified(&plan),
            Ok(Wake::TimedOut) => self.on_timeout(plan.timeout_reason),
            Err(CloseReason::OutOfMemory) => {
                self.end_after_responses(CloseReason::OutOfMemory);
                Ok(())
            }
            Err(reason) => Err(reason),
        }
    }

    /// Decides what to wait for, and publishes since when the connection has been idle.
    fn plan_wait(&mut self, listener: &ClientListener) -> WaitPlan {
        let now = Instant::now();
        let has_open_commands = !self.response_writer.is_empty();
        let idle = self.started && self.session.buffer.unread().is_empty() && !has_open_commands;
        self.idle_since = if idle { self.idle_since.or(Some(now)) } else { None };
        let before_first_command = !self.state.has_sent_command.get();
        // A connection whose message is not complete yet holds a place all the same; until its first command it may
        // have to give it up.
        self.state.idle_since.set(if before_first_command {
            Some(self.accepted_at)
        } else {
            self.idle_since
        });
        let idle_deadline =
            (idle && !before_first_command).then(|| self.idle_since.unwrap_or(now) + IDLE_TIMEOUT);
        let first_deadline = before_first_command.then_some(self.accepted_at + FIRST_COMMAND_TIMEOUT);
        let message_deadline = self.message_begun_at.map(|at| at + MESSAGE_TIMEOUT);
        WaitPlan {
            has_open_commands,
            close: self.pending_close(listener, idle),
            deadline: [message_deadline, first_deadline, idle_deadline].into_iter().flatten().min(),
            timeout_reason: match (self.started, idle_deadline) {
                (false, _) => CloseReason::StartupTimeout,
                (true, None) => CloseReason::RequestTimeout,
                (true, Some(_)) => CloseReason::IdleTimeout,
            },
        }
    }

    /// Why the connection closes unless something has arrived.
    fn pending_close(&self, listener: &ClientListener, idle: bool) -> Option<CloseReason> {
        let shuts_down = match listener.drain_phase.get() {
            DrainPhase::Serving => false,
            DrainPhase::ClosingIdle => idle && self.state.closes_while_draining.get(),
            DrainPhase::Closed => self.response_writer.is_empty(),
        };
        if shuts_down {
            return Some(CloseReason::Shutdown);
        }
        let evictable = idle || !self.state.has_sent_command.get();
        (evictable && self.state.evicted.get()).then_some(CloseReason::Evicted)
    }

    /// Whether an empty query at the front waits for the process to be ready, which it will not be.
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
        let pieces = self.active_stream.as_ref().map(|active| active.pieces());
        let piece = async {
            match pieces {
                // If the member's side was dropped, what there was has been written: the next look finds the end.
                Some(pieces) => Ok(pieces.recv().await.map_or(Wake::Notified, Wake::Piece)),
                None => future::pending().await,
            }
        };
        let mode = if plan.has_open_commands { ReadMode::Ahead } else { ReadMode::Message };
        let read = async { self.read_available(mode).await.map(Wake::Read) };
        // What has already arrived is read before the connection closes.
        let work = future::or(read, future::or(piece, notified));
        match plan.deadline {
            Some(deadline) => with_deadline(deadline, work).await.unwrap_or(Ok(Wake::TimedOut)),
            None => work.await,
        }
    }

    fn on_notified(&self, plan: &WaitPlan) -> Result<(), CloseReason> {
        match plan.close {
            Some(reason) if plan.has_open_commands || self.close_if_quiet() => Err(reason),
            _ => Ok(()),
        }
    }

    fn on_timeout(&self, reason: CloseReason) -> Result<(), CloseReason> {
        if reason != CloseReason::IdleTimeout {
            self.end_after_responses(reason);
            return Ok(());
        }
        if self.close_if_quiet() {
            Err(CloseReason::IdleTimeout)
        } else {
            Ok(())
        }
    }

    /// Accepts no further command, and ends the connection after the responses that are due.
    fn end_after_responses(&self, reason: CloseReason) {
        self.response_writer.end(reason, reason.violation());
    }

    /// Closes a connection on which nothing is open, unless something has just arrived. A client that sends many
    /// requests at once loses all but the first if its write crosses the close, and a process that must share its core
    /// may be suspended between any two steps: so nothing lies between this look and the close.
    fn close_if_quiet(&self) -> bool {
        let stream = self.stream.get_ref();
        peek::is_quiet(stream) && stream.shutdown(Shutdown::Both).is_ok()
    }
}
