//! Releases by processes, with faults between them: none out beyond the allowance, each ended, all sound at the end.
//! Events are counted, no times.

use std::path::{Path, PathBuf};
use wharfplank::fleet_harness::releases::case::{Case, Played, NEW, OLD, OTHER};
use wharfplank::fleet_harness::releases::outcome::Outcome;
use wharfplank::fleet_harness::releases::run::play;
use wharfplank::fleet_harness::run::Place;

/// Plays runs beside each other, each in a directory of its own.
fn play_all(all: &[Played], directory: &Path, beside: usize) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for some in all.chunks(beside) {
        outcomes.extend(std::thread::scope(|scope| {
            let one = |played: &Played| {
                let directory = directory.join(format!("{}-{}", played.case.name(), played.seed));
                let place = Place { program: PathBuf::from(env!("CARGO_BIN_EXE_wharfplank")), directory };
                play(played, &place).unwrap_or_else(|what| panic!("{}: {what}", played.case.name()))
            };
            let runs: Vec<_> = some.iter().map(|played| scope.spawn(move || one(played))).collect();
            let outcome = |run: std::thread::ScopedJoinHandle<'_, Outcome>| run.join().expect("the run ends");
            runs.into_iter().map(outcome).collect::<Vec<_>>()
        }));
        outcomes.iter().rev().take(some.len()).for_each(|outcome| println!("{}", outcome.line()));
    }
    outcomes
}

fn holds(played: &Played, outcome: &Outcome) {
    let line = outcome.line();
    assert_eq!(outcome.violations.count(), 0, "broken rules: {line}");
    assert!(outcome.ended, "the release did not end: {line}");
    assert!(outcome.faulted || !played.case.has_fault(), "its fault never came: {line}");
    // Of two at once the older goes on, by the clock: the other one's members go on to its version.
    let versions: &[u64] = match played.case {
        Case::TwoAtOnce => &[NEW, OTHER],
        case if case.is_bad() => &[OLD],
        _ => &[NEW],
    };
    assert!(outcome.version.is_some_and(|v| versions.contains(&v)), "not all sound as one version: {line}");
    let expected = |turned: &String| match played.case {
        Case::TwoAtOnce => turned.starts_with("back:other_release"),
        case => case.is_bad(),
    };
    assert!(outcome.turned.iter().all(expected), "the release turned: {line}");
    assert!(
        outcome.turned.iter().any(|t| t.starts_with("back:")) || !played.case.is_bad(),
        "not halted: {line}"
    );
}

#[test]
fn a_release_keeps_the_allowance_and_ends_whoever_drives() {
    let directory = tempfile::tempdir().expect("a directory");
    let cases = [(Case::TwoAtOnce, 3), (Case::DriverKilled, 3), (Case::Cut, 5), (Case::NeverReady, 3)];
    let all: Vec<Played> =
        cases.into_iter().map(|(case, proxies)| Played::draw(case, proxies, 3, 3, 1)).collect();
    let outcomes = play_all(&all, directory.path(), all.len());
    for (played, outcome) in all.iter().zip(&outcomes) {
        holds(played, outcome);
    }
}

/// `RELEASE_SEEDS` runs of each case, or of those that `RELEASE_CASES` names; files in `RELEASE_OUT`.
#[test]
#[ignore = "takes minutes to hours"]
fn seeded_releases_of_every_hard_case() {
    let number = |name: &str, usual: usize| {
        std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(usual)
    };
    let named = std::env::var("RELEASE_CASES").unwrap_or_default();
    let directory = std::env::var("RELEASE_OUT").unwrap_or_else(|_| "target/release-rig".to_string());
    let (seeds, proxies, beside) =
        (number("RELEASE_SEEDS", 20), number("RELEASE_PROXIES", 5), number("RELEASE_BESIDE", 4));
    let (first, groups, each, load_s) = (
        number("RELEASE_FIRST", 1),
        number("RELEASE_GROUPS", 6),
        number("RELEASE_EACH", 4),
        number("RELEASE_LOAD_S", 0),
    );
    let cases = Case::ALL.into_iter().chain([Case::ByThemselves]);
    let wanted = |case: &Case| match named.is_empty() {
        true => *case != Case::ByThemselves,
        false => named.split(' ').any(|name| name == case.name()),
    };
    let all: Vec<Played> = cases
        .filter(wanted)
        .flat_map(|case| (0..seeds).map(move |n| (case, n)))
        .map(|(case, n)| {
            let drawn = Played::draw(case, proxies, groups, each, (first + n) as u64);
            Played { load_s: load_s as u64, ..drawn }
        })
        .collect();
    let outcomes = play_all(&all, Path::new(&directory), beside);
    for (played, outcome) in all.iter().zip(&outcomes).filter(|(played, _)| played.case != Case::ByThemselves)
    {
        holds(played, outcome);
    }
}
