//! Tests of the hybrid clock: its timestamps increase even if the wall clock stands still or goes back.

use wharfplank_shared_state::{HybridClock, HybridTimestamp, MAX_CLOCK_SKEW};

#[test]
fn timestamps_increase_and_exceed_observed_ones() {
    let mut clock = HybridClock::new(1);
    let mut last = clock.issue(100);
    for now in [100, 50, 101, 101, 0] {
        let next = clock.issue(now);
        assert!(next > last);
        last = next;
    }
    let observed = HybridTimestamp { wall: 500, counter: 7, process: 2 };
    assert!(clock.observe(observed, 100).is_ok());
    assert!(clock.issue(100) > observed);
    let ahead = HybridTimestamp { wall: 101 + MAX_CLOCK_SKEW, counter: 0, process: 2 };
    assert!(clock.observe(ahead, 100).is_err(), "accepted a timestamp beyond the allowed clock skew");
    assert!(clock.issue(100).wall < ahead.wall);
}
