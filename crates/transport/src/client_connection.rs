//! One client connection: reads commands, asks them at once, and writes their answers in order.

mod cancel_keys;
mod input;
mod output;
mod response_writer;
mod wait;

pub(super) use cancel_keys::CancelKeys;
pub use response_writer::ResponseWriter;

use super::client_listener::{ClientListener, Peer};
use super::response_stream::StreamPiece;
use super::{ClientRequest, ProxyEvent, Statement};
use async_io::Async;
use output::Passing;
use std::collections::VecDeque;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::client_session::{ClientSession, Command};
use wharfplank_protocol::pipeline::RequestNumber;
use wharfplank_protocol::request_comment;

/// What a client may take, from its accept on, until it has asked something for the first time, and from its
/// first byte on until a message is whole: within 3 s of connecting it is to hear what is wrong.
const FIRST_WAIT: Duration = Duration::from_millis(2_300);
const MESSAGE_WAIT: Duration = Duration::from_millis(2_300);
/// How long it may stand idle between requests. ClientListener hold a bound number of connections, and many ask once and
/// keep theirs for good: those would leave none for the others.
const IDLE_MOST: Duration = Duration::from_millis(2_100);
/// For how long it may take nothing of what is written to it, and what it may take to take one part of it all.
const WRITE_WAIT: Duration = Duration::from_secs(5);
const FLUSH_MOST: Duration = Duration::from_secs(60);
/// How long an error that ends a connection may take to arrive, and what is read past meanwhile.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes that are read while no further command can be asked, whatever others hold, and where there is memory for
/// it. Past that the client waits, and its end is not seen: it lies behind what it sent.
const AHEAD_LEAST: usize = 16 * 1024;
const AHEAD_MOST: usize = 2 * 1024 * 1024;
/// Answers that are gathered before they are written.
const GATHER: usize = 64 * 1024;
/// Reads whose time is remembered; further ones count as being as old as the last of them.
const MARKS: usize = 64;

type Reason = &'static str;

/// A client's connection.
pub(super) struct Connection {
    /// PoolContext with its own writes, during which it is read all the same.
    stream: Rc<Async<TcpStream>>,
    server: ClientSession,
    peer: Rc<Peer>,
    lane: Rc<ResponseWriter>,
    accepted: Instant,
    started: bool,
    requests: u64,
    /// Since when a message has been on its way.
    begun: Option<Instant>,
    /// Since when nothing is open and nothing has been read.
    rests: Option<Instant>,
    /// All bytes read, and up to where they had come when: a command's time counts from its last byte, however
    /// long it stands in the buffer.
    read: u64,
    marks: VecDeque<(u64, Instant)>,
    /// Bytes that were read past, behind the last command that is taken.
    past: usize,
    /// The answer that passes through, while it is its turn.
    passing: Option<Passing>,
}

/// Why a connection goes on after a wait.
enum Wake {
    Read(usize),
    Given(StreamPiece),
    Rung,
    Due,
}

impl ClientListener {
    /// Serves one connection to its end, and says why it ended. What was open then is given up.
    pub(super) async fn serve(&self, c: &mut Connection) -> Reason {
        let _ = c.stream.get_ref().set_nodelay(true);
        let reason = loop {
            let bell = c.lane.bell.listen();
            if let Err(reason) = self.take(c).await {
                break reason;
            }
            match self.write(c).await {
                Err(reason) => break reason,
                // There may be room for a further command now.
                Ok(true) => continue,
                Ok(false) => {}
            }
            if let Err(reason) = self.wait(c, bell).await {
                break reason;
            }
        };
        for ticket in c.lane.disconnect() {
            let _ = self.events.send(ProxyEvent::ClientDisconnected(ticket)).await;
        }
        reason
    }

