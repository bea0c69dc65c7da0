//! The timing of a graceful shutdown, counted from SIGTERM.

use wharfplank_routing::Micros;

/// The listener closes after this time; until then new connections are still accepted for one answer each.
pub const CLOSE_LISTENER_AFTER: Micros = 700_000;
/// Open requests are given up after this time at the latest.
pub const MAX_GIVE_UP_DELAY: Micros = 3_200_000;
/// How long the last answers may take to be written once the requests are given up.
pub const FINAL_WRITE_TIME: Micros = 100_000;

/// How long after SIGTERM open requests are given up, where `longest_deadline` is the longest of any class, in
/// microseconds, or 0 where no deadline is configured.
///
/// SIGKILL comes no sooner than the longest deadline and [`CLOSE_LISTENER_AFTER`] later; requests that arrived after
/// [`CLOSE_LISTENER_AFTER`] and are still open then are lost.
pub fn give_up_delay(longest_deadline: Micros) -> Micros {
    if longest_deadline == 0 {
        return MAX_GIVE_UP_DELAY;
    }
    let before_kill = longest_deadline.saturating_add(CLOSE_LISTENER_AFTER - 2 * FINAL_WRITE_TIME);
    MAX_GIVE_UP_DELAY.min(before_kill)
}
