//! Many proxies and a few allocators in virtual time, each with a clock of its own, on a network that loses, duplicates,
//! delays and partitions: whatever happens, the quotas in force never add up to more than the limit, and in no second
//! does the fleet spend more than the limit, over seeded runs of each hard case. Counts only.

mod simulation;

use simulation::{Case, Simulation, ALLOCATORS, BUDGET, S};
use wharfplank_budget::{LeaseHolder, LeaseTerms, Micros};

#[test]
fn quotas_and_spending_stay_within_the_limit_in_each_hard_case() {
    play_hard_cases(20);
}

/// `make model`.
#[test]
#[ignore = "takes a minute"]
fn quotas_and_spending_stay_within_the_limit_over_200_runs_of_each_hard_case() {
    play_hard_cases(200);
}

fn play_hard_cases(runs: u64) {
    let cases = [
        Case::Calm,
        Case::Kill70,
        Case::Join,
        Case::Split,
        Case::Pause,
        Case::Skew,
        Case::Shift,
        Case::Lossy,
    ];
    for case in cases {
        let mut breaches = 0;
        let mut spent = 0.0;
        let mut spent_by_equal_split = 0.0;
        let mut spendable = 0.0;
        for seed in 0..runs {
            let mut run = Simulation::new(10, case, seed);
            run.play(case);
            breaches += run.breaches;
            spent += run.spent as f64;
            spent_by_equal_split += run.spent_by_equal_split;
            spendable += (run.limit as f64 * run.now as f64 / 1e6).min(run.wanted as f64);
        }
        println!(
            "{case:?}: {breaches} breaches in {runs} runs; spent {:.2} of the limit where more was wanted, an equal \
             split {:.2}",
            spent / spendable,
            spent_by_equal_split / spendable
        );
        assert_eq!(breaches, 0, "{case:?}");
    }
}

/// In calm, once all have their quotas, by demand: against an equal, fixed split.
#[test]
fn quotas_follow_uneven_demand() {
    for count in [3, 30, 100] {
        let mut run = Simulation::new(count, Case::Calm, 5);
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
        println!("{count} proxies: {used:.2} of the limit spent, {equal:.2} by an equal split");
        assert!(run.breaches == 0);
        assert!(count == 3 || used >= 0.9, "{count} proxies spent {used:.2} of the limit");
    }
}

/// Steps until the condition holds, 30 s at most; returns how long that took.
fn step_until(run: &mut Simulation, condition: &dyn Fn(&Simulation) -> bool) -> Micros {
    let start = run.now;
    while !condition(run) && run.now - start < 30 * S {
        run.step();
    }
    run.now - start
}

/// How long until the quotas in force follow one proxy that joins, and one that wanted much and dies.
#[test]
fn quotas_follow_a_join_and_a_death() {
    const RUNS: i64 = 5;
    for count in [3, 30, 100] {
        let mut until_first = 0;
        let mut until_most = 0;
        let mut until_reassigned = 0;
        for seed in 0..RUNS {
            let mut run = Simulation::new(count, Case::Calm, seed as u64);
            // The last of three is an allocator too: it is away for good, and two allocators are left.
            let joins = count - 1;
            run.kill(joins);
            step_until(&mut run, &|run| run.now >= 15 * S);
            let now = run.clock(joins);
            run.nodes[joins].holder =
                Some(LeaseHolder::new(9_999, LeaseTerms::default(), ALLOCATORS, vec![BUDGET], now));
            let wanted = (run.nodes[joins].demand * 0.9) as u64;
            until_first += step_until(&mut run, &|run| run.quota(joins) > 0);
            until_most += step_until(&mut run, &|run| run.quota(joins) >= wanted);
            let all = |run: &Simulation| (0..count).map(|index| run.quota(index)).sum::<u64>();
            // The fifth proxy wants as much as the first, and is no allocator.
            let dies = if count > 5 { 5 } else { count - 1 };
            let (before, freed) = (all(&run), run.quota(dies));
            run.nodes[dies].holder = None;
            until_reassigned += step_until(&mut run, &|run| all(run) >= before - freed / 10);
            assert_eq!(run.breaches, 0);
        }
        let mean_ms = |sum: Micros| sum / RUNS / 1_000;
        let first = mean_ms(until_first);
        let most = mean_ms(until_first + until_most);
        let reassigned = mean_ms(until_reassigned);
        println!(
            "{count} proxies: one that joins has a quota after {first} ms and nine tenths of what it wants after \
             {most} ms; nine tenths of what one had that dies are others' {reassigned} ms later"
        );
        assert!(most < 30_000 && reassigned < 30_000, "{count} proxies: quotas do not follow");
    }
}
