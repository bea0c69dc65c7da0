//! What is read from a client, and how its disconnect is seen, also while no further command is accepted.
//!
//! The end of a connection lies behind all that the client sent, so whoever reads nothing sees no end. A client that
//! has disconnected must not be served on: whatever the connection waits for, it reads on as far as there is room, and
//! past that it looks for the end without reading.

use super::{ClientConnection, CloseReason};
use async_io::Timer;
use futures_lite::{future, AsyncReadExt};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::time::Duration;

/// Bytes that are read ahead while no further command is accepted, whatever others hold.
const READ_AHEAD_MIN: usize = 16 * 1024;
/// Bytes that are read ahead where there is memory for them. Past that the client waits, and its disconnect is seen
/// only by polling: it lies behind what it sent.
const READ_AHEAD_MAX: usize = 2 * 1024 * 1024;
/// The interval of polls for the disconnect of a client that is not read.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Bytes that are read and discarded behind the last command that is accepted.
const MAX_DISCARDED: usize = 16 * 1024 * 1024;
/// The most reads in a row, so that a client that sends without end lets others run.
const MAX_READS_IN_A_ROW: usize = 32;

/// Why a connection reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadMode {
    /// The next message is awaited. It may grow to its limit, and without memory for it the connection ends.
    Message,
    /// Requests are open: input is read ahead as far as there is room for it.
    Ahead,
}

impl ClientConnection {
    /// Reads what has arrived, and returns the number of bytes; 0 stands for the client's disconnect. If nothing may
    /// be read it waits for that alone.
    pub(super) async fn read_available(&mut self, mode: ReadMode) -> Result<usize, CloseReason> {
        if self.response_writer.is_closing() {
            return self.discard_input().await;
        }
        if !self.may_read(mode) {
            return self.poll_for_disconnect().await;
        }
        let count = self.read_once(mode).await?;
        // The disconnect may have come right behind it: requests before it are not served then.
        for _ in 1..MAX_READS_IN_A_ROW {
            if count == 0 || !self.may_read(ReadMode::Ahead) {
                break;
            }
            match self.try_read()? {
                None => break,
                Some(0) => return Ok(0),
                Some(_) => {}
            }
        }
        Ok(count)
    }

    /// Whether more may be read now.
    fn may_read(&self, mode: ReadMode) -> bool {
        if mode == ReadMode::Message {
            return true;
        }
        let buffer = &self.session.buffer;
        let buffered = buffer.unread().len();
        if buffered < READ_AHEAD_MIN {
            return true;
        }
        // An incomplete message goes on growing behind open requests where there is memory for it.
        let below_limit = buffered < READ_AHEAD_MAX || self.session.next_command_bytes().is_none();
        below_limit && self.response_writer.available_memory() >= buffer.capacity()
    }

    /// Waits for input and reads it. A lack of memory is an error only in [`ReadMode::Message`].
    async fn read_once(&mut self, mode: ReadMode) -> Result<usize, CloseReason> {
        if !self.reserve_read_buffer() && mode == ReadMode::Message {
            return Err(CloseReason::OutOfMemory);
        }
        let read = (&*self.stream).read(self.session.buffer.spare()).await;
        let count = read.map_err(|_| CloseReason::ClientReset)?;
        self.on_read(count);
        Ok(count)
    }

    /// Reads what has already arrived; `None` if nothing has.
    fn try_read(&mut self) -> Result<Option<usize>, CloseReason> {
        self.reserve_read_buffer();
        let read = self.stream.try_read(self.session.buffer.spare());
        let count = read.map_err(|_| CloseReason::ClientReset)?;
        self.on_read(count.unwrap_or(0));
        Ok(count)
    }

    /// Makes room to read into, and reserves its memory. Returns false if the budget is exceeded.
    fn reserve_read_buffer(&mut self) -> bool {
        self.session.buffer.spare();
        self.response_writer.read_buffer_size.set(self.session.buffer.capacity());
        self.response_writer.update_reservation()
    }

    fn on_read(&mut self, count: usize) {
        self.session.buffer.commit(count);
        self.arrival_times.record(count);
    }

    /// Reads and discards what comes behind the last command that is accepted, up to the disconnect.
    async fn discard_input(&mut self) -> Result<usize, CloseReason> {
        let buffered = self.session.buffer.unread().len();
        self.session.buffer.consume(buffered);
        while self.discarded < MAX_DISCARDED {
            for _ in 0..MAX_READS_IN_A_ROW {
                let read = (&*self.stream).read(self.session.buffer.spare()).await;
                match read.map_err(|_| CloseReason::ClientReset)? {
                    0 => return Ok(0),
                    count => self.discarded += count,
                }
            }
            future::yield_now().await;
        }
        self.poll_for_disconnect().await
    }

    /// Waits for the disconnect of a client that is not read.
    async fn poll_for_disconnect(&self) -> Result<usize, CloseReason> {
        const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
        loop {
            let mut polled = [PollFd::new(self.stream.get_ref(), PollFlags::RDHUP)];
            let result = poll(&mut polled, Some(&NO_WAIT));
            if result.is_ok() && polled[0].revents().contains(PollFlags::RDHUP) {
                return Ok(0);
            }
            Timer::after(DISCONNECT_POLL_INTERVAL).await;
        }
    }
}
