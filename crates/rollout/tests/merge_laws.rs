//! Differing copies of a rollout merge to the same state, in any order and any number of times.

use proptest::prelude::*;
use wharfplank_rollout::{AttemptCounts, CanaryCounts, HaltReason, Phase, Rollout, RolloutId, UpgradeState};

#[derive(Clone, Debug)]
enum Edit {
    Advance(u64, u8, u64),
    SetPhase(Phase),
    RecordCounts(u64, u64, u64),
    Analyze,
}

fn edit() -> impl Strategy<Value = Edit> {
    let phase = prop_oneof![
        Just(Phase::Forward),
        Just(Phase::Halted(HaltReason::Operator)),
        Just(Phase::Halted(HaltReason::Latency)),
        Just(Phase::RollingBack(HaltReason::OtherRollout(5))),
    ];
    prop_oneof![
        (0..8_u64, 0..5_u8, 1..4_u64).prop_map(|(id, state, incarnation)| Edit::Advance(
            id,
            state,
            incarnation
        )),
        phase.prop_map(Edit::SetPhase),
        (0..3_u64, 0..90_u64, 0..20_u64)
            .prop_map(|(proxy, answered, failed)| Edit::RecordCounts(proxy, answered, failed)),
        Just(Edit::Analyze),
    ]
}

fn rollout(edits: &[Edit]) -> Rollout {
    let id = RolloutId { started_ms: 1, started_by: 1 };
    let mut rollout = Rollout::new(id, 2, 1, &[0, 1, 2, 3, 4, 5, 6], 2);
    for edit in edits {
        match edit {
            Edit::Advance(id, state, incarnation) => {
                let state = match state {
                    0 => UpgradeState::Pending,
                    1 => UpgradeState::Ordered(*incarnation),
                    2 => UpgradeState::Upgraded(*incarnation),
                    3 => UpgradeState::RollbackOrdered(*incarnation),
                    _ => UpgradeState::RolledBack,
                };
                rollout.advance(*id, state);
            }
            Edit::SetPhase(phase) => {
                rollout.set_phase(*phase);
            }
            Edit::RecordCounts(proxy, answered, failed) => {
                let canary = AttemptCounts { answered: *answered, failed: *failed, late: 0 };
                let baseline = AttemptCounts { answered: 50, failed: 1, late: 2 };
                rollout.record_counts(*proxy, &CanaryCounts { canary, baseline });
            }
            Edit::Analyze => {
                let totals = rollout.total_counts();
                rollout.analysis.evaluate(rollout.current_wave(), &totals);
            }
        }
    }
    rollout
}

fn merged(into: &Rollout, other: &Rollout) -> Rollout {
    let mut into = into.clone();
    into.merge(other);
    into
}

proptest! {
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        a in proptest::collection::vec(edit(), 0..20),
        b in proptest::collection::vec(edit(), 0..20),
        c in proptest::collection::vec(edit(), 0..20),
    ) {
        let (a, b, c) = (rollout(&a), rollout(&b), rollout(&c));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        // No state is reverted. A rollback persists if another phase has the same revision number.
        let both = merged(&a, &b);
        prop_assert!((0..7).all(|id| both.state_of(id) >= a.state_of(id) && both.state_of(id) >= b.state_of(id)));
        prop_assert!(both.phase_revision >= a.phase_revision && both.phase_revision >= b.phase_revision);
    }
}
