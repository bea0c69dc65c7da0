//! Copies of a release that differ merge to one, in whatever order and however often they meet.

use proptest::prelude::*;
use wharfplank_rollout::{Course, Plan, PlanId, Reason, Step, Tally, Trial};

#[derive(Clone, Debug)]
enum Deed {
    Step(u64, u8, u64),
    Turn(Course),
    Tally(u64, u64, u64),
    Look,
}

fn deed() -> impl Strategy<Value = Deed> {
    let course = prop_oneof![
        Just(Course::Forward),
        Just(Course::Halted(Reason::Operator)),
        Just(Course::Halted(Reason::Late)),
        Just(Course::Back(Reason::OtherRelease(5))),
    ];
    prop_oneof![
        (0..8_u64, 0..5_u8, 1..4_u64).prop_map(|(id, step, launch)| Deed::Step(id, step, launch)),
        course.prop_map(Deed::Turn),
        (0..3_u64, 0..90_u64, 0..20_u64).prop_map(|(proxy, answers, bad)| Deed::Tally(proxy, answers, bad)),
        Just(Deed::Look),
    ]
}

fn plan(deeds: &[Deed]) -> Plan {
    let mut plan = Plan::new(PlanId { started_ms: 1, by: 1 }, 2, 1, &[0, 1, 2, 3, 4, 5, 6], 2);
    for deed in deeds {
        match deed {
            Deed::Step(id, step, launch) => {
                let step = match step {
                    0 => Step::Waiting,
                    1 => Step::Ordered(*launch),
                    2 => Step::Released(*launch),
                    3 => Step::OrderedBack(*launch),
                    _ => Step::Undone,
                };
                plan.advance(*id, step);
            }
            Deed::Turn(course) => {
                plan.turn(*course);
            }
            Deed::Tally(proxy, answers, bad) => {
                let released = Trial { answers: *answers, refused: *bad, late: 0 };
                plan.tallied(*proxy, &Tally { released, others: Trial { answers: 50, refused: 1, late: 2 } });
            }
            Deed::Look => {
                let sums = plan.tally();
                plan.evidence.look(plan.wave(), &sums);
            }
        }
    }
    plan
}

fn merged(into: &Plan, other: &Plan) -> Plan {
    let mut into = into.clone();
    into.merge(other);
    into
}

proptest! {
    #[test]
    fn copies_merge_to_one(
        a in proptest::collection::vec(deed(), 0..20),
        b in proptest::collection::vec(deed(), 0..20),
        c in proptest::collection::vec(deed(), 0..20),
    ) {
        let (a, b, c) = (plan(&a), plan(&b), plan(&c));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        // No step is taken back, and a word to go back stays whatever else was said by the same number.
        let both = merged(&a, &b);
        prop_assert!((0..7).all(|id| both.step(id) >= a.step(id) && both.step(id) >= b.step(id)));
        prop_assert!(both.control >= a.control && both.control >= b.control);
    }
}
