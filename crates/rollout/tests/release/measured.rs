//! What a release takes under the traffic of a day, when a bad one halts, and how often a sound one does.

use crate::cases::{beside, start};
use crate::cast::{BAD_UNDER_LOAD, S};
use crate::world::World;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wharfplank_rollout::{Action, Allowance, Course, Evidence, Micros, PlanId, Tally, Terms, Trial, Version};

const GROUPS: u32 = 24;
const EACH: u32 = 5;
const MEMBERS: usize = (GROUPS * EACH) as usize;
/// Answers a second of one member in the mean.
const ANSWERS: f64 = 30.0;
/// Refusals and late answers of a sound member, as parts; three times as many where the day is busy.
const REFUSED: f64 = 0.004;
const LATE: f64 = 0.01;
/// What a bad version refuses where the day is busy.
const BAD_REFUSED: f64 = 0.15;

fn poisson(rng: &mut SmallRng, mean: f64) -> u64 {
    let (mut n, mut product, limit) = (0, rng.random::<f64>(), (-mean).exp());
    while product > limit {
        (n, product) = (n + 1, product * rng.random::<f64>());
    }
    n
}

fn busy(now: Micros) -> bool {
    now / (60 * S) % 2 == 1
}

/// What a member answers within a second. Sound members differ by nature, and each has seconds in which it stalls.
fn second(rng: &mut SmallRng, now: Micros, nature: f64, version: Version) -> Trial {
    let (load, worse) = if busy(now) { (1.3, 3.0) } else { (0.7, 1.0) };
    let stalls = if rng.random::<f64>() < 0.005 { 10.0 } else { 1.0 };
    let bad = if busy(now) && version == BAD_UNDER_LOAD { BAD_REFUSED } else { 0.0 };
    let answers = poisson(rng, ANSWERS * load);
    let part = |rng: &mut SmallRng, chance: f64| {
        (0..answers).filter(|_| rng.random::<f64>() < chance).count() as u64
    };
    Trial {
        answers,
        refused: part(rng, REFUSED * worse * nature + bad),
        late: part(rng, LATE * worse * nature * stalls),
    }
}

struct Outcome {
    took: Micros,
    least: f64,
    halted: Option<Course>,
    /// Members that ran the new version at any time.
    touched: usize,
    sound: bool,
    breaches: usize,
}

fn release(target: Version, seed: u64) -> Outcome {
    let allowance = Allowance { group: 1, zone: 3, fleet: 6, banks: 3 };
    let mut world = World::new(GROUPS, EACH, allowance, (20 * S, 40 * S), 5, seed);
    world.set_terms(Terms::default());
    while world.now < 7 * S {
        world.step();
    }
    let plan = start(&mut world, 1, target, 1);
    let began = world.now;
    let phase = world.rng.random_range(0..120) * S;
    let natures: Vec<f64> = (0..MEMBERS).map(|_| world.rng.random_range(0.7..1.4)).collect();
    let mut tallies = vec![Tally::default(); world.proxies.len()];
    let mut touched = [false; MEMBERS];
    while world.now < began + 3_000 * S && !over(&world, plan) {
        world.step();
        if world.now % S != 0 {
            continue;
        }
        for i in 0..MEMBERS {
            let (version, serves) = (world.cast.members[i].version, world.cast.members[i].serves(world.now));
            touched[i] |= version == target;
            if serves {
                let seen = second(&mut world.rng, world.now + phase, natures[i], version);
                let at = world.rng.random_range(0..tallies.len());
                let tally = match version == target {
                    true => Tally { released: seen, ..Tally::default() },
                    false => Tally { others: seen, ..Tally::default() },
                };
                tallies[at] = tallies[at].plus(&tally);
            }
        }
        for (proxy, tally) in world.proxies.iter_mut().zip(&tallies) {
            proxy.station.tallied(plan, tally);
        }
    }
    let halted = world.log.iter().find_map(|(.., action)| match action {
        Action::Turned(course) => Some(*course),
        _ => None,
    });
    let wanted = if halted.is_some() { 1 } else { target };
    Outcome {
        took: world.now - began,
        least: world.cast.away as f64 / f64::from(allowance.fleet),
        halted,
        touched: touched.iter().filter(|touched| **touched).count(),
        sound: world.cast.members.iter().all(|m| m.version == wanted && m.serves(world.now)),
        breaches: world.cast.breaches.len(),
    }
}

