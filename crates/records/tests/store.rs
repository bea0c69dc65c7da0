//! The store and the recorder, including their behavior under failures.

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

fn all(reader: &StoreReader) -> (Vec<(Micros, Record)>, Vec<GapCause>) {
    let mut records = Vec::new();
    let gaps = reader
        .records(0..=Micros::MAX, BlockFilter::All, |_, at, record| records.push((at, record)))
        .unwrap();
    (records, gaps.into_iter().map(|g| g.cause).collect())
}

/// Guards against records that change between writing and reading, and against summaries that do not match
/// the records, while the writer still has the file open.
#[test]
fn appended_records_can_be_read_while_writing() {
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
    let reader = StoreReader::open(&store::path(dir.path(), "n0")).unwrap();
    assert_eq!(all(&reader), (first.iter().chain(&second).cloned().collect(), vec![]));
    let mut answers = 0;
    reader
        .records(0..=Micros::MAX, BlockFilter::WithFailures, |_, _, r| {
            answers += u32::from(matches!(r, Record::Answer { .. }));
        })
        .unwrap();
    assert_eq!(answers, 2, "only the answers of the block with a rejected one");
    let summary_rows: Vec<_> = reader
        .summaries(T, later)
        .unwrap()
        .into_iter()
        .map(|s| (s.outcome_code, s.count, s.longest))
        .collect();
    assert_eq!(
        summary_rows,
        [(0, 1, 10), (0, 1, 30), (Outcome::Rejected(FailureReason::TooStale).code(), 1, 5)]
    );
    assert_eq!(reader.name(1, NameKind::Class, 1).map(|n| n.name.as_str()), Some("lookup"));
    // The file stays readable after the writer has closed it, as on a read-only medium or as a copy without
    // its log.
    drop((reader, store));
    assert!(StoreSet::open(&[dir.path().to_path_buf()]).problems.is_empty());
}

/// Guards against missing gaps between runs: after a graceful end, after a kill, and after the clock was set
/// back.
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
    let reader = StoreReader::open(&store::path(dir.path(), "n0")).unwrap();
    let gaps: Vec<_> =
        reader.gaps().into_iter().map(|g| (g.cause, (g.from - T) / SECOND, (g.to - T) / SECOND)).collect();
    assert_eq!(gaps, [(GapCause::Restart, 6, 8), (GapCause::Killed, 9, 12), (GapCause::ClockBack, 2, 13)]);
}

/// Guards against a changed byte that is decoded as other records, or that makes the other blocks unreadable.
#[test]
fn damaged_block_is_a_gap_and_damaged_file_is_replaced() {
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
    let encoded = postcard::to_stdvec(&answer(123_456_789, Outcome::Late)).unwrap();
    let at = bytes.windows(encoded.len()).rposition(|w| w == encoded).expect("a record in the file");
    let mut file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    file.seek(SeekFrom::Start(at as u64 + 3)).unwrap();
    file.write_all(&[!bytes[at + 3]]).unwrap();
    let (records, gaps) = all(&StoreReader::open(&path).unwrap());
    assert_eq!((records.len(), gaps), (39 * 200, vec![GapCause::Damaged]));
    // With its first pages overwritten, the file is neither read nor written to, and a new store replaces it.
    file.seek(SeekFrom::Start(0)).unwrap();
    file.write_all(&[0x5a; 9000]).unwrap();
    assert!(StoreReader::open(&path).is_err());
    let opened = Store::open(dir.path(), "n0", LIMITS, T + 60 * SECOND).unwrap();
    let mut store = opened.store;
    store.append(&[(T + 60 * SECOND, answer(1, Outcome::Served))], T + 60 * SECOND).unwrap();
    let quarantined = opened.quarantined.expect("the renamed file");
    assert_eq!(std::fs::metadata(quarantined.path).unwrap().len(), bytes.len() as u64);
    assert_eq!(all(&StoreReader::open(&path).unwrap()).0.len(), 1);
}

