//! Seeded runs of each hard case. In every run the disruption budget holds, and once the faults are over
//! the rollout finishes: all members run the expected version and are healthy, and no permit is left.

use crate::faults::{Case, Run, CASES};
use crate::fleet::{MS, NEVER_READY, SECOND};
use crate::simulation::{Setup, Simulation};
use rand::Rng;
use std::sync::atomic::{AtomicU64, Ordering};
use wharfplank_rollout::{
    ControllerAction, DisruptionBudget, Micros, OperatorCommand, PermitLedger, RolloutId, Version,
};

const LONGEST_RUN: Micros = 400 * SECOND;
const RUNS_AT_ONCE: usize = 4;

pub fn start_rollout(
    simulation: &mut Simulation,
    proxy: usize,
    target: Version,
    previous: Version,
) -> RolloutId {
    let now_ms = (simulation.clock(proxy) / MS) as u64;
    let command = OperatorCommand::Start { target, previous };
    let started = simulation.proxies[proxy].peer.apply_command(now_ms, &command);
    started.expect("the rollout table should not be full")
}

impl Run {
    fn new(case: Case, seed: u64) -> Run {
        let mut simulation = Simulation::new(Setup {
            groups: 6,
            members_per_group: 4,
            budget: DisruptionBudget { per_group: 1, per_zone: 3, fleet: 3, permit_servers: 3 },
            restart_time: (2 * SECOND, 4 * SECOND),
            proxies: 6,
            seed,
        });
        // Every other run has loss, duplicates and reordering in addition to its own faults.
        simulation.loss = if seed % 2 == 1 { 0.2 } else { 0.0 };
        simulation.hour_delay_probability = if case == Case::HourDelay { 0.3 } else { 0.0 };
        while simulation.now < 7 * SECOND {
            simulation.step();
        }
        // The leader is killed or paused after each kind of action. The kinds of a rollback are used in a
        // rollout that has one.
        let targets_leader = matches!(case, Case::LeaderKilled | Case::LeaderPaused);
        let after_kind = Some((seed % 7) as usize).filter(|kind| *kind < 6);
        let rolls_back =
            case == Case::NeverReady || targets_leader && after_kind.is_some_and(|kind| kind >= 3);
        let target = if rolls_back { NEVER_READY } else { 2 };
        let mut rollout = (start_rollout(&mut simulation, 1, target, 1), target);
        if case == Case::TwoRollouts {
            // In half of the runs the two rollouts are on different sides of a partition. Both sides
            // reach all members, and each has one or two permit servers.
            let is_partitioned = seed % 4 >= 2;
            (0..6)
                .filter(|index| *index == 0 || *index > 2)
                .for_each(|index| simulation.proxies[index].side = is_partitioned);
            // The rollout that started first by its proxy's clock continues, and the members of the other
            // one roll back.
            rollout = rollout.min((start_rollout(&mut simulation, 4, 3, 1), 3));
        }
        let delay = if targets_leader { 0 } else { simulation.rng.random_range(0..20 * SECOND) };
        let next_fault_at = simulation.now + delay;
        let (rollout, target) = rollout;
        Run { simulation, case, rollout, target, next_fault_at, after_kind, command_issued: false }
    }

    /// Returns whether all members run the version and serve, and no permit server holds a permit.
    fn is_settled(&self, version: Version) -> bool {
        let simulation = &self.simulation;
        let is_settled =
            |member: &crate::fleet::Member| member.version == version && member.serves(simulation.now);
        let has_permits = |disk: &PermitLedger| disk.permits().count() > 0;
        simulation.fleet.members.iter().all(is_settled)
            && !simulation.proxies.iter().any(|proxy| proxy.disk.as_ref().is_some_and(has_permits))
    }

    /// Runs until the rollout has finished, and returns whether it finished in time.
    fn run_to_completion(&mut self) -> bool {
        let version = match self.case {
            _ if self.target == NEVER_READY => 1,
            Case::RolledBack => 1,
            _ => self.target,
        };
        if self.case != Case::HourDelay {
            return self.run_rollout(version);
        }
        // Runs one rollout, and an hour later another one while late copies of the first one's messages
        // arrive.
        if !self.run_rollout(version) {
            return false;
        }
        self.simulation.now = 3_600 * SECOND;
        for _ in 0..40 {
            self.simulation.step();
        }
        self.rollout = start_rollout(&mut self.simulation, 2, 3, 2);
        self.target = 3;
        self.run_rollout(version + 1)
    }