fn over(world: &World, plan: PlanId) -> bool {
    world.proxies.iter().all(|proxy| proxy.station.plans().get(plan).is_some_and(|plan| plan.over()))
}

fn clean(seeds: u64) {
    let (mut ratios, mut halts) = (vec![], vec![]);
    for (seed, run) in beside(seeds, |seed| release(2, seed)).into_iter().enumerate() {
        assert_eq!((run.breaches, run.sound), (0, true), "seed {seed}");
        match run.halted {
            Some(course) => halts.push((seed, course)),
            None => ratios.push(run.took as f64 / run.least),
        }
    }
    ratios.sort_by(f64::total_cmp);
    println!(
        "{seeds} clean releases of {MEMBERS}: {} halted {halts:?}; {:.2} times the least time in the mean, {:.2} at most",
        halts.len(),
        ratios.iter().sum::<f64>() / ratios.len().max(1) as f64,
        ratios.last().copied().unwrap_or_default()
    );
    assert!(halts.len() as u64 * 100 <= seeds, "{} false halts", halts.len());
    assert!(ratios.last().is_some_and(|most| *most <= 1.3), "a clean release took too long");
}

fn bad(seeds: u64) {
    let mut touched = vec![];
    for (seed, run) in beside(seeds, |seed| release(BAD_UNDER_LOAD, seed)).into_iter().enumerate() {
        assert_eq!((run.breaches, run.sound), (0, true), "seed {seed}");
        assert!(run.halted.is_some(), "seed {seed}: a bad release was not halted");
        touched.push(run.touched);
    }
    let most = touched.iter().max().copied().unwrap_or_default();
    let mean = touched.iter().sum::<usize>() as f64 / touched.len() as f64;
    println!("{seeds} bad releases of {MEMBERS}: halted and undone after {mean:.1} members, {most} at most");
    assert!(most * 10 < MEMBERS, "halted after {most} of {MEMBERS}");
}

#[test]
fn a_clean_release_takes_little_more_than_its_allowance_permits() {
    clean(1);
}

#[test]
fn a_bad_release_is_halted_before_a_tenth_and_undone() {
    bad(2);
}

/// `make releases`.
#[test]
#[ignore = "takes minutes"]
fn clean_releases_halt_seldom_and_bad_ones_soon_over_200_runs() {
    clean(200);
    bad(200);
}

/// The test alone, on the traffic of a sound release of the same fleet, wave after wave.
#[test]
fn the_sequential_test_halts_few_sound_releases() {
    false_halts(20);
}

/// `make releases`.
#[test]
#[ignore = "takes a minute"]
fn the_sequential_test_halts_at_most_two_of_200_sound_releases() {
    false_halts(200);
}

fn false_halts(seeds: u64) {
    let halted = beside(seeds, |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let natures: Vec<f64> = (0..MEMBERS).map(|_| rng.random_range(0.7..1.4)).collect();
        let (mut evidence, mut sums) = (Evidence::default(), Tally::default());
        let looks = (0..7).flat_map(|wave| (0..40).map(move |look| (wave, look)));
        let mut halted = false;
        for (number, (wave, _)) in looks.enumerate() {
            let now = number as Micros * S;
            let released = (1usize << wave).min(MEMBERS - 1);
            for (i, nature) in natures.iter().enumerate() {
                let seen = second(&mut rng, now, *nature, 1);
                sums = match i < released {
                    true => sums.plus(&Tally { released: seen, ..Tally::default() }),
                    false => sums.plus(&Tally { others: seen, ..Tally::default() }),
                };
            }
            evidence.look(wave, &sums);
            halted |= evidence.bad() != (false, false);
        }
        halted
    });
    let halts = halted.iter().filter(|halted| **halted).count() as u64;
    println!("{halts} of {seeds} sound releases halted by the test");
    assert!(halts * 100 <= seeds, "{halts} false halts");
}
