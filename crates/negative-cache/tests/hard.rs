//! The hard cases, each over seeded runs: no answer of "missing" may contradict the store's history, and facts must
//! still move once the trouble is over.

mod world;

use rand::Rng;
use wharfplank_negative_cache::{Micros, Terms};
use world::{Plan, World, SECOND};

type Case = (&'static str, fn(Plan) -> Plan, fn(&mut World));

/// Until the banks are open and seal.
const START: Micros = 15 * SECOND;

const CASES: [Case; 11] = [
    ("calm", |plan| plan, |_| {}),
    (
        "cut off",
        |plan| plan,
        |w| {
            // Two go on with their clients and members, reached by no proxy and no bank.
            w.cut.extend([0, 1]);
            w.run(20 * SECOND);
            w.cut.clear();
        },
    ),
    (
        "joined",
        |plan| plan,
        |w| {
            for _ in 0..10 {
                w.join();
                w.run(SECOND);
            }
        },
    ),
    (
        "paused",
        |plan| plan,
        |w| {
            for _ in 0..4 {
                let (n, span) = (w.rng.random_range(0..w.proxies.len()), w.rng.random_range(0..20 * SECOND));
                w.proxies[n].paused_until = w.now + span;
                w.run(4 * SECOND);
            }
        },
    ),
    (
        "lost, late, doubled, reordered",
        |plan| Plan { loss: 0.2, twice: 0.2, delay_most: 500_000, ..plan },
        |w| w.run(10 * SECOND),
    ),
    ("lagging", |plan| Plan { lag_most: 8 * SECOND, ..plan }, |w| w.run(10 * SECOND)),
    (
        "flooded",
        |plan| plan,
        |w| {
            (0..2).for_each(|n| w.proxies[n].flood = 3);
            w.run(10 * SECOND);
            w.proxies.iter_mut().for_each(|p| p.flood = 0);
        },
    ),
    (
        "killed",
        |plan| Plan { proxies: 10, ..plan },
        |w| {
            (0..7).for_each(|n| w.proxies[n].alive = false);
            w.run(12 * SECOND);
            (0..7).for_each(|n| w.restart(n, n % 2 == 0));
        },
    ),
    (
        "clocks apart",
        |plan| Plan { terms: Terms { apart: 500_000, ..plan.terms }, ..plan },
        |w| w.run(10 * SECOND),
    ),
    (
        "new primary",
        |plan| plan,
        |w| {
            for _ in 0..3 {
                w.run(3 * SECOND);
                let now = w.now;
                w.history.fail_over(now, 1_500_000);
            }
        },
    ),
    (
        "bank lost",
        |plan| plan,
        |w| {
            // Some have leave of one bank alone, some of another: what each was told is told by no other.
            w.deaf.extend([(0, 1), (0, 2), (1, 1), (1, 2), (2, 0), (2, 2), (3, 0), (3, 1)]);
            w.run(12 * SECOND);
            w.replace_bank(0, 3 * SECOND);
            w.run(5 * SECOND);
            w.replace_bank(1, 0);
            w.run(10 * SECOND);
        },
    ),
];

fn play(runs: u64) {
    std::thread::scope(|scope| {
        CASES.iter().for_each(|case| drop(scope.spawn(move || play_one(case, runs))));
    });
}

fn play_one((name, plan, trouble): &Case, runs: u64) {
    let (mut wrong, mut moved, mut answered, mut reads, mut after) = (vec![], 0, 0, 0, 0);
    for seed in 0..runs {
        let mut world = World::new(plan(Plan::default()), seed);
        world.run(START);
        trouble(&mut world);
        world.run(14 * SECOND);
        let before = world.sum.moved;
        world.run(3 * SECOND);
        let sum = world.sum;
        (answered, reads, moved) = (answered + sum.answered, reads + sum.reads, moved + sum.moved);
        after += sum.moved - before;
        wrong.extend(sum.wrong.into_iter().map(|w| format!("seed {seed}: {w}")));
    }
    let n = wrong.len();
    println!(
        "{name}: {runs} runs, {reads} reads of missing keys, {answered} answered, {moved} moved, {n} wrong"
    );
    assert!(wrong.is_empty(), "{name}: {:#?}", &wrong[..n.min(5)]);
    assert!(after > 0, "{name}: no fact moved any more after it");
}

#[test]
fn no_answer_contradicts_the_history() {
    play(2);
}

/// 200 runs of each. `make missing`.
#[test]
#[ignore = "takes minutes"]
fn no_answer_contradicts_the_history_in_many_runs() {
    play(200);
}
