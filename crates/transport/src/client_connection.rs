//! Client connections. A connection reads commands, sends their requests to the broker immediately and writes
//! the responses in the order of the commands.
//!
//! - `commands`: parses commands and dispatches requests.
//! - `input` and `arrival_times`: reads input and records when it arrived.
//! - `output` and `streaming`: write complete and streamed responses.
//! - `delivery`: keeps the connection open until the client's system has taken what was written.
//! - `wait`: waits for the next event and enforces the time limits.
//! - [`ResponseWriter`]: passes responses from the broker to the connection.

mod arrival_times;
mod cancel_keys;
mod close_reason;
mod commands;
mod delivery;
mod input;
mod output;
mod response_writer;
mod streaming;
mod wait;

pub(crate) use cancel_keys::CancelKeys;
pub(crate) use close_reason::CloseReason;
pub use response_writer::ResponseWriter;

use crate::client_listener::{ClientListener, ConnectionState};
use crate::response_stream::RowBytes;
use crate::socket::stream::TcpConnection;
use crate::ProxyEvent;
use arrival_times::ArrivalTimes;
use async_io::Timer;
use commands::Dispatched;
use delivery::DeliveryProgress;
use futures_lite::future;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};
use streaming::ActiveStream;
use wharfplank_protocol::client_session::ClientSession;

/// The number of turns in a row that may leave input unprocessed before the connection pauses.
const MAX_TURNS_WITH_INPUT_LEFT: u32 = 4;
/// The duration of a pause.
const PAUSE: Duration = Duration::from_millis(1);

/// A connection to one client.
pub(crate) struct ClientConnection {
    /// Shared because the connection also reads while a write is in progress.
    stream: Rc<TcpConnection>,
    session: ClientSession,
    state: Rc<ConnectionState>,
    response_writer: Rc<ResponseWriter>,
    accepted_at: Instant,
    /// Whether the startup is complete.
    started: bool,
    requests: u64,
    /// When the first byte of the currently incomplete message was seen.
    message_started_at: Option<Instant>,
    /// When the connection became idle: no open command and no unprocessed input.
    idle_since: Option<Instant>,
    arrival_times: ArrivalTimes,
    /// The number of bytes read and discarded after the last accepted command.
    discarded: usize,
    /// The number of turns in a row that left input unprocessed.
    turns_with_input_left: u32,
    /// The streamed response that is being written.
    active_stream: Option<ActiveStream>,
    /// The chunks of a streamed response whose bytes are in the output.
    unwritten_rows: Vec<RowBytes>,
    delivery: DeliveryProgress,
}

impl ClientConnection {
    /// Creates the connection of a stream that was just accepted.
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
            message_started_at: None,
            idle_since: None,
            arrival_times: ArrivalTimes::default(),
            discarded: 0,
            turns_with_input_left: 0,
            active_stream: None,
            unwritten_rows: Vec::new(),
            delivery: DeliveryProgress::default(),
        }
    }

    /// Returns the number of requests received on the connection.
    pub(crate) fn requests(&self) -> u64 {
        self.requests
    }

    /// Returns the client's socket.
    pub(crate) fn socket(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// Serves the connection until it ends and returns the reason. Reports open requests as disconnected.
    pub(crate) async fn serve(&mut self, listener: &ClientListener) -> CloseReason {
        let _ = self.stream.get_ref().set_nodelay(true);
        let reason = self.serve_until_error(listener).await;
        for number in self.response_writer.disconnect() {
            let _ = listener.events.send(ProxyEvent::ClientDisconnected(number)).await;
        }
        self.finish_delivery(listener, reason).await;
        reason
    }

    async fn serve_until_error(&mut self, listener: &ClientListener) -> CloseReason {
        loop {
            if let Err(reason) = self.serve_once(listener).await {
                return reason;
            }
            self.let_others_run().await;
        }
    }

    /// Lets other tasks run. The reads and writes of a client that sends continuously never wait, so after some
    /// turns with input left it pauses, which also lets the reactor poll the sockets of other connections.
    async fn let_others_run(&mut self) {
        future::yield_now().await;
        if self.session.buffer.unread().is_empty() {
            self.turns_with_input_left = 0;
            return;
        }
        self.turns_with_input_left += 1;
        if self.turns_with_input_left >= MAX_TURNS_WITH_INPUT_LEFT {
            self.turns_with_input_left = 0;
            Timer::after(PAUSE).await;
        }
    }

    /// Handles received commands and writes the responses that are ready; waits if there were no responses.
    async fn serve_once(&mut self, listener: &ClientListener) -> Result<(), CloseReason> {
        // Registers before checking any state, so that no notification is missed.
        let notified = self.response_writer.listen();
        let dispatched = self.dispatch_commands(listener).await?;
        if self.write_responses(listener).await? || dispatched == Dispatched::Some {
            // Written responses may have freed capacity for further commands.
            return Ok(());
        }
        self.wait(listener, notified).await
    }
}
