//! Tests of the vote that a zone's failure detector derives from the outcomes of the zone's members.

use wharfplank_failover::MemberOutcome::{Answered, Silent};
use wharfplank_failover::{FailoverConfig, Vote, ZoneFailureDetector, MAX_OUTCOMES};

#[test]
fn silence_of_two_members_is_down_and_an_answer_is_up() {
    let config = FailoverConfig::default();
    let mut zone = ZoneFailureDetector::default();
    zone.record(0, 1, Silent, &config);
    zone.record(10, 1, Silent, &config);
    zone.record(20, 1, Silent, &config);
    assert_eq!(zone.vote(20, &config), Vote::Unknown, "one silent member does not make the zone Down");
    zone.record(30, 2, Silent, &config);
    assert_eq!(zone.vote(30, &config), Vote::Down);
    zone.record(40, 3, Answered, &config);
    assert_eq!(zone.vote(40, &config), Vote::Up, "one answer in the window makes the zone Up");
}

#[test]
fn timeouts_of_requests_before_the_last_answer_are_ignored() {
    let config = FailoverConfig::default();
    let mut zone = ZoneFailureDetector::default();
    let returned_at = 5_000_000;
    zone.record(returned_at, 3, Answered, &config);
    let after_window = returned_at + config.window + 10;
    (0..9)
        .for_each(|i| zone.record_timeout(after_window + i, returned_at - 1_000_000, i as u32 % 3, &config));
    assert_eq!(
        zone.vote(after_window + 9, &config),
        Vote::Up,
        "sent while the zone was lost, timed out after its return"
    );
    (0..9).for_each(|i| zone.record_timeout(after_window + 20 + i, returned_at + 1, i as u32 % 3, &config));
    assert_eq!(zone.vote(after_window + 30, &config), Vote::Down, "sent after the zone's last answer");
}

#[test]
fn unconfirmed_vote_expires() {
    let config = FailoverConfig::default();
    let mut zone = ZoneFailureDetector::default();
    for (at, member) in [(0, 1), (1, 2), (2, 1)] {
        zone.record(at, member, Silent, &config);
    }
    assert_eq!(zone.vote(config.vote_ttl, &config), Vote::Down);
    assert_eq!(zone.vote(config.vote_ttl + 3, &config), Vote::Unknown);
    zone.record(config.vote_ttl + 4, 3, Answered, &config);
    let without_traffic = config.vote_ttl + 4 + config.window + config.vote_ttl + 1;
    assert_eq!(
        zone.vote(without_traffic, &config),
        Vote::Up,
        "an Up vote is valid for longer, because a lack of traffic is not evidence"
    );
    assert_eq!(zone.vote(config.vote_ttl + 5 + config.up_vote_ttl, &config), Vote::Unknown);
}

#[test]
fn outcome_count_is_bounded() {
    let config = FailoverConfig::default();
    let mut zone = ZoneFailureDetector::default();
    (0..10_000).for_each(|i| zone.record(0, i, Silent, &config));
    assert_eq!(zone.outcome_count(), MAX_OUTCOMES);
}
