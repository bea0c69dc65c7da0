//! Measurements of rollouts under daily traffic: the duration of sound ones, how early bad ones halt, and
//! how often sound ones do.

use crate::fleet::{BAD_UNDER_LOAD, SECOND};
use crate::hard_cases::{run_seeds, start_rollout};
use crate::simulation::{Setup, Simulation};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wharfplank_rollout::{
    AttemptCounts, CanaryAnalysis, CanaryCounts, CanaryVerdict, ControllerAction, DisruptionBudget, Micros,
    Phase, RolloutConfig, RolloutId, Version,
};

const GROUPS: u32 = 24;
const MEMBERS_PER_GROUP: u32 = 5;
const MEMBERS: usize = (GROUPS * MEMBERS_PER_GROUP) as usize;
/// The mean number of answers per second of one member.
const ANSWERS: f64 = 30.0;
/// The fractions of failed and late answers of a sound member. They are three times as high in busy
/// periods.
const FAILED: f64 = 0.004;
const LATE: f64 = 0.01;
/// The additional fraction of failed answers of a bad version in busy periods.
const BAD_FAILED: f64 = 0.15;
/// The longest time for which a rollout is simulated.
const LONGEST_ROLLOUT: Micros = 3_000 * SECOND;

fn poisson(rng: &mut SmallRng, mean: f64) -> u64 {
    let limit = (-mean).exp();
    let mut count = 0;
    let mut product = rng.random::<f64>();
    while product > limit {
        count += 1;
        product *= rng.random::<f64>();
    }
    count
}

fn is_busy(now: Micros) -> bool {
    now / (60 * SECOND) % 2 == 1
}

/// Returns the outcomes of a member's attempts within one second. Sound members differ by a constant
/// factor, and each member has seconds in which it stalls.
fn attempts_in_second(rng: &mut SmallRng, now: Micros, error_factor: f64, version: Version) -> AttemptCounts {
    let (load, busy_factor) = if is_busy(now) { (1.3, 3.0) } else { (0.7, 1.0) };
    let stall_factor = if rng.random::<f64>() < 0.005 { 10.0 } else { 1.0 };
    let additional_failures = if is_busy(now) && version == BAD_UNDER_LOAD { BAD_FAILED } else { 0.0 };
    let answered = poisson(rng, ANSWERS * load);
    let count_bad = |rng: &mut SmallRng, probability: f64| {
        (0..answered).filter(|_| rng.random::<f64>() < probability).count() as u64
    };
    AttemptCounts {
        answered,
        failed: count_bad(rng, FAILED * busy_factor * error_factor + additional_failures),
        late: count_bad(rng, LATE * busy_factor * error_factor * stall_factor),
    }
}

/// Returns each member's factor on the mean fractions of failed and late answers.
fn error_factors(rng: &mut SmallRng) -> Vec<f64> {
    (0..MEMBERS).map(|_| rng.random_range(0.7..1.4)).collect()
}

/// Returns the attempts as counts of the upgraded members or of the others.
fn counts(attempts: AttemptCounts, is_upgraded: bool) -> CanaryCounts {
    if is_upgraded {
        CanaryCounts { canary: attempts, ..CanaryCounts::default() }
    } else {
        CanaryCounts { baseline: attempts, ..CanaryCounts::default() }
    }
}

struct Outcome {
    duration: Micros,
    /// The time that the restarts alone take if the budget is always fully used.
    min_duration: f64,
    halted: Option<Phase>,
    /// The members that ran the new version at any time.
    touched: usize,
    /// Whether all members run the expected version and serve.
    is_settled: bool,
    violations: usize,
}

/// The traffic of a fleet, and the counts that its proxies make of it.
struct Traffic {
    /// The offset in the cycle of busy and quiet minutes at which the simulation starts.
    cycle_offset: Micros,
    error_factors: Vec<f64>,
    counts: Vec<CanaryCounts>,
    /// The members that ran the new version at any time.
    touched: [bool; MEMBERS],
}

impl Traffic {
    fn new(simulation: &mut Simulation) -> Traffic {
        Traffic {
            cycle_offset: simulation.rng.random_range(0..120) * SECOND,
            error_factors: error_factors(&mut simulation.rng),
            counts: vec![CanaryCounts::default(); simulation.proxies.len()],
            touched: [false; MEMBERS],
        }
    }

    /// Simulates the traffic of one second.
    fn simulate_second(&mut self, simulation: &mut Simulation, rollout: RolloutId, target: Version) {
        for index in 0..MEMBERS {
            let member = &simulation.fleet.members[index];
            let version = member.version;
            let serves = member.serves(simulation.now);
            self.touched[index] |= version == target;
            if serves {
                let now = simulation.now + self.cycle_offset;
                let attempts =
                    attempts_in_second(&mut simulation.rng, now, self.error_factors[index], version);
                let proxy = simulation.rng.random_range(0..self.counts.len());
                self.counts[proxy] = self.counts[proxy].plus(&counts(attempts, version == target));
            }
        }
        for (proxy, counts) in simulation.proxies.iter_mut().zip(&self.counts) {
            proxy.peer.record_counts(rollout, counts);
        }
    }
}

