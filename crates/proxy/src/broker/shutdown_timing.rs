//! The timing of a graceful shutdown, relative to SIGTERM.

use wharfplank_routing::Micros;

/// The time after which the listener closes. Until then new connections are accepted and each gets one
/// response.
pub const CLOSE_LISTENER_AFTER: Micros = 700_000;
/// The maximum time after which open requests are aborted.
pub const MAX_ABORT_DELAY: Micros = 3_200_000;
/// The time allowed for writing the final responses after open requests have been aborted.
pub const FINAL_WRITE_TIME: Micros = 100_000;
/// The maximum time for which the process stays, after its regular exit time, for responses that are still
/// being streamed or delivered. No response takes longer than that.
pub const MAX_DELIVERY_TIME: Micros = 60_000_000;

/// Returns the time from SIGTERM until open requests are aborted, in microseconds. `longest_deadline` is the
/// longest deadline of any class in microseconds, or 0 if no deadline is configured.
///
/// SIGKILL is sent no earlier than [`CLOSE_LISTENER_AFTER`] plus the longest deadline after SIGTERM. Requests
/// that arrive after [`CLOSE_LISTENER_AFTER`] and are still open at that time are lost.
pub fn abort_delay(longest_deadline: Micros) -> Micros {
    if longest_deadline == 0 {
        return MAX_ABORT_DELAY;
    }
    let before_kill = longest_deadline.saturating_add(CLOSE_LISTENER_AFTER - 2 * FINAL_WRITE_TIME);
    MAX_ABORT_DELAY.min(before_kill)
}
