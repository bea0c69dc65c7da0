//! One client connection: it reads commands, hands their requests to the broker at once, and writes the responses in
//! the order of the commands.
//!
//! - `commands`: from commands to requests.
//! - `input` and `arrival_times`: what is read, and when.
//! - `output` and `streaming`: what is written, in whole responses and in streamed ones.
//! - `wait`: what a connection waits for in between, and the time limits.
//! - [`ResponseWriter`]: the responses of one connection, between the broker and the connection.

mod arrival_times;
mod cancel_keys;
mod close_reason;
mod commands;
mod input;
mod output;
mod response_writer;
mod streaming;
mod wait;

pub(crate) use cancel_keys::CancelKeys;
pub(crate) use close_reason::CloseReason;
pub use response_writer::ResponseWriter;

use crate::client_listener::{ClientListener, ConnectionState};
use crate::socket::stream::TcpConnection;
use crate::ProxyEvent;
use arrival_times::ArrivalTimes;
use std::rc::Rc;
use std::time::Instant;
use streaming::ActiveStream;
use wharfplank_protocol::client_session::ClientSession;

/// The connection of one client.
pub(crate) struct ClientConnection {
    /// Shared with its own writes, during which it is read all the same.
    stream: Rc<TcpConnection>,
    session: ClientSession,
    state: Rc<ConnectionState>,
    response_writer: Rc<ResponseWriter>,
    accepted_at: Instant,
    /// Whether the startup is complete.
    started: bool,
    requests: u64,
    /// Since when a message has been incomplete.
    message_begun_at: Option<Instant>,
    /// Since when nothing is open and nothing has been read.
    idle_since: Option<Instant>,
    arrival_times: ArrivalTimes,
    /// Bytes that were read and discarded behind the last command that is accepted.
    discarded: usize,
    /// The streamed response whose turn it is.
    active_stream: Option<ActiveStream>,
}

impl ClientConnection {
    /// Wraps a stream that was just accepted.
    pub(crate) fn new(stream: TcpConnection, state: Rc<ConnectionState>, accepted_at: Instant) -> Self {
        let stream = Rc::new(stream);
        state.response_writer.attach_socket(&stream);
        ClientConnection {
            stream,
            session: ClientSession::new(state.cancel_key),
            response_writer: Rc::clone(&state.response_writer),
            state,
            accepted_at,
            started: false,
            requests: 0,
            message_begun_at: None,
            idle_since: None,
            arrival_times: ArrivalTimes::default(),
            discarded: 0,
            active_stream: None,
        }
    }

    /// The number of requests that the connection carried.
    pub(crate) fn requests(&self) -> u64 {
        self.requests
    }

    /// Serves the connection to its end, and returns why it ended. Requests that are open then are abandoned.
    pub(crate) async fn serve(&mut self, listener: &ClientListener) -> CloseReason {
        let _ = self.stream.get_ref().set_nodelay(true);
        let reason = self.serve_until_error(listener).await;
        for number in self.response_writer.disconnect() {
            let _ = listener.events.send(ProxyEvent::ClientDisconnected(number)).await;
        }
        reason
    }

    async fn serve_until_error(&mut self, listener: &ClientListener) -> CloseReason {
        loop {
            if let Err(reason) = self.serve_once(listener).await {
                return reason;
            }
        }
    }

    /// Handles the commands that have arrived, writes the responses that are ready, and waits if there were none.
    async fn serve_once(&mut self, listener: &ClientListener) -> Result<(), CloseReason> {
        // Listening begins before the state is looked at, so that no wake is lost.
        let woken = self.response_writer.listen();
        self.dispatch_commands(listener).await?;
        if self.write_responses(listener).await? {
            // There may be room for a further command now.
            return Ok(());
        }
        self.wait(listener, woken).await
    }
}
