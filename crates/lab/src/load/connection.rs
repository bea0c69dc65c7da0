//! A client's connection to a proxy, and the text of its requests.

use crate::member_model::CLASSES;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpStream};
use wharfplank_protocol::member_request;
use wharfplank_protocol::member_response::{ResponseEvent, ResponseKind, ResponseReader};

/// The number of rows that requests choose from.
const KEY_COUNT: u64 = 997;
const MICROS_PER_MS: i64 = 1000;

/// A connection to a proxy.
pub(super) struct Connection {
    stream: Async<TcpStream>,
    reader: ResponseReader,
}

impl Connection {
    /// Opens a connection and waits until the proxy has accepted its startup message.
    pub(super) async fn open(address: SocketAddr) -> Option<Connection> {
        let stream = Async::<TcpStream>::connect(address).await.ok()?;
        stream.get_ref().set_nodelay(true).ok()?;
        let mut connection = Connection { stream, reader: ResponseReader::default() };
        connection.stream.write_all(&member_request::startup_message("web", "orders")).await.ok()?;
        connection.read_response().await?;
        Some(connection)
    }

    /// Sends a query and waits for its response; none if the connection ends before.
    pub(super) async fn query(&mut self, text: &str) -> Option<ResponseKind> {
        let message = member_request::query_message(|out| out.extend_from_slice(text.as_bytes()));
        self.stream.write_all(&message).await.ok()?;
        self.read_response().await
    }

    async fn read_response(&mut self) -> Option<ResponseKind> {
        loop {
            match self.reader.advance(false) {
                Ok(Some(ResponseEvent::Complete(response))) => return Some(response.kind),
                Ok(Some(ResponseEvent::StreamStarted { .. } | ResponseEvent::StreamChunk(_))) => continue,
                Ok(None) => {}
                Err(_) => return None,
            }
            match self.stream.read(self.reader.buffer.spare()).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.reader.buffer.commit(count),
            }
        }
    }
}

/// Returns the SQL text of a request with its comment for the router.
pub(super) fn statement(number: u64, class: usize, group: usize, min_position_ms: Option<i64>) -> String {
    let class = &CLASSES[class];
    let name = class.name;
    let timeout_ms = class.timeout / MICROS_PER_MS;
    let key = number % KEY_COUNT;
    let after = min_position_ms.map_or(String::new(), |position_ms| format!(",after={position_ms}"));
    let comment = format!("/* id={number:x},c={name},d={timeout_ms},cluster={group}{after} */");
    if class.is_write() {
        format!("{comment} INSERT INTO entries (ref, payload) VALUES ('{key:x}', '\\x9f') RETURNING payload")
    } else {
        format!("{comment} SELECT payload FROM entries WHERE ref = '{key:x}'")
    }
}
