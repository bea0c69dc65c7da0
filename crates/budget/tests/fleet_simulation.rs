//! Simulation of many proxies and a few allocators in virtual time, each with its own clock, on a network
//! that loses, duplicates, delays and partitions messages. In seeded runs of each fault case, the quotas in
//! force must never add up to more than the limit, and the fleet must not spend more than the limit in any
//! second. The simulation counts units and measures nothing on the machine's clock.

mod simulation;

use simulation::{Case, Simulation, ALLOCATORS, BUDGET, S};
use wharfplank_budget::{LeaseHolder, LeaseTerms, Micros};

#[test]
fn quotas_and_spending_stay_within_limit() {
    run_fault_cases(20);
}

/// The same check with more runs. Run by `make model`.
#[test]
#[ignore = "takes a minute"]
fn quotas_and_spending_stay_within_limit_over_200_runs() {
    run_fault_cases(200);
}

fn run_fault_cases(runs: u64) {
    let cases = [
        Case::NoFault,
        Case::Kill70Percent,
        Case::Join,
        Case::Partition,
        Case::ProcessPause,
        Case::ClockSkew,
        Case::DemandShift,
        Case::PacketLoss,
    ];
    for case in cases {
        let mut breaches = 0;
        let mut spent = 0.0;
        let mut spent_by_equal_split = 0.0;
        let mut spendable = 0.0;
        for seed in 0..runs {
            let mut run = Simulation::new(10, case, seed);
            run.run_case(case);
            breaches += run.breaches;
            spent += run.spent as f64;
            spent_by_equal_split += run.spent_by_equal_split;
            spendable += (run.limit as f64 * run.now as f64 / 1e6).min(run.attempted as f64);
        }
        println!(
            "{case:?}: {breaches} breaches in {runs} runs; spent {:.2} of the spendable units, an equal \
             split {:.2}",
            spent / spendable,
            spent_by_equal_split / spendable
        );
        assert_eq!(breaches, 0, "{case:?}");
    }
}

/// Compares the spending with that of an equal, fixed split, without faults and after all proxies have
/// received their quotas.
#[test]
fn quotas_follow_uneven_demand() {
    for count in [3, 30, 100] {
        let mut run = Simulation::new(count, Case::NoFault, 5);
        while run.now < 10 * S {
            run.step();
        }
        let (spent, split, start) = (run.spent, run.spent_by_equal_split, run.now);
        while run.now < 30 * S {
            run.step();
        }
        let limit = run.limit as f64 * (run.now - start) as f64 / 1e6;
        let used = (run.spent - spent) as f64 / limit;
        let equal = (run.spent_by_equal_split - split) / limit;
        println!("{count} proxies: spent {used:.2} of the limit, an equal split {equal:.2}");
        assert!(run.breaches == 0);
        assert!(count == 3 || used >= 0.9, "{count} proxies spent {used:.2} of the limit");
    }
}

/// Steps until the condition holds, for at most 30 s of virtual time. Returns the time taken.
fn step_until(run: &mut Simulation, condition: &dyn Fn(&Simulation) -> bool) -> Micros {
    let start = run.now;
    while !condition(run) && run.now - start < 30 * S {
        run.step();
    }
    run.now - start
}

/// Measures how long the quotas take to follow a proxy that joins, and one with a large demand that stops.
#[test]
fn quotas_follow_a_join_and_a_stop() {
    const RUNS: i64 = 5;
    for count in [3, 30, 100] {
        let mut until_first_quota = 0;
        let mut until_most_demand = 0;
        let mut until_reassigned = 0;
        for seed in 0..RUNS {
            let mut run = Simulation::new(count, Case::NoFault, seed as u64);
            // With three proxies, the last one is an allocator too. It never returns, so two allocators are
            // left.
            let joining = count - 1;
            run.kill(joining);
            step_until(&mut run, &|run| run.now >= 15 * S);
            let now = run.clock(joining);
            run.nodes[joining].holder =
                Some(LeaseHolder::new(9_999, LeaseTerms::default(), ALLOCATORS, vec![BUDGET], now));
            let wanted = (run.nodes[joining].demand * 0.9) as u64;
            until_first_quota += step_until(&mut run, &|run| run.quota(joining) > 0);
            until_most_demand += step_until(&mut run, &|run| run.quota(joining) >= wanted);
            let all = |run: &Simulation| (0..count).map(|index| run.quota(index)).sum::<u64>();
            // The proxy at index 5 has the same demand as the first, and is not an allocator.
            let stopping = if count > 5 { 5 } else { count - 1 };
            let (before, freed) = (all(&run), run.quota(stopping));
            run.nodes[stopping].holder = None;
            until_reassigned += step_until(&mut run, &|run| all(run) >= before - freed / 10);
            assert_eq!(run.breaches, 0);
        }
        let mean_ms = |sum: Micros| sum / RUNS / 1_000;
        let first = mean_ms(until_first_quota);
        let most = mean_ms(until_first_quota + until_most_demand);
        let reassigned = mean_ms(until_reassigned);
        println!(
            "{count} proxies: a joining one gets a quota after {first} ms and 90% of its demand after {most} \
             ms; 90% of a stopped one's quota is reassigned after {reassigned} ms"
        );
        assert!(
            most < 30_000 && reassigned < 30_000,
            "{count} proxies: quotas took {most} ms after a join and {reassigned} ms after a stop"
        );
    }
}