    /// Asks the commands that have arrived, as far as there is room for them.
    async fn take(&self, c: &mut Connection) -> Result<(), Reason> {
        while c.lane.has_capacity() {
            let at = c.arrived();
            let query = match c.server.advance() {
                Ok(None) => {
                    c.begun = match c.server.buffer.unread() {
                        [] => None,
                        _ => c.begun.or(Some(Instant::now())),
                    };
                    return Ok(());
                }
                Ok(Some(Command::Started)) => {
                    c.started = true;
                    c.begun = None;
                    continue;
                }
                Ok(Some(Command::EmptyQuery)) => None,
                // What was asked before is answered first.
                Ok(Some(Command::Terminate)) => {
                    c.lane.end("terminated", None);
                    break;
                }
                Ok(Some(Command::Cancel(key))) => {
                    if let Some(key) = key {
                        self.cancel(key).await;
                    }
                    return Err("cancel_request");
                }
                Ok(Some(Command::Query(query))) => match request_comment::parse(query) {
                    Ok(comment) => {
                        let ticket = RequestNumber(self.number());
                        Some(ask(query, &comment, ticket, Rc::clone(&c.lane)))
                    }
                    Err(error) => {
                        c.begun = None;
                        self.count(&c.peer);
                        c.lane.pipeline.borrow_mut().push_malformed(error.message());
                        continue;
                    }
                },
                Err(violation) => {
                    c.lane.end("protocol_violation", Some(violation));
                    break;
                }
            };
            c.begun = None;
            self.count(&c.peer);
            let Some((mut asked, bytes)) = query else {
                c.lane.pipeline.borrow_mut().push_empty_query();
                continue;
            };
            asked.arrived_at = at.unwrap_or(asked.arrived_at);
            c.lane.pipeline.borrow_mut().push_request(asked.ticket, bytes);
            c.lane.update_reservation();
            c.requests += 1;
            if !c.server.output.is_empty() {
                c.flush().await?;
            }
            if self.events.send(ProxyEvent::RequestReceived(Box::new(asked))).await.is_err() {
                return Err("shutdown");
            }
        }
        c.begun = None;
        Ok(())
    }
}

/// A request, and the bytes of its statement.
fn ask(
    query: &str,
    comment: &request_comment::RequestComment<'_>,
    ticket: RequestNumber,
    lane: Rc<ResponseWriter>,
) -> (ClientRequest, usize) {
    let asked = ClientRequest {
        ticket,
        id: comment.id.to_string(),
        class: comment.class.to_string(),
        arrived_at: Instant::now(),
        timeout_ms: comment.deadline_ms,
        group: comment.group,
        min_position_ms: comment.min_position_ms,
        session_key: comment.session_key.map(str::to_string),
        // It outlives the read buffer: attempts go out and end while the next query is read.
        statement: Rc::new(Statement::new(query.as_bytes().to_vec(), comment.deadline_range.clone())),
        response_writer: lane,
    };
    (asked, query.len())
}

impl Connection {
    pub(super) fn new(stream: Async<TcpStream>, peer: Rc<Peer>, accepted: Instant) -> Self {
        let stream = Rc::new(stream);
        peer.lane.attach_socket(&stream);
        Connection {
            stream,
            server: ClientSession::new(peer.key),
            lane: Rc::clone(&peer.lane),
            peer,
            accepted,
            started: false,
            requests: 0,
            begun: None,
            rests: None,
            read: 0,
            marks: VecDeque::new(),
            past: 0,
            passing: None,
        }
    }

    pub(super) fn requests(&self) -> u64 {
        self.requests
    }

    /// When the last byte of the whole command at the front of the buffer arrived.
    fn arrived(&mut self) -> Option<Instant> {
        let length = self.server.next_command_bytes()?;
        let end = self.read - self.server.buffer.unread().len() as u64 + length as u64;
        while self.marks.front().is_some_and(|(to, _)| *to < end) {
            self.marks.pop_front();
        }
        self.marks.front().map(|(_, at)| *at)
    }
}
