//! Reading client input and detecting disconnects, even while no further commands are accepted.
//!
//! The end of the stream is only seen after all preceding input was read, and requests of a disconnected
//! client must not be processed any further. So the connection keeps reading while it waits for other things,
//! as far as buffer space allows; beyond that it polls the socket for the disconnect without reading.

use super::{ClientConnection, CloseReason, PAUSE};
use async_io::Timer;
use futures_lite::AsyncReadExt;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::time::Duration;

/// The read-ahead, in bytes, that is allowed regardless of the memory budget while no further commands are
/// accepted.
const READ_AHEAD_MIN: usize = 16 * 1024;
/// The maximum read-ahead, in bytes, if the memory budget allows. Beyond it the client is not read, and its
/// disconnect is detected only by polling, because unread input precedes it.
const READ_AHEAD_MAX: usize = 2 * 1024 * 1024;
/// The interval at which a client that is not being read is polled for a disconnect.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// The maximum number of bytes that are read and discarded after the last accepted command.
const MAX_DISCARDED: usize = 16 * 1024 * 1024;
/// The maximum number of consecutive reads, so that a client that sends continuously does not starve other
/// tasks.
pub(super) const MAX_READS_IN_A_ROW: usize = 32;

/// The purpose of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadMode {
    /// Waits for the next message, which may grow to the size limit. Without memory for it the connection
    /// ends.
    Message,
    /// Reads ahead while requests are open, as far as memory allows.
    Ahead,
}

impl ClientConnection {
    /// Reads available input and returns the number of bytes, or 0 if the client disconnected. If nothing may
    /// be read, waits for the disconnect only.
    pub(super) async fn read_available(&mut self, mode: ReadMode) -> Result<usize, CloseReason> {
        if self.response_writer.is_closing() {
            return self.discard_input().await;
        }
        if !self.may_read(mode) {
            return self.poll_for_disconnect().await;
        }
        let count = self.read_once(mode).await?;
        // A disconnect may follow directly; in that case the requests before it are not processed.
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

    /// Returns whether more input may be read now.
    fn may_read(&self, mode: ReadMode) -> bool {
        if mode == ReadMode::Message {
            return true;
        }
        let buffer = &self.session.buffer;
        let buffered = buffer.unread().len();
        if buffered < READ_AHEAD_MIN {
            return true;
        }
        // An incomplete message may exceed the limit while requests are open, if memory allows.
        let below_limit = buffered < READ_AHEAD_MAX || self.session.next_command_bytes().is_none();
        below_limit && self.response_writer.available_memory() >= buffer.capacity()
    }

    /// Waits for input and reads it. Exceeding the memory budget is an error only in [`ReadMode::Message`].
    async fn read_once(&mut self, mode: ReadMode) -> Result<usize, CloseReason> {
        if !self.reserve_read_buffer() && mode == ReadMode::Message {
            return Err(CloseReason::OutOfMemory);
        }
        let read = (&*self.stream).read(self.session.buffer.spare()).await;
        let count = read.map_err(|_| CloseReason::ClientReset)?;
        self.on_read(count);
        Ok(count)
    }

    /// Reads input that has already arrived; returns `None` if there is none.
    fn try_read(&mut self) -> Result<Option<usize>, CloseReason> {
        self.reserve_read_buffer();
        let read = self.stream.try_read(self.session.buffer.spare());
        let count = read.map_err(|_| CloseReason::ClientReset)?;
        self.on_read(count.unwrap_or(0));
        Ok(count)
    }

    /// Reserves the memory of the buffer space for the next read. Returns false if the budget is exceeded.
    fn reserve_read_buffer(&mut self) -> bool {
        self.response_writer.read_buffer_size.set(self.session.buffer.next_capacity(0));
        self.response_writer.update_reservation()
    }

    fn on_read(&mut self, count: usize) {
        self.session.buffer.commit(count);
        self.arrival_times.record(count);
    }

    /// Reads and discards input after the last accepted command until the client disconnects.
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
            Timer::after(PAUSE).await;
        }
        self.poll_for_disconnect().await
    }

    /// Polls for the disconnect of a client that is not being read.
    async fn poll_for_disconnect(&self) -> Result<usize, CloseReason> {
        while !self.has_disconnected() {
            Timer::after(DISCONNECT_POLL_INTERVAL).await;
        }
        Ok(0)
    }

    /// Returns whether the client has disconnected, even if input precedes that.
    fn has_disconnected(&self) -> bool {
        const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut polled = [PollFd::new(self.stream.get_ref(), PollFlags::RDHUP)];
        let result = poll(&mut polled, Some(&NO_WAIT));
        result.is_ok() && polled[0].revents().contains(PollFlags::RDHUP)
    }
}
