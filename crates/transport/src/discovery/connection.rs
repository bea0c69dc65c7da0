//! Connections to discovery, and the reports of their ends.

use super::poll::Limits;
use crate::socket::stream::TcpConnection;
use crate::{with_deadline, ConnectionEnd, ConnectionEndObserver, Remote};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::http;

/// The reason why a connection closed or a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The connection could not be opened in time.
    ConnectFailed,
    /// The response was not received in time.
    Timeout,
    /// The connection was reset, or another socket error occurred.
    Reset,
    /// Discovery closed the connection.
    ServerClosed,
    /// The response had a status other than 200.
    HttpStatus,
    /// The response was not valid HTTP.
    MalformedHttp,
    /// The response body was not a valid endpoint list.
    MalformedList,
    /// The other poll of a hedged pair was answered first.
    Superseded,
    /// The address of discovery changed.
    Moved,
    /// The process is shutting down.
    Shutdown,
}

impl CloseReason {
    /// Returns the code used in the log.
    fn code(self) -> &'static str {
        match self {
            CloseReason::ConnectFailed => "connect_failed",
            CloseReason::Timeout => "timeout",
            CloseReason::Reset => "reset",
            CloseReason::ServerClosed => "server_closed",
            CloseReason::HttpStatus => "http_status",
            CloseReason::MalformedHttp => "malformed_http",
            CloseReason::MalformedList => "malformed_list",
            CloseReason::Superseded => "superseded",
            CloseReason::Moved => "moved",
            CloseReason::Shutdown => "shutdown",
        }
    }
}

/// A connection to discovery.
pub(super) struct Connection {
    pub(super) stream: TcpConnection,
    pub(super) reader: http::HttpResponseReader,
    pub(super) log_entry: LogEntry,
    /// Whether any byte of the current response has arrived.
    pub(super) response_started: bool,
}

/// The report of a connection's end, made on drop.
pub(super) struct LogEntry {
    pub(super) connection_end_observer: ConnectionEndObserver,
    pub(super) peer: SocketAddr,
    pub(super) opened_at: Instant,
    /// The number of polls that were answered.
    pub(super) polls: u64,
    /// The close reason; `None` if the connection is dropped while in use.
    pub(super) reason: Option<CloseReason>,
    /// The close reason of connections that are dropped while in use.
    pub(super) drop_reason: Rc<Cell<CloseReason>>,
}

impl Drop for LogEntry {
    fn drop(&mut self) {
        let reason = self.reason.unwrap_or(self.drop_reason.get());
        (self.connection_end_observer)(&ConnectionEnd {
            remote: Remote::Discovery,
            address: self.peer,
            reason: reason.code(),
            undelivered_bytes: 0,
            requests: self.polls,
            started_at: self.opened_at,
        });
    }
}

impl Connection {
    /// Sends one request and reads its response within the limits.
    pub(super) async fn exchange(
        &mut self,
        target: &str,
        host: &str,
        limits: Limits,
    ) -> Result<http::HttpResponse, CloseReason> {
        self.response_started = false;
        let request = http::get_request(target, host);
        let written = with_deadline(limits.first_byte_by, self.stream.write_all(&request)).await;
        written.ok_or(CloseReason::Timeout)?.map_err(|_| CloseReason::Reset)?;
        self.read_response(limits).await
    }

    async fn read_response(&mut self, limits: Limits) -> Result<http::HttpResponse, CloseReason> {
        let mut next_byte_by = limits.first_byte_by;
        let mut at_end = false;
        loop {
            let response = self.reader.advance(at_end).map_err(|_| CloseReason::MalformedHttp)?;
            if let Some(response) = response {
                return Ok(response);
            }
            if at_end {
                return Err(CloseReason::ServerClosed);
            }
            let count = self.read_some(next_byte_by).await?;
            self.response_started |= count > 0;
            at_end = count == 0;
            next_byte_by = next_byte_by.max(Instant::now() + limits.max_gap).min(limits.complete_by);
        }
    }

    /// Reads into the buffer. Returns 0 if discovery closed the connection.
    async fn read_some(&mut self, deadline: Instant) -> Result<usize, CloseReason> {
        let read = with_deadline(deadline, self.stream.read(self.reader.buffer.spare())).await;
        let count = read.ok_or(CloseReason::Timeout)?.map_err(|_| CloseReason::Reset)?;
        self.reader.buffer.commit(count);
        Ok(count)
    }
}
