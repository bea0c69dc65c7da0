//! What the detector of one zone makes of the outcomes of its members.

use wharfplank_failover::MemberOutcome::{Answered, Silent};
use wharfplank_failover::{FailoverTerms, Vote, ZoneFailureDetector, MAX_OUTCOMES};

#[test]
fn silence_of_two_members_with_no_answer_is_down_and_one_answer_is_up() {
    let terms = FailoverTerms::default();
    let mut zone = ZoneFailureDetector::default();
    zone.record(0, 1, Silent, &terms);
    zone.record(10, 1, Silent, &terms);
    zone.record(20, 1, Silent, &terms);
    assert_eq!(zone.vote(20, &terms), Vote::Unknown, "one silent member is that member's fault");
    zone.record(30, 2, Silent, &terms);
    assert_eq!(zone.vote(30, &terms), Vote::Down);
    zone.record(40, 3, Answered, &terms);
    assert_eq!(zone.vote(40, &terms), Vote::Up, "one answer in the window speaks for the zone");
}

#[test]
fn timeouts_of_requests_from_before_the_last_answer_do_not_count_against_the_zone() {
    let terms = FailoverTerms::default();
    let mut zone = ZoneFailureDetector::default();
    let back = 5_000_000;
    zone.record(back, 3, Answered, &terms);
    let late = back + terms.window + 10;
    (0..9).for_each(|i| zone.record_timeout(late + i, back - 1_000_000, i as u32 % 3, &terms));
    assert_eq!(zone.vote(late + 9, &terms), Vote::Up, "sent while it was lost, ended after its return");
    (0..9).for_each(|i| zone.record_timeout(late + 20 + i, back + 1, i as u32 % 3, &terms));
    assert_eq!(zone.vote(late + 30, &terms), Vote::Down, "sent after its last answer");
}

#[test]
fn a_vote_that_nothing_confirms_expires() {
    let terms = FailoverTerms::default();
    let mut zone = ZoneFailureDetector::default();
    for (at, member) in [(0, 1), (1, 2), (2, 1)] {
        zone.record(at, member, Silent, &terms);
    }
    assert_eq!(zone.vote(terms.vote_ttl, &terms), Vote::Down);
    assert_eq!(zone.vote(terms.vote_ttl + 3, &terms), Vote::Unknown);
    zone.record(terms.vote_ttl + 4, 3, Answered, &terms);
    let quiet = terms.vote_ttl + 4 + terms.window + terms.vote_ttl + 1;
    assert_eq!(
        zone.vote(quiet, &terms),
        Vote::Up,
        "an Up vote is valid for longer: no traffic is no evidence"
    );
    assert_eq!(zone.vote(terms.vote_ttl + 5 + terms.up_vote_ttl, &terms), Vote::Unknown);
}

#[test]
fn the_outcomes_kept_of_a_zone_are_bounded() {
    let terms = FailoverTerms::default();
    let mut zone = ZoneFailureDetector::default();
    (0..10_000).for_each(|i| zone.record(0, i, Silent, &terms));
    assert_eq!(zone.outcome_count(), MAX_OUTCOMES);
}
