//! The timing of a graceful shutdown.

use wharfplank_proxy::shutdown_timing::{
    abort_delay, CLOSE_LISTENER_AFTER, FINAL_WRITE_TIME, MAX_ABORT_DELAY,
};
use wharfplank_routing::Micros;

/// Guards against SIGKILL before the end of the shutdown: SIGKILL is sent no earlier than the longest
/// deadline, capped at 3 s, plus 0.7 s after SIGTERM.
#[test]
fn requests_are_aborted_before_sigkill() {
    for longest in [1, 300_000, 1_000_000, 2_900_000, 3_000_000, 15_000_000, Micros::MAX] {
        let kill_at = longest.min(3_000_000) + CLOSE_LISTENER_AFTER;
        assert!(abort_delay(longest) + FINAL_WRITE_TIME < kill_at, "longest deadline {longest} us");
    }
    assert_eq!(abort_delay(0), MAX_ABORT_DELAY, "no deadline is configured");
}
