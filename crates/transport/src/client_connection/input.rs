//! What is read of a client, and how its end is seen, also where nothing more can be asked.
//!
//! The end of a connection lies behind all that the client sent: who reads nothing sees no end. A client that has gone
//! must not be served on, so whatever the connection waits for, it reads on as far as there is room, and past that it
//! looks for the end without reading.

use super::{Connection, Reason, AHEAD_LEAST, AHEAD_MOST, MARKS};
use async_io::Timer;
use futures_lite::{future, AsyncReadExt};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{ErrorKind, Read};
use std::time::{Duration, Instant};

/// Between looks for the end of a client that is not read.
const LOOK: Duration = Duration::from_millis(25);
/// What is read past behind the last command that is taken.
const PAST_MOST: usize = 16 * 1024 * 1024;
/// Reads in a row, so that one that sends without end lets others by.
const READS_MOST: usize = 32;

impl Connection {
    /// Reads what has come; 0 is the client's end. Where nothing may be read it waits for that alone. While a message
    /// grows (`bound`) it may be more than all may buffer.
    pub(super) async fn hear(&mut self, bound: bool) -> Result<usize, Reason> {
        if self.lane.pipeline.borrow().is_closing() {
            return self.read_past().await;
        }
        if !self.reads(!bound) {
            return self.end_unread().await;
        }
        let count = self.read(bound).await?;
        // The end may have come right behind it: what it sent is not asked then.
        for _ in 1..READS_MOST {
            if count == 0 || !self.reads(true) {
                break;
            }
            match self.read_at_once()? {
                None => break,
                Some(0) => return Ok(0),
                Some(_) => {}
            }
        }
        Ok(count)
    }

    /// Whether more may be read: not much that cannot be asked yet (`ahead`).
    pub(super) fn reads(&self, ahead: bool) -> bool {
        let held = self.server.buffer.unread().len();
        // A message that is not yet whole grows on behind open ones where there is memory for it.
        let grows = || self.lane.memory.available() >= self.server.buffer.capacity();
        let far = || held < AHEAD_MOST || self.server.next_command_bytes().is_none();
        !ahead || held < AHEAD_LEAST || (far() && grows())
    }

    /// Reads what has come; behind open requests a lack of memory does not end it.
    async fn read(&mut self, bound: bool) -> Result<usize, Reason> {
        if !self.has_memory() && bound {
            return Err("out_of_memory");
        }
        let count = (&*self.stream).read(self.server.buffer.spare()).await.map_err(|_| "client_reset")?;
        self.filled(count);
        Ok(count)
    }

    /// Reads what is there now; `None` where nothing is.
    fn read_at_once(&mut self) -> Result<Option<usize>, Reason> {
        self.has_memory();
        let count = match self.stream.get_ref().read(self.server.buffer.spare()) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => return Ok(None),
            read => read.map_err(|_| "client_reset")?,
        };
        self.filled(count);
        Ok(Some(count))
    }

    /// Makes room to read into; false where it is large and all together have too much.
    fn has_memory(&mut self) -> bool {
        self.server.buffer.spare();
        self.lane.buffer.set(self.server.buffer.capacity());
        self.lane.update_reservation()
    }

    fn filled(&mut self, count: usize) {
        self.server.buffer.commit(count);
        self.read += count as u64;
        if self.marks.len() >= MARKS {
            self.marks.pop_back().into_iter().for_each(|(_, at)| self.marks.push_back((self.read, at)));
        } else {
            self.marks.push_back((self.read, Instant::now()));
        }
    }

    /// Reads past what comes behind the last command that is taken, up to the end.
    async fn read_past(&mut self) -> Result<usize, Reason> {
        let held = self.server.buffer.unread().len();
        self.server.buffer.consume(held);
        while self.past < PAST_MOST {
            for _ in 0..READS_MOST {
                let read = (&*self.stream).read(self.server.buffer.spare()).await;
                match read.map_err(|_| "client_reset")? {
                    0 => return Ok(0),
                    count => self.past += count,
                }
            }
            future::yield_now().await;
        }
        self.end_unread().await
    }

    /// Waits for the end of a client that is not read.
    async fn end_unread(&self) -> Result<usize, Reason> {
        loop {
            let mut look = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
            let now = Timespec { tv_sec: 0, tv_nsec: 0 };
            if poll(&mut look, Some(&now)).is_ok() && look[0].revents().contains(PollFlags::RDHUP) {
                return Ok(0);
            }
            Timer::after(LOOK).await;
        }
    }
}
