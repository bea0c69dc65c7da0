//! What a connection waits for, and what it reads.

use super::{Connection, Reason, Wake, FIRST_WAIT, IDLE_MOST, MESSAGE_WAIT};
use crate::client_listener::{ClientListener, Leaving};
use crate::with_deadline;
use event_listener::EventListener;
use futures_lite::future;
use std::net::Shutdown;
use std::time::Instant;
use wharfplank_protocol::client_session::ProtocolViolation;

impl ClientListener {
    /// Waits until something has been read, an answer is there, or a time is up.
    pub(super) async fn wait(&self, c: &mut Connection, bell: EventListener) -> Result<(), Reason> {
        let now = Instant::now();
        let (open, empty) = (!c.lane.is_empty(), c.server.buffer.unread().is_empty());
        let idle = c.started && empty && !open;
        c.rests = if idle { c.rests.or(Some(now)) } else { None };
        let mute = !c.peer.asked.get();
        // One whose message is not yet whole holds a place all the same; until something was asked for the first
        // time it may have to give it up.
        c.peer.idle.set(if mute { Some(c.accepted) } else { c.rests });
        let leave = match self.leaving.get() {
            Leaving::No => false,
            Leaving::Idle => idle && c.peer.settled.get(),
            Leaving::All => !open,
        };
        // An empty query that waits for a start that will not come.
        let unstarted = self.leaving.get() != Leaving::No && c.lane.pipeline.borrow().awaits_readiness();
        if unstarted && !self.answers_empty(c) && c.hangs_up() {
            return Err("shutdown");
        }
        let close = leave || ((idle || mute) && c.peer.evicted.get());
        let first = mute.then_some(c.accepted + FIRST_WAIT);
        let stays = (idle && !mute).then(|| c.rests.unwrap_or(now) + IDLE_MOST);
        let due = c.begun.map(|at| at + MESSAGE_WAIT).into_iter().chain(first).chain(stays).min();
        let late = match (c.started, stays) {
            (false, _) => "startup_timeout",
            (true, None) => "request_timeout",
            (true, Some(_)) => "idle_timeout",
        };
        let rung = async {
            if !close {
                bell.await;
            }
            Ok(Wake::Rung)
        };
        let pieces = c.passing.as_ref().map(|passing| passing.pieces());
        let read = async { c.hear(!open).await.map(Wake::Read) };
        let given = async {
            match pieces {
                // Where the member's side is gone, what there was has been written: the next look finds the end.
                Some(pieces) => Ok(pieces.recv().await.map_or(Wake::Rung, Wake::Given)),
                None => future::pending().await,
            }
        };
        // What has already arrived is read before the connection closes.
        let work = future::or(read, future::or(given, rung));
        let wake = match due {
            Some(due) => with_deadline(due, work).await.unwrap_or(Ok(Wake::Due)),
            None => work.await,
        };
        c.peer.idle.set(None);
        match wake {
            Ok(Wake::Read(0)) if open => Err("client_gone"),
            Ok(Wake::Read(0)) => Err("client_closed"),
            Ok(Wake::Read(_)) => Ok(()),
            Ok(Wake::Given(piece)) => {
                if let Some(passing) = &mut c.passing {
                    passing.next = Some(piece);
                }
                Ok(())
            }
            Ok(Wake::Rung) if close && (open || c.hangs_up()) => {
                Err(if leave { "shutdown" } else { "evicted" })
            }
            Ok(Wake::Due) if stays.is_some() && c.hangs_up() => Err("idle_timeout"),
            Ok(Wake::Rung) => Ok(()),
            Ok(Wake::Due) if stays.is_some() => Ok(()),
            Ok(Wake::Due) => {
                c.lane.end(late, violation(late));
                Ok(())
            }
            Err("out_of_memory") => {
                c.lane.end("out_of_memory", violation("out_of_memory"));
                Ok(())
            }
            Err(reason) => Err(reason),
        }
    }
}

impl ClientListener {
    /// Whether an empty query is answered. It waits for the process's start; where that will not come since the
    /// process was asked to end before, it is answered for the sake of what stands behind it.
    pub(super) fn answers_empty(&self, c: &Connection) -> bool {
        let pipeline = c.lane.pipeline.borrow();
        let behind =
            pipeline.has_following() || pipeline.is_closing() || !c.server.buffer.unread().is_empty();
        self.ready.get() || (behind && self.leaving.get() != Leaving::No)
    }
}

impl Connection {
    /// Ends a connection on which nothing is open, unless something has just arrived. A client that sends many
    /// requests at once loses all but the first where its write crosses the close, and a process that must share its
    /// core may stand still between any two steps: so nothing lies between this look and the end.
    fn hangs_up(&self) -> bool {
        let stream = self.stream.get_ref();
        let quiet = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        quiet && stream.shutdown(Shutdown::Both).is_ok()
    }
}

/// What the client is told where the connection ends for this reason, if anything.
fn violation(reason: Reason) -> Option<ProtocolViolation> {
    let (code, what) = match reason {
        "out_of_memory" => ("53200", "no memory for the message"),
        "startup_timeout" | "request_timeout" => ("57P05", "nothing whole was asked in time"),
        _ => return None,
    };
    Some(ProtocolViolation { code, message: what })
}
