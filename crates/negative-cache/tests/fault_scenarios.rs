//! Seeded simulations with one kind of fault each. No "missing" answer from the cache may contradict the
//! history of the database, and entries must advance again once the fault is over.

mod simulation;

use rand::Rng;
use simulation::{Params, Simulation, SECOND};
use wharfplank_negative_cache::{Micros, NegativeCacheConfig};

type Scenario = (&'static str, fn(Params) -> Params, fn(&mut Simulation));

/// The time until the lease servers grant leases and seal slots.
const START: Micros = 15 * SECOND;

const SCENARIOS: [Scenario; 11] = [
    ("calm", |params| params, |_| {}),
    (
        "partitioned",
        |params| params,
        |sim| {
            // Two proxies still reach their clients and members, but no other proxies and no lease servers.
            sim.partitioned.extend([0, 1]);
            sim.run(20 * SECOND);
            sim.partitioned.clear();
        },
    ),
    (
        "joined",
        |params| params,
        |sim| {
            for _ in 0..10 {
                sim.join();
                sim.run(SECOND);
            }
        },
    ),
    (
        "paused",
        |params| params,
        |sim| {
            for _ in 0..4 {
                let (n, pause) =
                    (sim.rng.random_range(0..sim.proxies.len()), sim.rng.random_range(0..20 * SECOND));
                sim.proxies[n].paused_until = sim.now + pause;
                sim.run(4 * SECOND);
            }
        },
    ),
    (
        "lost, late, duplicated, reordered",
        |params| Params { loss: 0.2, duplication: 0.2, max_delay: 500_000, ..params },
        |sim| sim.run(10 * SECOND),
    ),
    ("lagging", |params| Params { max_lag: 8 * SECOND, ..params }, |sim| sim.run(10 * SECOND)),
    (
        "flooded",
        |params| params,
        |sim| {
            (0..2).for_each(|n| sim.proxies[n].flood = 3);
            sim.run(10 * SECOND);
            sim.proxies.iter_mut().for_each(|p| p.flood = 0);
        },
    ),
    (
        "killed",
        |params| Params { proxies: 10, ..params },
        |sim| {
            (0..7).for_each(|n| sim.proxies[n].alive = false);
            sim.run(12 * SECOND);
            (0..7).for_each(|n| sim.restart(n, n % 2 == 0));
        },
    ),
    (
        "clock skew",
        |params| Params {
            config: NegativeCacheConfig { max_clock_skew: 500_000, ..params.config },
            ..params
        },
        |sim| sim.run(10 * SECOND),
    ),
    (
        "new primary",
        |params| params,
        |sim| {
            for _ in 0..3 {
                sim.run(3 * SECOND);
                let now = sim.now;
                sim.history.fail_over(now, 1_500_000);
            }
        },
    ),
    (
        "lease server lost",
        |params| params,
        |sim| {
            // Some proxies reach only one server, others only another. Their closed slots reach no other
            // server.
            sim.unreachable.extend([(0, 1), (0, 2), (1, 1), (1, 2), (2, 0), (2, 2), (3, 0), (3, 1)]);
            sim.run(12 * SECOND);
            sim.replace_server(0, 3 * SECOND);
            sim.run(5 * SECOND);
            sim.replace_server(1, 0);
            sim.run(10 * SECOND);
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

fn run_scenario((name, params, fault): &Scenario, runs: u64) {
    let (mut wrong_answers, mut advanced, mut answered, mut reads, mut advanced_after_fault) =
        (vec![], 0, 0, 0, 0);
    for seed in 0..runs {
        let mut simulation = Simulation::new(params(Params::default()), seed);
        simulation.run(START);
        fault(&mut simulation);
        simulation.run(14 * SECOND);
        let before = simulation.results.advanced;
        simulation.run(3 * SECOND);
        let results = simulation.results;
        answered += results.answered;
        reads += results.reads;
        advanced += results.advanced;
        advanced_after_fault += results.advanced - before;
        wrong_answers
            .extend(results.wrong_answers.into_iter().map(|answer| format!("seed {seed}: {answer}")));
    }
    let n = wrong_answers.len();
    println!(
        "{name}: {runs} runs, {reads} reads of missing keys, {answered} answered from the cache, \
         {advanced} by advanced entries, {n} wrong"
    );
    assert!(wrong_answers.is_empty(), "{name}: {:#?}", &wrong_answers[..n.min(5)]);
    assert!(advanced_after_fault > 0, "{name}: no entry advanced after the fault");
}

#[test]
fn answers_match_the_history_under_faults() {
    run_all(2);
}

/// 200 runs of each scenario. Run with `make missing`.
#[test]
#[ignore = "takes minutes"]
fn no_answer_contradicts_the_history_in_many_runs() {
    run_all(200);
}
