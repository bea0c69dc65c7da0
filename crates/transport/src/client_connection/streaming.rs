//! Writing of streamed responses to the client, and handling of streams that are cut off.

use super::output::FLUSH_SIZE;
use super::{ClientConnection, CloseReason};
use crate::response_stream::{ResponseStream, StreamChunk};
use crate::socket::peek;
use async_channel::{Receiver, TryRecvError};
use wharfplank_protocol::pipeline::{FinalResponse, RequestNumber};

/// The streamed response that is being written.
pub(super) struct ActiveStream {
    stream: ResponseStream,
    /// Whether any of it was added to the output.
    has_started: bool,
    /// A chunk that was received while the connection waited.
    pub(super) next_chunk: Option<StreamChunk>,
}

/// The result of advancing a streamed response.
pub(super) enum StreamProgress {
    /// Output was produced, or the stream is complete.
    Advanced,
    /// No chunk is available yet.
    Pending,
    /// The stream was cut off with this many bytes of its row missing; `None` if none of it was sent to the
    /// client.
    CutOff(Option<usize>),
}

impl ActiveStream {
    /// Returns the queue of chunks, to wait for the next one.
    pub(super) fn chunks(&self) -> Receiver<StreamChunk> {
        self.stream.chunks()
    }

    /// Returns the next chunk that is available.
    fn try_next(&mut self) -> Result<StreamChunk, TryRecvError> {
        match self.next_chunk.take() {
            Some(chunk) => Ok(chunk),
            None => self.stream.try_next(),
        }
    }
}

impl ClientConnection {
    /// Appends the next part of this request's streamed response to the output.
    pub(super) fn advance_stream(&mut self, number: RequestNumber) -> StreamProgress {
        if self.active_stream.is_none() {
            let stream = self.response_writer.take_stream(number);
            self.active_stream =
                stream.map(|stream| ActiveStream { stream, has_started: false, next_chunk: None });
        }
        let Some(active) = &mut self.active_stream else { return StreamProgress::CutOff(None) };
        let output = &mut self.session.output;
        if !active.has_started {
            if active.stream.is_cut_off() {
                return StreamProgress::CutOff(None);
            }
            active.has_started = true;
            append(output, std::mem::take(&mut active.stream.first));
            return StreamProgress::Advanced;
        }
        match active.try_next() {
            Ok(StreamChunk::Row(mut row)) => {
                active.stream.remaining = active.stream.remaining.saturating_sub(row.bytes.len());
                append(output, std::mem::take(&mut row.bytes));
                self.unwritten_rows.push(row);
                StreamProgress::Advanced
            }
            Ok(StreamChunk::End(mut rest)) => {
                output.append(&mut rest);
                self.session.write_ready();
                self.end_stream();
                StreamProgress::Advanced
            }
            Err(TryRecvError::Empty) => StreamProgress::Pending,
            Err(TryRecvError::Closed) => StreamProgress::CutOff(Some(active.stream.remaining)),
        }
    }

    /// Handles a streamed response that was cut off, so that the client can tell that its request failed. If
    /// none of the response was sent, the client gets an error. Otherwise the connection is closed, unless
    /// that would lose requests that follow: then the row is padded to its full length, so that the client
    /// can parse the error after it, and the connection stays open.
    pub(super) async fn on_stream_cut_off(&mut self, remaining: Option<usize>) -> Result<(), CloseReason> {
        let has_more = self.has_further_input();
        let mut padding = match remaining {
            Some(1..) if !has_more => {
                self.flush().await?;
                return Err(CloseReason::StreamCutOff);
            }
            remaining => remaining.unwrap_or(0),
        };
        while padding > 0 {
            let count = padding.min(FLUSH_SIZE);
            let padded = self.session.output.len() + count;
            self.session.output.resize(padded, 0);
            padding -= count;
            self.flush().await?;
        }
        self.session.write_response(FinalResponse::Failed);
        self.end_stream();
        Ok(())
    }

    /// Returns whether the client has sent anything after the request whose response is streamed.
    fn has_further_input(&self) -> bool {
        self.response_writer.has_following()
            || !self.session.buffer.unread().is_empty()
            || peek::has_unread_bytes(self.stream.get_ref())
    }

    fn end_stream(&mut self) {
        self.active_stream = None;
        self.response_writer.finish_stream();
    }
}

/// Appends bytes to the output, without a copy if there is no other output.
fn append(output: &mut Vec<u8>, mut bytes: Vec<u8>) {
    if output.is_empty() {
        *output = bytes;
    } else {
        output.append(&mut bytes);
    }
}
