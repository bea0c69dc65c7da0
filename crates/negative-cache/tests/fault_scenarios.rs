//! Faults, each over seeded runs: no answer of "missing" may contradict the history of the database, and entries must
//! advance again once the fault is over.

mod simulation;

use rand::Rng;
use simulation::{Plan, Simulation, SECOND};
use wharfplank_negative_cache::{Micros, NegativeCacheConfig};

type Scenario = (&'static str, fn(Plan) -> Plan, fn(&mut Simulation));

/// Until the lease servers grant leases and seal slots.
const START: Micros = 15 * SECOND;

const SCENARIOS: [Scenario; 11] = [
    ("calm", |plan| plan, |_| {}),
    (
        "partitioned",
        |plan| plan,
        |w| {
            // Two go on with their clients and members, cut off from all other proxies and lease servers.
            w.partitioned.extend([0, 1]);
            w.run(20 * SECOND);
            w.partitioned.clear();
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
        |plan| Plan { loss: 0.2, duplication: 0.2, max_delay: 500_000, ..plan },
        |w| w.run(10 * SECOND),
    ),
    ("lagging", |plan| Plan { max_lag: 8 * SECOND, ..plan }, |w| w.run(10 * SECOND)),
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
        |plan| Plan { config: NegativeCacheConfig { max_clock_skew: 500_000, ..plan.config }, ..plan },
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
        "lease server lost",
        |plan| plan,
        |w| {
            // Some have a lease of one server alone, some of another: what they report reaches no other.
            w.unreachable.extend([(0, 1), (0, 2), (1, 1), (1, 2), (2, 0), (2, 2), (3, 0), (3, 1)]);
            w.run(12 * SECOND);
            w.replace_server(0, 3 * SECOND);
            w.run(5 * SECOND);
            w.replace_server(1, 0);
            w.run(10 * SECOND);
        },
    ),
];

fn run_all(runs: u64) {
    std::thread::scope(|scope| {
        for scenario in &SCENARIOS {
            scope.spawn(move || run_scenario(scenario, runs));
        }
    });
}

fn run_scenario((name, plan, fault): &Scenario, runs: u64) {
    let (mut wrong, mut advanced, mut answered, mut reads, mut after) = (vec![], 0, 0, 0, 0);
    for seed in 0..runs {
        let mut simulation = Simulation::new(plan(Plan::default()), seed);
        simulation.run(START);
        fault(&mut simulation);
        simulation.run(14 * SECOND);
        let before = simulation.tally.advanced;
        simulation.run(3 * SECOND);
        let tally = simulation.tally;
        answered += tally.answered;
        reads += tally.reads;
        advanced += tally.advanced;
        after += tally.advanced - before;
        wrong.extend(tally.wrong.into_iter().map(|w| format!("seed {seed}: {w}")));
    }
    let n = wrong.len();
    println!(
        "{name}: {runs} runs, {reads} reads of missing keys, {answered} answered, {advanced} advanced, {n} wrong"
    );
    assert!(wrong.is_empty(), "{name}: {:#?}", &wrong[..n.min(5)]);
    assert!(after > 0, "{name}: no entry advanced any more after it");
}

#[test]
fn no_answer_contradicts_the_history() {
    run_all(2);
}

/// 200 runs of each. `make missing`.
#[test]
#[ignore = "takes minutes"]
fn no_answer_contradicts_the_history_in_many_runs() {
    run_all(200);
}
