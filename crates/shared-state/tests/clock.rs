//! Timestamps of the hybrid clock grow whatever the wall clock does.

use wharfplank_shared_state::{HybridClock, HybridTimestamp, MAX_CLOCK_SKEW};

#[test]
fn timestamps_only_grow_whatever_the_wall_clock_does_and_pass_all_that_were_observed() {
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
    assert!(clock.observe(ahead, 100).is_err(), "accepted a timestamp from too far ahead");
    assert!(clock.issue(100).wall < ahead.wall);
}
