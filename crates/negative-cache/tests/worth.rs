//! What the facts are worth: look-ups of missing keys that reach members as a part of those without it, the hit rate
//! under a flood, memory and the cost of a question.

mod world;

use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::time::Instant;
use wharfplank_negative_cache::*;
use world::{Plan, Sum, World, SECOND};

fn played(proxies: usize, together: bool, writes: f64, span: i64) -> Sum {
    let plan = Plan { proxies, together, keys: 2_000, writes, ..Plan::default() };
    let mut world = World::new(plan, 1);
    // Until the banks seal; asked from then on.
    let reads = std::mem::take(&mut world.plan.reads);
    world.run(15 * SECOND);
    world.plan.reads = reads;
    world.run(span * SECOND);
    world.sum
}

fn part(part: u64, of: u64) -> f64 {
    part as f64 / of.max(1) as f64
}

fn shown(proxies: usize, writes: f64, span: i64) -> (Sum, Sum) {
    let both = [false, true].map(|together| played(proxies, together, writes, span));
    for (how, sum) in ["alone", "together"].iter().zip(&both) {
        println!(
            "{proxies} proxies {how}, {writes} writes of these keys a proxy a second: {} look-ups of missing keys, {:.3} reach members; {} repeats, {:.3} do; {} wrong",
            sum.reads,
            part(sum.asked, sum.reads),
            sum.repeats,
            part(sum.repeats_asked, sum.repeats),
            sum.wrong.len()
        );
        assert!(sum.wrong.is_empty(), "{:?}", sum.wrong);
    }
    let [alone, together] = both;
    (alone, together)
}

#[test]
fn proxies_together_ask_members_less_than_each_alone() {
    let (alone, together) = shown(10, 0.05, 10);
    assert!(2 * together.repeats_asked < alone.repeats_asked);
}

/// Part of the real questions that are answered, beside so many random ones for each, every one asked twice.
fn hits(random: u32, twice: bool) -> f64 {
    let terms = Terms { facts_most: 1_000, once_most: 4_000, ..Terms::default() };
    let (hasher, mut missing, now) = (Hasher::new([1; 16]), Missing::new(terms, 0, 0), 1_000 * SECOND);
    let (zipf, mut rng) = (world::model::Zipf::new(500), SmallRng::seed_from_u64(7));
    let (mut real, mut hit, ask) = (0, 0, |missing: &mut Missing, key: u64| {
        let asked = Asked::new(&hasher, 1, &key.to_le_bytes(), &key.to_le_bytes(), 1);
        let known = matches!(missing.question(now, &asked, Need::Any), Verdict::Missing { .. });
        if !known {
            missing.heard(now, &asked, now, 0);
        }
        known
    });
    for n in 0..50_000 {
        let known = ask(&mut missing, zipf.draw(&mut rng));
        if n >= 10_000 {
            (real, hit) = (real + 1, hit + u64::from(known));
        }
        for _ in 0..random {
            let key = 1 << 40 | rng.random::<u32>() as u64;
            (0..1 + u32::from(twice)).for_each(|_| {
                ask(&mut missing, key);
            });
        }
    }
    part(hit, real)
}

#[test]
fn a_flood_of_random_keys_does_not_drive_out_the_real_ones() {
    let (calm, once, twice) = (hits(0, false), hits(20, false), hits(20, true));
    println!(
        "real keys answered: {calm:.3}, beside 20 random ones {once:.3}, each of them asked twice {twice:.3}"
    );
    assert!(calm > 0.95 && once > 0.95 * calm && twice > 0.85 * calm, "{calm} {once} {twice}");
}

fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
}

/// The figures of `docs/design/missing.md`. `make missing`.
#[test]
#[ignore = "takes minutes"]
fn figures() {
    let before = resident();
    let (hasher, terms, mut now) = (Hasher::new([1; 16]), Terms::default(), 1_000 * SECOND);
    let mut missing = Missing::new(terms.clone(), 1, now);
    let statement =
        |n: u32| format!("SELECT pay, tax, due FROM slips WHERE employee = '{n:016}' AND month = 202612");
    let all = 1_000_000;
    let asked = |n: u32| Asked::new(&hasher, 1, statement(n).as_bytes(), &n.to_le_bytes(), 1);
    for n in 0..all {
        missing.heard(now, &asked(n), now, 0);
        missing.question(now, &asked(n), Need::Any);
    }
    let (often, once) = missing.facts().held();
    println!("{often} facts asked for twice and {once} once in {} KB", resident() - before);
    let mut rng = SmallRng::seed_from_u64(1);
    let questions: Vec<Asked> = (0..200_000).map(|_| asked(rng.random_range(0..all))).collect();
    let texts: Vec<String> = (0..200_000).map(|_| statement(rng.random_range(0..all))).collect();
    let first = terms.slot_after(now);
    for step in 0..40 {
        let seal = Seal {
            bank: 0,
            launch: 0,
            slot: first + step,
            every: false,
            marks: (0..500).map(|m| Mark(m * 4_000_000)).collect(),
        };
        now = terms.end_of(first + step) + 1;
        missing.sealed(now, &seal);
    }
    for (what, need) in [
        ("that moves", Need::Bounded(SECOND)),
        ("that stands", Need::Bounded(SECOND)),
        ("too new", Need::Session(Some(now + 1))),
    ] {
        let began = Instant::now();
        let known = questions
            .iter()
            .filter(|q| matches!(missing.question(now, q, need), Verdict::Missing { .. }))
            .count();
        let each = began.elapsed().as_nanos() / questions.len() as u128;
        println!("a question {what}: {each} ns, {known} of {} answered", questions.len());
    }
    let began = Instant::now();
    let sum = texts.iter().fold(0, |sum, text| {
        sum ^ Asked::new(&hasher, 1, text.as_bytes(), &text.as_bytes()[48..64], 1).key.0
    });
    println!(
        "hashes of a statement and its key: {} ns ({sum:x})",
        began.elapsed().as_nanos() / texts.len() as u128
    );
    for proxies in [3, 30, 100] {
        shown(proxies, 0.5, 60);
        shown(proxies, 0.05, 60);
    }
}
