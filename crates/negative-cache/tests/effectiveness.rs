//! The effectiveness of the cache: look-ups of missing keys that reach members as a part of those without it, the hit rate
//! under a flood, memory, and the time of a look-up.

mod simulation;

use rand::{rngs::SmallRng, Rng, SeedableRng};
use simulation::{Plan, Simulation, Tally, SECOND};
use std::time::Instant;
use wharfplank_negative_cache::*;

fn simulate(proxies: usize, shared: bool, writes: f64, span: i64) -> Tally {
    let plan = Plan { proxies, shared, keys: 2_000, writes, ..Plan::default() };
    let mut simulation = Simulation::new(plan, 1);
    // Until the servers seal; reads begin then.
    let reads = std::mem::take(&mut simulation.plan.reads);
    simulation.run(15 * SECOND);
    simulation.plan.reads = reads;
    simulation.run(span * SECOND);
    simulation.tally
}

fn ratio(part: u64, of: u64) -> f64 {
    part as f64 / of.max(1) as f64
}

fn compare(proxies: usize, writes: f64, span: i64) -> (Tally, Tally) {
    let both = [false, true].map(|shared| simulate(proxies, shared, writes, span));
    for (how, tally) in ["alone", "together"].iter().zip(&both) {
        println!(
            "{proxies} proxies {how}, {writes} writes of these keys a proxy a second: {} look-ups of missing keys, {:.3} reach members; {} repeats, {:.3} do; {} wrong",
            tally.reads,
            ratio(tally.members_asked, tally.reads),
            tally.repeats,
            ratio(tally.repeats_members_asked, tally.repeats),
            tally.wrong.len()
        );
        assert!(tally.wrong.is_empty(), "{:?}", tally.wrong);
    }
    let [alone, shared] = both;
    (alone, shared)
}

#[test]
fn proxies_together_ask_members_less_than_each_alone() {
    let (alone, shared) = compare(10, 0.05, 10);
    assert!(2 * shared.repeats_members_asked < alone.repeats_members_asked);
}

/// The part of the real look-ups that are answered, beside so many random ones for each, every one asked twice.
fn hits(random: u32, twice: bool) -> f64 {
    let config = NegativeCacheConfig {
        max_frequent_entries: 1_000,
        max_recent_entries: 4_000,
        ..NegativeCacheConfig::default()
    };
    let (hasher, mut cache, now) =
        (KeyHasher::new([1; 16]), NegativeCache::new(config, 0, 0), 1_000 * SECOND);
    let (zipf, mut rng) = (simulation::history::Zipf::new(500), SmallRng::seed_from_u64(7));
    let (mut real, mut hit, ask) = (0, 0, |cache: &mut NegativeCache, key: u64| {
        let lookup = Lookup::new(&hasher, 1, &key.to_le_bytes(), &key.to_le_bytes(), 1);
        let known = matches!(cache.lookup(now, &lookup, Freshness::Any), LookupResult::KnownMissing { .. });
        if !known {
            cache.record_missing(now, &lookup, now, 0);
        }
        known
    });
    for n in 0..50_000 {
        let known = ask(&mut cache, zipf.draw(&mut rng));
        if n >= 10_000 {
            (real, hit) = (real + 1, hit + u64::from(known));
        }
        for _ in 0..random {
            let key = 1 << 40 | rng.random::<u32>() as u64;
            (0..1 + u32::from(twice)).for_each(|_| {
                ask(&mut cache, key);
            });
        }
    }
    ratio(hit, real)
}

#[test]
fn a_flood_of_random_keys_does_not_evict_the_real_ones() {
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

/// The figures of `docs/design/negative-cache.md`. `make missing`.
#[test]
#[ignore = "takes minutes"]
fn figures() {
    let before = resident();
    let (hasher, config, mut now) = (KeyHasher::new([1; 16]), NegativeCacheConfig::default(), 1_000 * SECOND);
    let mut cache = NegativeCache::new(config.clone(), 1, now);
    let statement =
        |n: u32| format!("SELECT pay, tax, due FROM slips WHERE employee = '{n:016}' AND month = 202612");
    let all = 1_000_000;
    let lookup_of = |n: u32| Lookup::new(&hasher, 1, statement(n).as_bytes(), &n.to_le_bytes(), 1);
    for n in 0..all {
        cache.record_missing(now, &lookup_of(n), now, 0);
        cache.lookup(now, &lookup_of(n), Freshness::Any);
    }
    let counts = cache.entries().counts();
    let (frequent, recent) = (counts.frequent, counts.recent);
    println!("{frequent} entries looked up twice and {recent} once in {} KB", resident() - before);
    let mut rng = SmallRng::seed_from_u64(1);
    let lookups: Vec<Lookup> = (0..200_000).map(|_| lookup_of(rng.random_range(0..all))).collect();
    let texts: Vec<String> = (0..200_000).map(|_| statement(rng.random_range(0..all))).collect();
    let first = config.slot_after(now);
    for step in 0..40 {
        let seal = SealedSlot {
            server: 0,
            incarnation: 0,
            slot: first + step,
            all_keys: false,
            keys: (0..500).map(|m| KeyHash(m * 4_000_000)).collect(),
        };
        now = config.slot_end(first + step) + 1;
        cache.on_sealed_slot(now, &seal);
    }
    for (what, freshness) in [
        ("that advances", Freshness::MaxStaleness(SECOND)),
        ("that does not", Freshness::MaxStaleness(SECOND)),
        ("too new", Freshness::Session(Some(now + 1))),
    ] {
        let began = Instant::now();
        let known = lookups
            .iter()
            .filter(|lookup| {
                matches!(cache.lookup(now, lookup, freshness), LookupResult::KnownMissing { .. })
            })
            .count();
        let each = began.elapsed().as_nanos() / lookups.len() as u128;
        println!("a look-up {what}: {each} ns, {known} of {} answered", lookups.len());
    }
    let began = Instant::now();
    let sum = texts.iter().fold(0, |sum, text| {
        sum ^ Lookup::new(&hasher, 1, text.as_bytes(), &text.as_bytes()[48..64], 1).statement.0
    });
    println!(
        "hashes of a statement and its key: {} ns ({sum:x})",
        began.elapsed().as_nanos() / texts.len() as u128
    );
    for proxies in [3, 30, 100] {
        compare(proxies, 0.5, 60);
        compare(proxies, 0.05, 60);
    }
}
