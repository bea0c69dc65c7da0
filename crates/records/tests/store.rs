//! The store and the recorder through failures.

use std::io::{Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wharfplank_records::reader::{BlockFilter, GapCause, NameKind, StoreReader, StoreSet};
use wharfplank_records::store::{self, Store, StoreLimits};
use wharfplank_records::{
    FailureReason, MemberState, Micros, Outcome, Record, Recorder, RecorderConfig, Staleness,
};

const T: Micros = 1_800_000_000_000_000;
const SECOND: Micros = 1_000_000;
const LIMITS: StoreLimits =
    StoreLimits { max_bytes: 64 << 20, block_retention: 3600 * SECOND, summary_retention: 7200 * SECOND };

fn answer(took: Micros, outcome: Outcome) -> Record {
    let is_stale = outcome == Outcome::Rejected(FailureReason::TooStale);
    let staleness = is_stale.then_some(Staleness { needed: T, known: T - 5 });
    Record::Answer { class: 1, group: 2, member: Some(7), attempts: 2, took, outcome, staleness }
}

fn member_state(position: Micros, suspected_since: Option<Micros>) -> Record {
    Record::MemberState(MemberState {
        member: 7,
        group: 2,
        primary: false,
        active: true,
        position,
        position_seen_at: position,
        suspected_since,
        in_flight: 1,
        relative_latency_percent: 100,
    })
}

fn open(directory: &Path, now: Micros) -> Store {
    Store::open(directory, "n0", LIMITS, now).unwrap().store
}

fn all(source: &StoreReader) -> (Vec<(Micros, Record)>, Vec<GapCause>) {
    let mut records = Vec::new();
    let gaps = source
        .records(0..=Micros::MAX, BlockFilter::All, |_, at, record| records.push((at, record)))
        .unwrap();
    (records, gaps.into_iter().map(|g| g.cause).collect())
}

/// Guards against records that come back otherwise than they went in, and sums that differ from them, while the
/// writer still has the file open.
#[test]
fn appended_records_are_read_beside_the_writer() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = open(dir.path(), T);
    let name = Record::Class { class: 1, name: "lookup".into(), latency_objective: 300_000 };
    let first =
        vec![(T, name), (T + 1, answer(10, Outcome::Served)), (T + 2, member_state(T - 3 * SECOND, None))];
    let later = T + 11 * SECOND;
    let second = vec![
        (later, answer(30, Outcome::Served)),
        (later, answer(5, Outcome::Rejected(FailureReason::TooStale))),
    ];
    store.append(&first, T + 3).unwrap();
    store.append(&second, later).unwrap();
    let source = StoreReader::open(&store::path(dir.path(), "n0")).unwrap();
    assert_eq!(all(&source), (first.iter().chain(&second).cloned().collect(), vec![]));
    let mut refused = 0;
    source
        .records(0..=Micros::MAX, BlockFilter::WithFailures, |_, _, r| {
            refused += u32::from(matches!(r, Record::Answer { .. }))
        })
        .unwrap();
    assert_eq!(refused, 2, "only the block with a refusal");
    let sums: Vec<_> = source
        .summaries(T, later)
        .unwrap()
        .into_iter()
        .map(|s| (s.outcome_code, s.count, s.longest))
        .collect();
    assert_eq!(sums, [(0, 1, 10), (0, 1, 30), (Outcome::Rejected(FailureReason::TooStale).code(), 1, 5)]);
    assert_eq!(source.name(1, NameKind::Class, 1).map(|n| n.name.as_str()), Some("lookup"));
    // Read-only media and copies without their log: what the file itself holds.
    drop((source, store));
    assert!(StoreSet::open(&[dir.path().to_path_buf()]).problems.is_empty());
}

