//! Forwarding of long responses from a member to a client, at the pace at which the client reads.

use super::connection::MemberConnection;
use super::end_reason::ReadError;
use super::AttemptReport;
use crate::response_stream::ResponseStreamSender;
use crate::with_deadline;
use std::time::{Duration, Instant};
use wharfplank_protocol::member_response::{MemberResponse, ResponseEvent};
use wharfplank_routing::AttemptOutcome;

/// The maximum duration of a streamed response, regardless of its progress.
const STREAM_TIMEOUT: Duration = Duration::from_secs(60);

/// The member side of a streamed response.
pub struct StreamForwarder {
    connection: MemberConnection,
    sender: ResponseStreamSender,
}

impl StreamForwarder {
    pub(super) fn new(connection: MemberConnection, sender: ResponseStreamSender) -> Self {
        StreamForwarder { connection, sender }
    }

    /// Forwards the response until it ends. If it ends incomplete, the client connection sees the stream as
    /// cut off.
    pub async fn forward(mut self) -> AttemptReport {
        let deadline = Instant::now() + STREAM_TIMEOUT;
        loop {
            if !self.sender.has_room() {
                self.connection.release_read_buffer();
                with_deadline(deadline, self.sender.wait_for_room()).await;
            }
            let event = with_deadline(deadline, self.connection.read_event()).await;
            match event.unwrap_or(Err(ReadError::Stalled)) {
                Ok(ResponseEvent::StreamChunk(bytes)) => {
                    self.connection.pool.last_response.set(Instant::now());
                    if !self.sender.send(bytes).await {
                        // The client has disconnected.
                        return AttemptReport::without_response(AttemptOutcome::Cancelled);
                    }
                }
                Ok(ResponseEvent::Complete(response)) => return self.finish(response).await,
                Ok(ResponseEvent::StreamStarted { .. }) => {
                    return AttemptReport::without_response(AttemptOutcome::Error)
                }
                Err(error) => {
                    self.connection.end_reason = error.into();
                    return AttemptReport::without_response(error.attempt_outcome());
                }
            }
        }
    }

    /// Forwards the messages after the row.
    async fn finish(self, response: MemberResponse) -> AttemptReport {
        let mut report = self.connection.complete(response);
        let rest = report.response.as_mut().map(|response| std::mem::take(&mut response.messages));
        if report.outcome == AttemptOutcome::Ok {
            self.sender.finish(rest.unwrap_or_default()).await;
        } else {
            report.outcome = AttemptOutcome::Error;
        }
        report
    }
}
