//! Streamed responses: how their pieces reach the client, and what happens if they are cut off.

use super::output::FLUSH_SIZE;
use super::{ClientConnection, CloseReason};
use crate::response_stream::{ResponseStream, StreamPiece};
use crate::socket::peek;
use async_channel::{Receiver, TryRecvError};
use wharfplank_protocol::pipeline::{FinalResponse, RequestNumber};

/// The streamed response whose turn it is.
pub(super) struct ActiveStream {
    stream: ResponseStream,
    /// Whether the client was sent any of it.
    begun: bool,
    /// A piece that came while the connection waited.
    pub(super) next_piece: Option<StreamPiece>,
}

/// What there was of a streamed response.
pub(super) enum StreamProgress {
    /// Output, or its end.
    Advanced,
    /// Nothing yet.
    Pending,
    /// It was cut off with so many bytes of its row missing, or before the client was sent any of it.
    CutOff(Option<usize>),
}

impl ActiveStream {
    /// The pieces, to wait for the next one.
    pub(super) fn pieces(&self) -> Receiver<StreamPiece> {
        self.stream.pieces()
    }

    /// The next piece that has come.
    fn try_next(&mut self) -> Result<StreamPiece, TryRecvError> {
        match self.next_piece.take() {
            Some(piece) => Ok(piece),
            None => self.stream.try_next(),
        }
    }
}

impl ClientConnection {
    /// Moves the next part of the streamed response of this request to the output.
    pub(super) fn advance_stream(&mut self, number: RequestNumber) -> StreamProgress {
        if self.active_stream.is_none() {
            let stream = self.response_writer.take_stream(number);
            self.active_stream = stream.map(|stream| ActiveStream { stream, begun: false, next_piece: None });
        }
        let Some(active) = &mut self.active_stream else { return StreamProgress::CutOff(None) };
        let output = &mut self.session.output;
        if !active.begun {
            if active.stream.is_cut_off() {
                return StreamProgress::CutOff(None);
            }
            active.begun = true;
            output.append(&mut active.stream.first);
            return StreamProgress::Advanced;
        }
        match active.try_next() {
            Ok(StreamPiece::Row(mut row)) => {
                active.stream.remaining = active.stream.remaining.saturating_sub(row.bytes.len());
                output.append(&mut row.bytes);
                StreamProgress::Advanced
            }
            Ok(StreamPiece::End(mut rest)) => {
                output.append(&mut rest);
                self.session.write_ready();
                self.end_stream();
                StreamProgress::Advanced
            }
            Err(TryRecvError::Empty) => StreamProgress::Pending,
            Err(TryRecvError::Closed) => StreamProgress::CutOff(Some(active.stream.remaining)),
        }
    }

    /// Handles a streamed response that was cut off: its request failed, and the client must be able to tell. A client
    /// that has seen none of it gets an error. Otherwise the connection ends, unless other requests stand behind it,
    /// which would be lost: then the row is padded, so that the error behind it can be read, and the connection goes
    /// on.
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

    /// Whether the client has sent anything behind the request whose response is streamed.
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