/// Guards against runs that are drawn through: an end in order, one cut off, and a clock that went back.
#[test]
fn the_time_between_runs_is_a_gap() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = open(dir.path(), T);
    store.append(&[], T + 5 * SECOND).unwrap();
    store.end_run(T + 6 * SECOND).unwrap();
    drop(store);
    open(dir.path(), T + 8 * SECOND).append(&[], T + 9 * SECOND).unwrap();
    open(dir.path(), T + 12 * SECOND).append(&[], T + 13 * SECOND).unwrap();
    drop(open(dir.path(), T + 2 * SECOND));
    let source = StoreReader::open(&store::path(dir.path(), "n0")).unwrap();
    let gaps: Vec<_> =
        source.gaps().into_iter().map(|g| (g.cause, (g.from - T) / SECOND, (g.to - T) / SECOND)).collect();
    assert_eq!(gaps, [(GapCause::Restart, 6, 8), (GapCause::Killed, 9, 12), (GapCause::ClockBack, 2, 13)]);
}

/// Guards against a flipped bit that is read as something else, and against one that makes the rest unreadable.
#[test]
fn a_damaged_block_is_a_gap_and_a_damaged_file_is_set_aside() {
    let dir = tempfile::tempdir().unwrap();
    let path = store::path(dir.path(), "n0");
    let mut store = open(dir.path(), T);
    for i in 0..40 {
        let rows: Vec<_> =
            (0..200).map(|k| (T + i * SECOND + k, answer(123_456_789, Outcome::Late))).collect();
        store.append(&rows, T + i * SECOND).unwrap();
    }
    store.end_run(T + 40 * SECOND).unwrap();
    drop(store);
    let bytes = std::fs::read(&path).unwrap();
    let mark = postcard::to_stdvec(&answer(123_456_789, Outcome::Late)).unwrap();
    let at = bytes.windows(mark.len()).rposition(|w| w == mark).expect("a record in the file");
    let mut file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    file.seek(SeekFrom::Start(at as u64 + 3)).unwrap();
    file.write_all(&[!bytes[at + 3]]).unwrap();
    let (records, gaps) = all(&StoreReader::open(&path).unwrap());
    assert_eq!((records.len(), gaps), (39 * 200, vec![GapCause::Damaged]));
    // Noise over the first pages: not read, not written over, and a new store begins beside it.
    file.seek(SeekFrom::Start(0)).unwrap();
    file.write_all(&[0x5a; 9000]).unwrap();
    assert!(StoreReader::open(&path).is_err());
    let opened = Store::open(dir.path(), "n0", LIMITS, T + 60 * SECOND).unwrap();
    let mut store = opened.store;
    store.append(&[(T + 60 * SECOND, answer(1, Outcome::Served))], T + 60 * SECOND).unwrap();
    let quarantined = opened.quarantined.expect("a file set aside");
    assert_eq!(std::fs::metadata(quarantined.path).unwrap().len(), bytes.len() as u64);
    assert_eq!(all(&StoreReader::open(&path).unwrap()).0.len(), 1);
}

/// Guards against a store of another format that is misread or written to.
#[test]
fn another_format_is_named_and_set_aside() {
    let dir = tempfile::tempdir().unwrap();
    let path = store::path(dir.path(), "n0");
    drop(open(dir.path(), T));
    rusqlite::Connection::open(&path).unwrap().pragma_update(None, "user_version", 99).unwrap();
    let set = StoreSet::open(&[dir.path().to_path_buf()]);
    assert!(set.problems[0].to_string().contains("format 99"), "{:?}", set.problems);
    let opened = Store::open(dir.path(), "n0", LIMITS, T).unwrap();
    assert!(opened.quarantined.is_some());
}

