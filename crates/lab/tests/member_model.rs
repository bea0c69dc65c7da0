//! The model of the stand-in members, in virtual time.

use wharfplank_lab::fleet::{Fleet, Verdict};
use wharfplank_lab::timeline::{Kind, Timeline, Trouble};

/// Guards against a script that begins later than the members' clock and takes their log with it: positions ahead
/// of the clock count as none at a router, and no read could be stale.
#[test]
fn a_script_that_waits_moves_no_position() {
    let timeline = Timeline {
        seconds: 10,
        rate: 1,
        proxies: 1,
        groups: 1,
        members: 3,
        seed: 1,
        troubles: vec![Trouble { kind: Kind::Lose, at: 2, lasts: 5, on: "a".to_string(), percent: 100 }],
    };
    let begin = 1_000_000_000;
    let mut fleet = Fleet::new(&timeline, begin);
    fleet.begin(begin + 60_000_000);
    let mut now = begin;
    for ms in 0..60_000 + 4_000 {
        now = begin + ms * 1000;
        fleet.tick(now);
        assert!((0..3).all(|m| fleet.position_ms(m) <= now / 1000));
    }
    assert!(fleet.members[0].silent, "the primary's zone is lost 2 s after the script began");
    let lag = now / 1000 - fleet.position_ms(1);
    assert!((1_900..2_100).contains(&lag), "a replica without a primary stands still: {lag} ms");
    assert_eq!(fleet.asked(1, 0, None, None), Verdict::At(fleet.members[1].free[0]));
    assert_eq!(fleet.stale, 1, "a bounded read of it is stale");
}
