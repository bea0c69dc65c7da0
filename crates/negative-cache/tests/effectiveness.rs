//! The effectiveness of the cache: the share of reads of missing keys that reach members, the hit rate under
//! a flood of random keys, the memory of the cache, and the duration of a lookup.

mod simulation;

use rand::{rngs::SmallRng, Rng, SeedableRng};
use simulation::{Params, Results, Simulation, SECOND};
use std::time::Instant;
use wharfplank_negative_cache::*;

fn simulate(proxies: usize, shared: bool, writes: f64, seconds: i64) -> Results {
    let params = Params { proxies, shared, keys: 2_000, writes, ..Params::default() };
    let mut simulation = Simulation::new(params, 1);
    // No reads until the servers seal slots.
    let reads = std::mem::take(&mut simulation.params.reads);
    simulation.run(15 * SECOND);
    simulation.params.reads = reads;
    simulation.run(seconds * SECOND);
    simulation.results
}

fn ratio(part: u64, total: u64) -> f64 {
    part as f64 / total.max(1) as f64
}

fn compare(proxies: usize, writes: f64, seconds: i64) -> (Results, Results) {
    let both = [false, true].map(|shared| simulate(proxies, shared, writes, seconds));
    for (sharing, results) in ["unshared", "shared"].iter().zip(&both) {
        println!(
            "{proxies} proxies, {sharing} cache, {writes} writes per proxy and second: {} reads of missing \
             keys, {:.3} sent to members; {} repeat reads, {:.3} sent to members; {} wrong answers",
            results.reads,
            ratio(results.member_reads, results.reads),
            results.repeat_reads,
            ratio(results.repeat_member_reads, results.repeat_reads),
            results.wrong_answers.len()
        );
        assert!(results.wrong_answers.is_empty(), "{:?}", results.wrong_answers);
    }
    let [alone, shared] = both;
    (alone, shared)
}

#[test]
fn sharing_halves_repeat_reads_at_members() {
    let (alone, shared) = compare(10, 0.05, 10);
    assert!(2 * shared.repeat_member_reads < alone.repeat_member_reads);
}

/// Returns the hit rate of reads of real keys when `random_per_read` random keys are read along with each of
/// them, each random key twice if `is_repeated`.
fn hit_rate(random_per_read: u32, is_repeated: bool) -> f64 {
    let config = NegativeCacheConfig {
        max_frequent_entries: 1_000,
        max_recent_entries: 4_000,
        ..NegativeCacheConfig::default()
    };
    let (hasher, mut cache, now) =
        (KeyHasher::new([1; 16]), NegativeCache::new(config, 0, 0), 1_000 * SECOND);
    let (zipf, mut rng) = (simulation::history::Zipf::new(500), SmallRng::seed_from_u64(7));
    let (mut real_reads, mut hits, read_key) = (0, 0, |cache: &mut NegativeCache, key: u64| {
        let lookup = Lookup::new(&hasher, 1, &key.to_le_bytes(), &key.to_le_bytes(), 1);
        let known = matches!(cache.lookup(now, &lookup, Freshness::Any), LookupResult::KnownMissing { .. });
        if !known {
            cache.record_missing(now, &lookup, now, 0);
        }
        known
    });
    for n in 0..50_000 {
        let known = read_key(&mut cache, zipf.sample(&mut rng));
        if n >= 10_000 {
            (real_reads, hits) = (real_reads + 1, hits + u64::from(known));
        }
        for _ in 0..random_per_read {
            let key = 1 << 40 | rng.random::<u32>() as u64;
            (0..1 + u32::from(is_repeated)).for_each(|_| {
                read_key(&mut cache, key);
            });
        }
    }
    ratio(hits, real_reads)
}

#[test]
fn flood_of_random_keys_does_not_evict_real_keys() {
    let (calm, once, twice) = (hit_rate(0, false), hit_rate(20, false), hit_rate(20, true));
    println!(
        "hit rate of real keys: {calm:.3}, with 20 random keys per read {once:.3}, \
         with each random key read twice {twice:.3}"
    );
    assert!(calm > 0.95 && once > 0.95 * calm && twice > 0.85 * calm, "{calm} {once} {twice}");
}

fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
}

/// Prints the figures of `docs/design/negative-cache.md`. Run with `make missing`.
#[test]
#[ignore = "takes minutes"]
fn figures() {
    let before = resident_kilobytes();
    let (hasher, config, mut now) = (KeyHasher::new([1; 16]), NegativeCacheConfig::default(), 1_000 * SECOND);
    let mut cache = NegativeCache::new(config.clone(), 1, now);
    let statement =
        |n: u32| format!("SELECT pay, tax, due FROM slips WHERE employee = '{n:016}' AND month = 202612");
    let entry_count = 1_000_000;
    let lookup_of = |n: u32| Lookup::new(&hasher, 1, statement(n).as_bytes(), &n.to_le_bytes(), 1);
    for n in 0..entry_count {
        cache.record_missing(now, &lookup_of(n), now, 0);
        cache.lookup(now, &lookup_of(n), Freshness::Any);
    }
    let counts = cache.entries().counts();
    let (frequent, recent) = (counts.frequent, counts.recent);
    println!(
        "{frequent} entries looked up twice and {recent} looked up once take {} KB",
        resident_kilobytes() - before
    );
    let mut rng = SmallRng::seed_from_u64(1);
    let lookups: Vec<Lookup> = (0..200_000).map(|_| lookup_of(rng.random_range(0..entry_count))).collect();
    let texts: Vec<String> = (0..200_000).map(|_| statement(rng.random_range(0..entry_count))).collect();
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
    for (description, freshness) in [
        ("with an entry that advances", Freshness::MaxStaleness(SECOND)),
        ("with an entry that does not advance", Freshness::MaxStaleness(SECOND)),
        ("that needs a newer position", Freshness::Session(Some(now + 1))),
    ] {
        let began = Instant::now();
        let known = lookups
            .iter()
            .filter(|lookup| {
                matches!(cache.lookup(now, lookup, freshness), LookupResult::KnownMissing { .. })
            })
            .count();
        let nanos = began.elapsed().as_nanos() / lookups.len() as u128;
        println!("a lookup {description}: {nanos} ns, {known} of {} answered", lookups.len());
    }
    let began = Instant::now();
    let sum = texts.iter().fold(0, |sum, text| {
        sum ^ Lookup::new(&hasher, 1, text.as_bytes(), &text.as_bytes()[48..64], 1).statement.0
    });
    println!(
        "hashing a statement and its key: {} ns ({sum:x})",
        began.elapsed().as_nanos() / texts.len() as u128
    );
    for proxies in [3, 30, 100] {
        compare(proxies, 0.5, 60);
        compare(proxies, 0.05, 60);
    }
}
