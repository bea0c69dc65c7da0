//! Tests of the vote that a zone's failure detector derives from the outcomes of the zone's members.

use wharfplank_failover::MemberOutcome::{Answered, Silent};
use wharfplank_failover::{FailoverTerms, Vote, ZoneFailureDetector, MAX_OUTCOMES};

#[test]
fn silence_of_two_members_is_down_and_an_answer_is_up() {
    let terms = FailoverTerms::default();
    let mut zone = ZoneFailureDetector::default();
    zone.record(0, 1, Silent, &terms);
    zone.record(10, 1, Silent, &terms);
    zone.record(20, 1, Silent, &terms);
    assert_eq!(zone.vote(20, &terms), Vote::Unknown, "one silent member does not make the zone Down");
    zone.record(30, 2, Silent, &terms);
    assert_eq!(zone.vote(30, &terms), Vote::Down);
    zone.record(40, 3, Answered, &terms);
    assert_eq!(zone.vote(40, &terms), Vote::Up, "one answer in the window makes the zone Up");
}

#[test]
fn timeouts_of_requests_before_the_last_answer_are_ignored() {
    let terms = FailoverTerms::default();
    let mut zone = ZoneFailureDetector::default();
    let returned_at = 5_000_000;
    zone.record(returned_at, 3, Answered, &terms);
    let after_window = returned_at + terms.window + 10;
    (0..9).for_each(|i| zone.record_timeout(after_window + i, returned_at - 1_000_000, i as u32 % 3, &terms));
    assert_eq!(
        zone.vote(after_window + 9, &terms),
        Vote::Up,
        "sent while the zone was lost, timed out after its return"
    );
    (0..9).for_each(|i| zone.record_timeout(after_window + 20 + i, returned_at + 1, i as u32 % 3, &terms));
    assert_eq!(zone.vote(after_window + 30, &terms), Vote::Down, "sent after the zone's last answer");
}

#[test]
fn unconfirmed_vote_expires() {
    let terms = FailoverTerms::default();
    let mut zone = ZoneFailureDetector::default();
    for (at, member) in [(0, 1), (1, 2), (2, 1)] {
        zone.record(at, member, Silent, &terms);
    }
    assert_eq!(zone.vote(terms.vote_ttl, &terms), Vote::Down);
    assert_eq!(zone.vote(terms.vote_ttl + 3, &terms), Vote::Unknown);
    zone.record(terms.vote_ttl + 4, 3, Answered, &terms);
    let without_traffic = terms.vote_ttl + 4 + terms.window + terms.vote_ttl + 1;
    assert_eq!(
        zone.vote(without_traffic, &terms),
        Vote::Up,
        "an Up vote is valid for longer, because a lack of traffic is not evidence"
    );
    assert_eq!(zone.vote(terms.vote_ttl + 5 + terms.up_vote_ttl, &terms), Vote::Unknown);
}

#[test]
fn outcome_count_is_bounded() {
    let terms = FailoverTerms::default();
    let mut zone = ZoneFailureDetector::default();
    (0..10_000).for_each(|i| zone.record(0, i, Silent, &terms));
    assert_eq!(zone.outcome_count(), MAX_OUTCOMES);
}