fn simulate_rollout(target: Version, seed: u64) -> Outcome {
    let budget = DisruptionBudget { per_group: 1, per_zone: 3, fleet: 6, permit_servers: 3 };
    let mut simulation = Simulation::new(Setup {
        groups: GROUPS,
        members_per_group: MEMBERS_PER_GROUP,
        budget,
        restart_time: (20 * SECOND, 40 * SECOND),
        proxies: 5,
        seed,
    });
    simulation.set_config(RolloutConfig::default());
    while simulation.now < 7 * SECOND {
        simulation.step();
    }
    let rollout = start_rollout(&mut simulation, 1, target, 1);
    let started_at = simulation.now;
    let mut traffic = Traffic::new(&mut simulation);
    while simulation.now < started_at + LONGEST_ROLLOUT && !is_finished(&simulation, rollout) {
        simulation.step();
        if simulation.now % SECOND == 0 {
            traffic.simulate_second(&mut simulation, rollout, target);
        }
    }
    let halted = simulation.log.iter().find_map(|entry| match entry.action {
        ControllerAction::PhaseChanged(phase) => Some(phase),
        _ => None,
    });
    let expected_version = if halted.is_some() { 1 } else { target };
    let fleet = &simulation.fleet;
    Outcome {
        duration: simulation.now - started_at,
        min_duration: fleet.outage_time as f64 / f64::from(budget.fleet),
        halted,
        touched: traffic.touched.iter().filter(|touched| **touched).count(),
        is_settled: fleet
            .members
            .iter()
            .all(|member| member.version == expected_version && member.serves(simulation.now)),
        violations: fleet.violations.len(),
    }
}

fn is_finished(simulation: &Simulation, rollout: RolloutId) -> bool {
    let is_finished_at = |peer: &wharfplank_rollout::RolloutPeer| {
        peer.rollouts().get(rollout).is_some_and(|rollout| rollout.is_finished())
    };
    simulation.proxies.iter().all(|proxy| is_finished_at(&proxy.peer))
}

fn run_sound_rollouts(seeds: u64) {
    let (mut ratios, mut halts) = (vec![], vec![]);
    let runs = run_seeds(seeds, |seed| simulate_rollout(2, seed));
    for (seed, run) in runs.into_iter().enumerate() {
        assert_eq!((run.violations, run.is_settled), (0, true), "seed {seed}");
        match run.halted {
            Some(phase) => halts.push((seed, phase)),
            None => ratios.push(run.duration as f64 / run.min_duration),
        }
    }
    ratios.sort_by(f64::total_cmp);
    println!(
        "{seeds} sound rollouts of {MEMBERS}: {} halted {halts:?}; {:.2} times the minimum time on average, \
         {:.2} at most",
        halts.len(),
        ratios.iter().sum::<f64>() / ratios.len().max(1) as f64,
        ratios.last().copied().unwrap_or_default()
    );
    assert!(halts.len() as u64 * 100 <= seeds, "{} false halts", halts.len());
    assert!(ratios.last().is_some_and(|most| *most <= 1.3), "a sound rollout took too long");
}

fn run_bad_rollouts(seeds: u64) {
    let mut touched = vec![];
    let runs = run_seeds(seeds, |seed| simulate_rollout(BAD_UNDER_LOAD, seed));
    for (seed, run) in runs.into_iter().enumerate() {
        assert_eq!((run.violations, run.is_settled), (0, true), "seed {seed}");
        assert!(run.halted.is_some(), "seed {seed}: a bad rollout was not halted");
        touched.push(run.touched);
    }
    let most = touched.iter().max().copied().unwrap_or_default();
    let mean = touched.iter().sum::<usize>() as f64 / touched.len() as f64;
    println!(
        "{seeds} bad rollouts of {MEMBERS}: halted and rolled back after {mean:.1} members, {most} at most"
    );
    assert!(most * 10 < MEMBERS, "halted after {most} of {MEMBERS}");
}

#[test]
fn sound_rollout_takes_little_longer_than_the_budget_requires() {
    run_sound_rollouts(1);
}

#[test]
fn bad_rollout_halts_within_a_tenth_of_members_and_rolls_back() {
    run_bad_rollouts(2);
}

/// Run by `make releases`.
#[test]
#[ignore = "takes minutes"]
fn sound_rollouts_rarely_halt_and_bad_ones_early_over_200_runs() {
    run_sound_rollouts(200);
    run_bad_rollouts(200);
}

/// Runs only the canary analysis, on the traffic of a sound rollout of the same fleet, wave after wave.
#[test]
fn canary_analysis_halts_few_sound_rollouts() {
    count_false_halts(20);
}

/// Run by `make releases`.
#[test]
#[ignore = "takes a minute"]
fn canary_analysis_halts_at_most_two_of_200_sound_rollouts() {
    count_false_halts(200);
}

/// Returns whether the canary analysis halts a sound rollout at any time.
fn is_halted_by_analysis(seed: u64) -> bool {
    let mut rng = SmallRng::seed_from_u64(seed);
    let error_factors = error_factors(&mut rng);
    let mut analysis = CanaryAnalysis::default();
    let mut totals = CanaryCounts::default();
    let evaluations = (0..7).flat_map(|wave| (0..40).map(move |_| wave));
    let mut halted = false;
    for (number, wave) in evaluations.enumerate() {
        let now = number as Micros * SECOND;
        let upgraded = (1usize << wave).min(MEMBERS - 1);
        for (index, error_factor) in error_factors.iter().enumerate() {
            let attempts = attempts_in_second(&mut rng, now, *error_factor, 1);
            totals = totals.plus(&counts(attempts, index < upgraded));
        }
        analysis.evaluate(wave, &totals);
        halted |= analysis.verdict() != CanaryVerdict::NotWorse;
    }
    halted
}

fn count_false_halts(seeds: u64) {
    let halted = run_seeds(seeds, is_halted_by_analysis);
    let halts = halted.iter().filter(|halted| **halted).count() as u64;
    println!("{halts} of {seeds} sound rollouts halted by the canary analysis");
    assert!(halts * 100 <= seeds, "{halts} false halts");
}