    fn run_rollout(&mut self, version: Version) -> bool {
        let end = self.simulation.now + LONGEST_RUN;
        while self.simulation.now < end && !(self.is_finished() && self.is_settled(version)) {
            self.inject_fault();
            self.repair();
            self.simulation.step();
        }
        self.is_finished() && self.is_settled(version)
    }

    fn is_finished(&self) -> bool {
        let known: Vec<_> = self
            .simulation
            .proxies
            .iter()
            .filter_map(|proxy| proxy.peer.rollouts().get(self.rollout))
            .collect();
        !known.is_empty() && known.iter().all(|rollout| rollout.is_finished())
    }

    fn advances(&self) -> usize {
        let is_advance = |action: &ControllerAction| matches!(action, ControllerAction::Advanced(..));
        self.simulation.log.iter().filter(|entry| is_advance(&entry.action)).count()
    }

    fn print_unfinished(&self, seed: usize) {
        let log = &self.simulation.log;
        let last: Vec<_> =
            log.iter().rev().take(4).map(|entry| (entry.at, entry.proxy, &entry.action)).collect();
        let disks = self.simulation.proxies.iter().flat_map(|proxy| &proxy.disk);
        let held: Vec<_> = disks.flat_map(PermitLedger::permits).collect();
        let (case, now) = (self.case, self.simulation.now);
        println!("{case:?} seed {seed} did not finish by {now}: {last:?}, held {held:?}");
    }
}

/// Runs all seeds, several at the same time, and returns the results in the order of the seeds.
pub fn run_seeds<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(0);
    let worker = || {
        let next_seed = || Some(next.fetch_add(1, Ordering::Relaxed)).filter(|seed| *seed < seeds);
        std::iter::from_fn(next_seed).map(|seed| (seed, run(seed))).collect::<Vec<_>>()
    };
    let mut all: Vec<(u64, T)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..RUNS_AT_ONCE).map(|_| scope.spawn(worker)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a run should not panic")).collect()
    });
    all.sort_by_key(|(seed, _)| *seed);
    all.into_iter().map(|(_, outcome)| outcome).collect()
}

/// The totals over the runs of one case.
#[derive(Debug, Default)]
struct CaseTotals {
    violations: usize,
    unfinished: Vec<usize>,
    advances: usize,
    outages: u64,
    seconds: Micros,
}

fn run_case(case: Case, seeds: u64) -> CaseTotals {
    let runs = run_seeds(seeds, |seed| {
        let mut run = Run::new(case, seed);
        (run.run_to_completion(), run)
    });
    let mut totals = CaseTotals::default();
    for (seed, (finished, run)) in runs.iter().enumerate() {
        for violation in &run.simulation.fleet.violations {
            println!("{case:?} seed {seed}: {violation}");
        }
        totals.violations += run.simulation.fleet.violations.len();
        totals.advances += run.advances();
        totals.outages += run.simulation.fleet.outages;
        totals.seconds += run.simulation.now / SECOND;
        // Without its ledger a permit server stays closed until an operator opens it, so the rollout
        // can't finish.
        if !*finished && case != Case::LedgerLost {
            run.print_unfinished(seed);
            totals.unfinished.push(seed);
        }
    }
    totals
}

fn run_hard_cases(seeds: u64) {
    let mut bad = vec![];
    for case in CASES {
        let totals = run_case(case, seeds);
        println!(
            "{case:?}: {} budget violations in {seeds} runs, {} of them unfinished; {} outages, {} steps, \
             {} s each",
            totals.violations,
            totals.unfinished.len(),
            totals.outages,
            totals.advances,
            totals.seconds / seeds as Micros
        );
        if totals.violations > 0 || !totals.unfinished.is_empty() {
            bad.push((case, totals));
        }
    }
    assert!(bad.is_empty(), "{bad:?}");
}

#[test]
fn budget_holds_in_each_hard_case() {
    run_hard_cases(3);
}

/// Run by `make releases`.
#[test]
#[ignore = "takes minutes"]
fn budget_holds_over_200_runs_of_each_hard_case() {
    run_hard_cases(200);
}
