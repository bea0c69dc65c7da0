//! The timing of a graceful shutdown.

use wharfplank_proxy::shutdown_timing::{
    abort_delay, CLOSE_LISTENER_AFTER, FINAL_WRITE_TIME, MAX_ABORT_DELAY,
};
use wharfplank_routing::Micros;

/// Guards against a shutdown that SIGKILL overtakes: it comes no sooner than the longest deadline, counted as
/// 3 s where it is longer, and 0.7 s more after SIGTERM.
#[test]
fn what_is_open_is_given_up_before_the_process_is_killed() {
    for longest in [1, 300_000, 1_000_000, 2_900_000, 3_000_000, 15_000_000, Micros::MAX] {
        let kill = longest.min(3_000_000) + CLOSE_LISTENER_AFTER;
        assert!(abort_delay(longest) + FINAL_WRITE_TIME < kill, "longest deadline {longest} us");
    }
    assert_eq!(abort_delay(0), MAX_ABORT_DELAY, "no deadline is named");
}
