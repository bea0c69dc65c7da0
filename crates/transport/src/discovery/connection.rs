//! One connection to discovery, and its line of the log.

use super::call::Limits;
use crate::{with_deadline, ConnectionEnd, ConnectionEndObserver};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::http;

/// A connection to discovery; its line of the log is written when it ends.
pub(super) struct Connection {
    pub(super) stream: Async<TcpStream>,
    pub(super) reader: http::HttpResponseReader,
    pub(super) line: Line,
    /// Whether a byte of the answer that is waited for has come.
    pub(super) begun: bool,
}

pub(super) struct Line {
    pub(super) ends: ConnectionEndObserver,
    pub(super) peer: SocketAddr,
    pub(super) since: Instant,
    pub(super) calls: u64,
    pub(super) reason: Option<&'static str>,
    pub(super) dropped: Rc<Cell<&'static str>>,
}

impl Drop for Line {
    fn drop(&mut self) {
        let reason = self.reason.unwrap_or(self.dropped.get());
        let (peer, requests, since) = (self.peer, self.calls, self.since);
        (self.ends)(&ConnectionEnd { side: "discovery", peer, name: "", reason, requests, since });
    }
}

impl Connection {
    /// One exchange, given up by its limits; an answer that keeps coming is read on.
    pub(super) async fn exchange(
        &mut self,
        target: &str,
        host: &str,
        limits: Limits,
    ) -> Result<http::HttpResponse, &'static str> {
        let Limits { mut until, still, most } = limits;
        self.begun = false;
        let asked = with_deadline(until, self.stream.write_all(&http::get_request(target, host))).await;
        asked.ok_or("timeout")?.map_err(|_| "reset")?;
        let mut ended = false;
        loop {
            if let Some(answer) = self.reader.advance(ended).map_err(|_| "malformed_http")? {
                return Ok(answer);
            }
            if ended {
                return Err("server_closed");
            }
            let read = with_deadline(until, self.stream.read(self.reader.buffer.spare())).await;
            let count = read.ok_or("timeout")?.map_err(|_| "reset")?;
            self.reader.buffer.commit(count);
            self.begun |= count > 0;
            ended = count == 0;
            until = until.max(Instant::now() + still).min(most);
        }
    }
}
