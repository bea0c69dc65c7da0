//! The watch on discovery: one call after the other on one connection, made anew when it breaks.

use super::{within, Ended, Ends, Event};
use crate::protocol::{catalog, http};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a watch asks discovery to wait, and how long a connection or an answer may take beyond that. The agent is
/// on this machine and answers at once, so past that the call has fallen silent with its connection open.
///
/// What discovery has to tell counts as told 6 s later at the latest, and sends to a member that drains must end 1 s
/// after that. In that time a silent watch is noticed (2 s + 0.5 s) and two further connections are tried (0.5 s to
/// come up, 0.5 s for the answer and 0.02 s or 0.04 s of pause each): 2.5 + 1.02 + 1.04 = 4.56 s of 7 s.
const WAIT_MS: u64 = 2_000;
const GRACE: Duration = Duration::from_millis(500);
/// Pauses before a new connection: the watch must go on within 200 ms wherever it can.
const PAUSE_FIRST: Duration = Duration::from_millis(20);
const PAUSE_MOST: Duration = Duration::from_millis(1000);

/// The watch on one address at a time.
pub struct Watch {
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    ends: Ends,
    address: SocketAddr,
    /// Dropping it closes the connection.
    _task: Task<()>,
    /// The reason for that.
    dropped: Rc<Cell<&'static str>>,
}

impl Watch {
    /// Follows the list at an address from now on.
    pub fn start(
        executor: Rc<LocalExecutor<'static>>,
        events: Sender<Event>,
        ends: Ends,
        address: SocketAddr,
    ) -> Self {
        let dropped = Rc::new(Cell::new("shutdown"));
        let watch = watch(address, events.clone(), Rc::clone(&ends), Rc::clone(&dropped));
        let _task = executor.spawn(watch);
        Watch { executor, events, ends, address, _task, dropped }
    }

    /// Follows the list at another address. Its first call asks for the whole list: the old address's
    /// versions mean nothing there.
    pub fn move_to(&mut self, address: SocketAddr) {
        if address != self.address {
            self.dropped.set("moved");
            let (executor, events) = (Rc::clone(&self.executor), self.events.clone());
            // The old task ends with the assignment, whatever it waits for, and so does its connection.
            *self = Watch::start(executor, events, Rc::clone(&self.ends), address);
        }
    }
}

/// A connection to discovery; its line of the log is written when it ends.
struct Line {
    ends: Ends,
    peer: SocketAddr,
    since: Instant,
    calls: u64,
    reason: Option<&'static str>,
    dropped: Rc<Cell<&'static str>>,
}

impl Drop for Line {
    fn drop(&mut self) {
        let reason = self.reason.unwrap_or(self.dropped.get());
        let (peer, requests, since) = (self.peer, self.calls, self.since);
        (self.ends)(&Ended { side: "discovery", peer, name: "", reason, requests, since });
    }
}

/// Follows the list for good and tells of each answer that says something.
async fn watch(address: SocketAddr, events: Sender<Event>, ends: Ends, dropped: Rc<Cell<&'static str>>) {
    let mut seq = None;
    let mut pause = PAUSE_FIRST;
    loop {
        let (ends, dropped, since) = (Rc::clone(&ends), Rc::clone(&dropped), Instant::now());
        let mut line = Line { ends, peer: address, since, calls: 0, reason: None, dropped };
        line.reason = Some(follow(address, &events, &mut seq, &mut line.calls).await);
        let calls = line.calls;
        drop(line);
        if events.is_closed() {
            return;
        }
        // A connection that worked is replaced at once; one that did not come up waits longer.
        pause = if calls > 0 { PAUSE_FIRST } else { (pause * 2).min(PAUSE_MOST) };
        Timer::after(pause).await;
    }
}

/// Calls on one connection until it is of no more use; says why.
async fn follow(
    address: SocketAddr,
    events: &Sender<Event>,
    seq: &mut Option<u64>,
    calls: &mut u64,
) -> &'static str {
    let connected = within(Instant::now() + GRACE, Async::<TcpStream>::connect(address)).await;
    let Some(Ok(mut stream)) = connected else { return "connect_failed" };
    let _ = stream.get_ref().set_nodelay(true);
    let host = address.to_string();
    let mut reader = http::Reader::default();
    loop {
        let (target, wait) = match *seq {
            None => ("/catalog/members".to_string(), Duration::ZERO),
            Some(seq) => {
                let target = format!("/catalog/members?index={seq}&wait={WAIT_MS}");
                (target, Duration::from_millis(WAIT_MS))
            }
        };
        let deadline = Instant::now() + wait + GRACE;
        let answer = within(deadline, call(&mut stream, &mut reader, &target, &host)).await;
        let answer = match answer {
            // Serving goes on from what is known. What the silent call held back is asked for as the whole list:
            // that is answered at once, so that a second silence shows at once too.
            None => {
                *seq = None;
                return "timeout";
            }
            Some(Err(reason)) => return reason,
            Some(Ok(answer)) => answer,
        };
        if answer.status != 200 {
            *seq = None;
            return "http_status";
        }
        let Ok(list) = catalog::parse(&answer.body) else {
            *seq = None;
            return "malformed_list";
        };
        *seq = Some(list.seq);
        *calls += 1;
        let news = list.whole || !list.hosts.is_empty();
        if news && events.send(Event::List(list)).await.is_err() {
            return "shutdown";
        }
        if !answer.keep {
            return "server_closed";
        }
    }
}

async fn call(
    stream: &mut Async<TcpStream>,
    reader: &mut http::Reader,
    target: &str,
    host: &str,
) -> Result<http::Answer, &'static str> {
    stream.write_all(&http::get(target, host)).await.map_err(|_| "reset")?;
    let mut ended = false;
    loop {
        if let Some(answer) = reader.advance(ended).map_err(|_| "malformed_http")? {
            return Ok(answer);
        }
        if ended {
            return Err("server_closed");
        }
        let count = stream.read(reader.buffer.space()).await.map_err(|_| "reset")?;
        reader.buffer.filled(count);
        ended = count == 0;
    }
}