/// Guards against a store without an end: old blocks go by age and by size, sums stay longer.
#[test]
fn retention_removes_what_is_old_or_too_much() {
    let dir = tempfile::tempdir().unwrap();
    let limits = StoreLimits { max_bytes: 300_000, ..LIMITS };
    let mut store = Store::open(dir.path(), "n0", limits, T).unwrap().store;
    let path = store::path(dir.path(), "n0");
    for i in 0..200 {
        let rows: Vec<_> = (0..300).map(|k| (T + i * SECOND + k, answer(k, Outcome::Served))).collect();
        store.append(&rows, T + i * SECOND).unwrap();
    }
    let before = StoreReader::open(&path).unwrap();
    assert!(before.used_bytes().unwrap() > limits.max_bytes);
    while store.apply_retention(T + 200 * SECOND).unwrap() {}
    let after = StoreReader::open(&path).unwrap();
    assert!(after.used_bytes().unwrap() <= limits.max_bytes);
    let (records, _) = all(&after);
    assert!(!records.is_empty() && records.iter().all(|(at, _)| *at > T), "the newest stay");
    let total =
        |s: &StoreReader| s.summaries(0, Micros::MAX / 2).unwrap().iter().map(|s| s.count).sum::<u64>();
    assert_eq!(total(&after), 200 * 300, "sums outlive their records");
    while store.apply_retention(T + 3 * 3600 * SECOND).unwrap() {}
    assert_eq!((all(&after).0.len(), total(&after)), (0, 0));
}

fn config(directory: &Path, queue_capacity: usize) -> RecorderConfig {
    let flush_interval = Duration::from_millis(20);
    RecorderConfig {
        directory: directory.into(),
        proxy: "n0".into(),
        queue_capacity,
        flush_interval,
        limits: LIMITS,
    }
}

fn clock() -> Micros {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_micros() as Micros
}

fn until(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(60);
    while !done() {
        assert!(Instant::now() < end, "{what} never came");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a disk that cannot be written and stops the proxy, or loses records without a word: what came
/// meanwhile is counted, and told as soon as the disk is back.
#[test]
fn a_disk_that_is_missing_for_a_while_leaves_a_counted_gap() {
    let dir = tempfile::tempdir().unwrap();
    let gone = dir.path().join("later");
    let said = Arc::new(Mutex::new(Vec::new()));
    let heard = Arc::clone(&said);
    let recorder =
        Recorder::start(config(&gone, 64), clock, move |what| heard.lock().unwrap().push(what.to_string()))
            .unwrap();
    for _ in 0..10 {
        recorder.record(answer(1, Outcome::Served));
    }
    until("a complaint", || !said.lock().unwrap().is_empty());
    std::fs::create_dir(&gone).unwrap();
    until("a flush", || {
        recorder.record(answer(1, Outcome::Served));
        recorder.stored_count() > 0
    });
    drop(recorder);
    let source = StoreReader::open(&store::path(&gone, "n0")).unwrap();
    let mut gaps = source.records(0..=Micros::MAX, BlockFilter::All, |_, _, _| {}).unwrap();
    let gap = gaps.pop().expect("a gap");
    assert_eq!(gap.cause, GapCause::Lost);
    assert!(gap.count >= Some(10) && gap.from < gap.to && gaps.is_empty());
    assert!(source.runs[0].ended_at.is_some());
}

/// Guards against a full queue that waits or forgets: each record is in the store or in a count.
#[test]
fn no_record_is_lost_without_being_counted() {
    let dir = tempfile::tempdir().unwrap();
    let recorder = Recorder::start(config(dir.path(), 64), clock, |_| {}).unwrap();
    for _ in 0..20_000 {
        recorder.record(answer(1, Outcome::Served));
    }
    // One that gets through carries the count of those that did not.
    until("room", || {
        let before = recorder.stored_count();
        recorder.record(answer(1, Outcome::Served));
        std::thread::sleep(Duration::from_millis(50));
        recorder.stored_count() > before
    });
    drop(recorder);
    let source = StoreReader::open(&store::path(dir.path(), "n0")).unwrap();
    let mut kept = 0;
    let gaps = source.records(0..=Micros::MAX, BlockFilter::All, |_, _, _| kept += 1).unwrap();
    let lost: u64 = gaps.iter().filter_map(|g| g.count).sum();
    assert!(kept + lost >= 20_001 && lost > 0, "{kept} kept and {lost} counted as lost");
}
