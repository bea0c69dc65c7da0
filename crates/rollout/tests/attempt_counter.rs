//! The attribution of a proxy's attempts to the upgraded members and the others.

use wharfplank_rollout::{
    AttemptCounter, AttemptCounts, FleetView, MemberView, NodeId, Rollout, RolloutId, UpgradeState,
};

fn view(answered: [u64; 3]) -> FleetView {
    let member = |answered| MemberView {
        incarnation: 9,
        healthy: true,
        attempts: AttemptCounts { answered, failed: answered / 10, late: 0 },
        ..MemberView::default()
    };
    let members = answered.into_iter().enumerate().map(|(id, answered)| (id as NodeId, member(answered)));
    FleetView { at: 0, members: members.collect() }
}

/// Guards against counting answers from before a rollout, answers of members that are being restarted,
/// and answers twice.
#[test]
fn each_answer_counts_once_on_its_side() {
    let id = RolloutId { started_ms: 1, started_by: 1 };
    let mut rollout = Rollout::new(id, 7, 6, &[0, 1, 2], 1);
    rollout.advance(0, UpgradeState::Upgraded(9));
    rollout.advance(1, UpgradeState::Ordered(9));
    let mut counter = AttemptCounter::default();
    counter.count(1, &view([1000, 1000, 1000]), std::iter::empty());
    let counts = counter.count(1, &view([1010, 1020, 1040]), [&rollout].into_iter());
    assert_eq!((counts[0].1.canary.answered, counts[0].1.baseline.answered), (10, 40));
    assert_eq!((counts[0].1.canary.failed, counts[0].1.baseline.failed), (1, 4));
    let counts = counter.count(1, &view([1010, 1020, 1040]), [&rollout].into_iter());
    assert_eq!((counts[0].1.canary.answered, counts[0].1.baseline.answered), (10, 40), "counted twice");
    // Another process with the same rank continues from the published counts.
    rollout.record_counts(1, &counts[0].1);
    let mut restarted = AttemptCounter::default();
    restarted.count(1, &view([5, 5, 5]), std::iter::empty());
    let counts = restarted.count(1, &view([6, 6, 6]), [&rollout].into_iter());
    assert_eq!((counts[0].1.canary.answered, counts[0].1.baseline.answered), (11, 41));
}
