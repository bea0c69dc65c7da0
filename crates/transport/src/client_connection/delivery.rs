//! Delivery of written output. Closing a connection discards what the client's system has not acknowledged as
//! soon as the client sends anything more, so a connection closes only after its output was delivered.

use super::output::WRITE_STALL_TIMEOUT;
use super::{ClientConnection, CloseReason};
use crate::client_listener::ClientListener;
use async_io::Timer;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// The interval at which the delivery of the remaining output is checked before a close.
pub(super) const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The maximum time for which a connection that accepts no more commands is kept open for the delivery of its
/// output.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// The progress of the delivery since the last output was written, as of the last check.
#[derive(Debug, Default)]
pub(super) struct DeliveryProgress {
    /// The fewest undelivered bytes seen, and when; `None` while nothing was left.
    lowest: Option<(usize, Instant)>,
}

impl DeliveryProgress {
    /// Records the number of undelivered bytes. Returns whether they are still being delivered: some are
    /// left, and the client has not stalled.
    fn record(&mut self, undelivered_bytes: usize, now: Instant) -> bool {
        if undelivered_bytes == 0 {
            self.lowest = None;
            return false;
        }
        match self.lowest {
            Some((lowest, since)) if undelivered_bytes >= lowest => now < since + WRITE_STALL_TIMEOUT,
            _ => {
                self.lowest = Some((undelivered_bytes, now));
                true
            }
        }
    }
}

impl ClientConnection {
    /// Returns whether output is still being delivered to the client. A client that takes none of it for
    /// [`WRITE_STALL_TIMEOUT`] counts as stalled; checks must not be much further apart than that.
    pub(super) fn is_delivering(&mut self, listener: &ClientListener) -> bool {
        // If the system cannot tell now, it is asked again; the time limit holds all the same.
        let undelivered = listener.undelivered_bytes(self.stream.get_ref()).unwrap_or(usize::MAX);
        self.delivery.record(undelivered, Instant::now())
    }

    /// Ends the output of a connection that accepts no more commands, and keeps it open until the output was
    /// delivered. Input stays unread meanwhile, so that a client that sees the end sends it again elsewhere.
    pub(super) async fn finish_delivery(&mut self, listener: &ClientListener, reason: CloseReason) {
        if !reason.client_may_still_read() || !self.is_delivering(listener) {
            return;
        }
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let deadline = Instant::now() + DELIVERY_TIMEOUT;
        while self.is_delivering(listener) && Instant::now() < deadline {
            Timer::after(DELIVERY_CHECK_INTERVAL).await;
        }
    }
}