/// Guards against a store of another format that is decoded wrongly or written to.
#[test]
fn other_format_is_reported_and_replaced() {
    let dir = tempfile::tempdir().unwrap();
    let path = store::path(dir.path(), "n0");
    drop(open(dir.path(), T));
    rusqlite::Connection::open(&path).unwrap().pragma_update(None, "user_version", 99).unwrap();
    let set = StoreSet::open(&[dir.path().to_path_buf()]);
    assert!(set.problems[0].to_string().contains("format 99"), "{:?}", set.problems);
    let opened = Store::open(dir.path(), "n0", LIMITS, T).unwrap();
    assert!(opened.quarantined.is_some());
}

/// Guards against unbounded growth: blocks are removed by age and by file size, summaries are kept longer.
#[test]
fn retention_removes_expired_and_excess_data() {
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
    assert!(!records.is_empty() && records.iter().all(|(at, _)| *at > T), "the newest records are kept");
    let total =
        |s: &StoreReader| s.summaries(0, Micros::MAX / 2).unwrap().iter().map(|s| s.count).sum::<u64>();
    assert_eq!(total(&after), 200 * 300, "summaries are kept longer than records");
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

fn wait_until(condition: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(60);
    while !done() {
        assert!(Instant::now() < end, "timed out waiting for {condition}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against an unwritable disk that blocks the proxy or loses records unnoticed: records that cannot be
/// stored are counted, and the count is stored once the disk is available again.
#[test]
fn unavailable_disk_leaves_a_counted_gap() {
    let dir = tempfile::tempdir().unwrap();
    let missing = dir.path().join("later");
    let reports = Arc::new(Mutex::new(Vec::new()));
    let sink = Arc::clone(&reports);
    let recorder =
        Recorder::start(config(&missing, 64), clock, move |text| sink.lock().unwrap().push(text.to_string()))
            .unwrap();
    for _ in 0..10 {
        recorder.record(answer(1, Outcome::Served));
    }
    wait_until("an error report", || !reports.lock().unwrap().is_empty());
    std::fs::create_dir(&missing).unwrap();
    wait_until("a flush", || {
        recorder.record(answer(1, Outcome::Served));
        recorder.stored_count() > 0
    });
    drop(recorder);
    let reader = StoreReader::open(&store::path(&missing, "n0")).unwrap();
    let mut gaps = reader.records(0..=Micros::MAX, BlockFilter::All, |_, _, _| {}).unwrap();
    let gap = gaps.pop().expect("a gap");
    assert_eq!(gap.cause, GapCause::Lost);
    assert!(gap.count >= Some(10) && gap.from < gap.to && gaps.is_empty());
    assert!(reader.runs[0].ended_at.is_some());
}

/// Guards against a full queue that blocks, or loses records unnoticed: each record is stored or counted as
/// lost.
#[test]
fn records_are_stored_or_counted_as_lost() {
    let dir = tempfile::tempdir().unwrap();
    let recorder = Recorder::start(config(dir.path(), 64), clock, |_| {}).unwrap();
    for _ in 0..20_000 {
        recorder.record(answer(1, Outcome::Served));
    }
    // The next flush that succeeds also stores the count of the dropped records.
    wait_until("a stored record", || {
        let before = recorder.stored_count();
        recorder.record(answer(1, Outcome::Served));
        std::thread::sleep(Duration::from_millis(50));
        recorder.stored_count() > before
    });
    drop(recorder);
    let reader = StoreReader::open(&store::path(dir.path(), "n0")).unwrap();
    let mut stored = 0;
    let gaps = reader.records(0..=Micros::MAX, BlockFilter::All, |_, _, _| stored += 1).unwrap();
    let lost: u64 = gaps.iter().filter_map(|g| g.count).sum();
    assert!(stored + lost >= 20_001 && lost > 0, "{stored} stored and {lost} counted as lost");
}
