//! Incidents and sums found in synthetic stores, and timelines that are invalid.

use wharfplank_incidents::gather::gather;
use wharfplank_incidents::{find, Kind};
use wharfplank_lab::{timeline, trials};
use wharfplank_records::reader::StoreSet;

/// Guards against incidents that are lost in the coarse bins of a long span, and against sums that differ
/// from what was recorded.
#[test]
fn coarse_bins_show_incidents_of_a_long_span() {
    let dir = tempfile::tempdir().unwrap();
    let seconds = 6000;
    let written = trials::write_synthetic_stores(dir.path(), seconds, 3, 9, 7).unwrap();
    let reader = StoreSet::open(&[dir.path().to_path_buf()]);
    let (from, to) = reader.span().unwrap();
    let evidence = gather(&reader, from, to);
    assert_eq!(evidence.bin, 10_000_000);
    let counted: u64 = evidence.proxies.values().flat_map(|p| p.answers.values()).map(|c| c.count).sum();
    assert_eq!(counted, written);
    let found: Vec<_> = find(&evidence)
        .into_iter()
        .map(|i| (i.kind, (i.from - from) / 1_000_000, (i.to - from) / 1_000_000, i.members.len()))
        .collect();
    let [(Kind::SlowApply, start, end, 6)] = found[..] else { panic!("found {found:?}") };
    assert!((1990..=2020).contains(&start) && (2980..=3020).contains(&end), "{found:?}");
}

/// Guards against losing the counts of answers when the records are retired: the summaries still have them.
#[test]
fn summaries_keep_answers_of_retired_records() {
    let dir = tempfile::tempdir().unwrap();
    let written = trials::write_synthetic_stores(dir.path(), 200, 1, 9, 7).unwrap();
    let read = |reader: &StoreSet| {
        let (from, to) = reader.span().unwrap();
        gather(reader, from, to)
    };
    let counts = |e: &wharfplank_incidents::Evidence| {
        let mut all = std::collections::BTreeMap::new();
        for ((_, class, outcome), count) in e.proxies.values().flat_map(|p| &p.answers) {
            *all.entry((class.clone(), *outcome)).or_insert(0) += count.count;
        }
        all
    };
    let before = read(&StoreSet::open(&[dir.path().to_path_buf()]));
    assert!(before.problems.is_empty());
    let file = rusqlite::Connection::open(wharfplank_records::store::path(dir.path(), "n0")).unwrap();
    file.execute("DELETE FROM blocks", []).unwrap();
    let after = read(&StoreSet::open(&[dir.path().to_path_buf()]));
    assert_eq!(counts(&after), counts(&before));
    assert_eq!(counts(&after).values().sum::<u64>(), written);
    assert!(after.problems[0].contains("only sums of answers are kept"), "{:?}", after.problems);
}

/// Guards against invalid timelines that run in part: unknown targets, unknown kinds and values out of bounds
/// are rejected.
#[test]
fn invalid_timelines_are_rejected() {
    let parse = |text: &str| timeline::parse(text).map(|t| t.scripted_faults.len());
    assert_eq!(parse(timeline::INCIDENT), Ok(3));
    assert_eq!(parse(timeline::DEMO), Ok(0));
    let with_target = |on: &str| {
        format!("<timeline seconds='9' rate='9'><trouble kind='drain' at='1' for='1' on='{on}'/></timeline>")
    };
    assert!(parse(&with_target("g0m9")).unwrap_err()[0].contains("'g0m9' is none of"));
    assert_eq!(parse(&with_target("g0m1 g1m1")), Ok(1));
    let violations =
        parse("<timeline seconds='999' rate='9'>\n<trouble kind='fire' at='1' for='1' on='a'/></timeline>");
    let violations = violations.unwrap_err();
    assert!(
        violations[0].starts_with("line 1: timeline/@seconds")
            && violations[1].starts_with("line 2: timeline/trouble/@kind")
    );
}
