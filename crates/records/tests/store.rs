//! The store and the recorder through failures.

use std::io::{Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wharfplank_records::reader::{Cause, Reader, Source};
use wharfplank_records::record::{Outcome, Reason};
use wharfplank_records::recorder::Terms;
use wharfplank_records::store::{self, Limits, Store};
use wharfplank_records::{Micros, Record, Recorder, Seen};

const T: Micros = 1_800_000_000_000_000;
const SECOND: Micros = 1_000_000;
const LIMITS: Limits = Limits { bytes: 64 << 20, blocks: 3600 * SECOND, sums: 7200 * SECOND };

fn answer(took: Micros, outcome: Outcome) -> Record {
    let stale = (outcome == Outcome::Refused(Reason::TooStale)).then_some((T, T - 5));
    Record::Answer { class: 1, group: 2, member: Some(7), attempts: 2, took, outcome, stale }
}

fn seen(position: Micros, suspected: Option<Micros>) -> Record {
    let (member, group, primary, active, heard) = (7, 2, false, true, position);
    Record::Seen(Seen {
        member,
        group,
        primary,
        active,
        position,
        heard,
        suspected,
        in_flight: 1,
        slowness: 100,
    })
}

fn open(directory: &Path, now: Micros) -> Store {
    Store::open(directory, "n0", LIMITS, now).unwrap().0
}

fn all(source: &Source) -> (Vec<(Micros, Record)>, Vec<Cause>) {
    let mut records = Vec::new();
    let gaps = source.records((0, Micros::MAX), false, |_, at, record| records.push((at, record))).unwrap();
    (records, gaps.into_iter().map(|g| g.cause).collect())
}

/// Guards against records that come back otherwise than they went in, and sums that differ from them, while the
/// writer still has the file open.
#[test]
fn what_is_appended_is_read_beside_the_writer() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = open(dir.path(), T);
    let name = Record::Class { class: 1, name: "lookup".into(), aim: 300_000 };
    let first = vec![(T, name), (T + 1, answer(10, Outcome::Served)), (T + 2, seen(T - 3 * SECOND, None))];
    let later = T + 11 * SECOND;
    let second =
        vec![(later, answer(30, Outcome::Served)), (later, answer(5, Outcome::Refused(Reason::TooStale)))];
    store.append(&first, T + 3).unwrap();
    store.append(&second, later).unwrap();
    let source = Source::open(&store::path(dir.path(), "n0")).unwrap();
    assert_eq!(all(&source), (first.iter().chain(&second).cloned().collect(), vec![]));
    let mut refused = 0;
    source
        .records((0, Micros::MAX), true, |_, _, r| refused += u32::from(matches!(r, Record::Answer { .. })))
        .unwrap();
    assert_eq!(refused, 2, "only the block with a refusal");
    let sums: Vec<_> =
        source.sums(T, later).unwrap().into_iter().map(|(_, s)| (s.outcome, s.count, s.most)).collect();
    assert_eq!(sums, [(0, 1, 10), (0, 1, 30), (store::code(Outcome::Refused(Reason::TooStale)), 1, 5)]);
    assert_eq!(source.name(1, "class", 1).map(|n| n.name.as_str()), Some("lookup"));
    // Read-only media and copies without their log: what the file itself holds.
    drop((source, store));
    assert!(Reader::open(&[dir.path().to_path_buf()]).problems.is_empty());
}

/// Guards against runs that are drawn through: an end in order, one cut off, and a clock that went back.
#[test]
fn what_lies_between_runs_is_a_gap() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = open(dir.path(), T);
    store.append(&[], T + 5 * SECOND).unwrap();
    store.end(T + 6 * SECOND).unwrap();
    drop(store);
    open(dir.path(), T + 8 * SECOND).append(&[], T + 9 * SECOND).unwrap();
    open(dir.path(), T + 12 * SECOND).append(&[], T + 13 * SECOND).unwrap();
    drop(open(dir.path(), T + 2 * SECOND));
    let source = Source::open(&store::path(dir.path(), "n0")).unwrap();
    let gaps: Vec<_> =
        source.gaps().into_iter().map(|g| (g.cause, (g.from - T) / SECOND, (g.to - T) / SECOND)).collect();
    assert_eq!(gaps, [(Cause::Restart, 6, 8), (Cause::Killed, 9, 12), (Cause::ClockBack, 2, 13)]);
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
    store.end(T + 40 * SECOND).unwrap();
    drop(store);
    let bytes = std::fs::read(&path).unwrap();
    let mark = postcard::to_stdvec(&answer(123_456_789, Outcome::Late)).unwrap();
    let at = bytes.windows(mark.len()).rposition(|w| w == mark).expect("a record in the file");
    let mut file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    file.seek(SeekFrom::Start(at as u64 + 3)).unwrap();
    file.write_all(&[!bytes[at + 3]]).unwrap();
    let (records, gaps) = all(&Source::open(&path).unwrap());
    assert_eq!((records.len(), gaps), (39 * 200, vec![Cause::Damaged]));
    // Noise over the first pages: not read, not written over, and a new store begins beside it.
    file.seek(SeekFrom::Start(0)).unwrap();
    file.write_all(&[0x5a; 9000]).unwrap();
    assert!(Source::open(&path).is_err());
    let (mut store, note) = Store::open(dir.path(), "n0", LIMITS, T + 60 * SECOND).unwrap();
    store.append(&[(T + 60 * SECOND, answer(1, Outcome::Served))], T + 60 * SECOND).unwrap();
    let Some(store::Note::SetAside(aside, _)) = note else { panic!("no note") };
    assert_eq!(std::fs::metadata(aside).unwrap().len(), bytes.len() as u64);
    assert_eq!(all(&Source::open(&path).unwrap()).0.len(), 1);
}

/// Guards against a store of another format that is misread or written to.
#[test]
fn another_format_is_named_and_set_aside() {
    let dir = tempfile::tempdir().unwrap();
    let path = store::path(dir.path(), "n0");
    drop(open(dir.path(), T));
    rusqlite::Connection::open(&path).unwrap().pragma_update(None, "user_version", 99).unwrap();
    let reader = Reader::open(&[dir.path().to_path_buf()]);
    assert!(reader.problems[0].contains("format 99"), "{:?}", reader.problems);
    let (_, note) = Store::open(dir.path(), "n0", LIMITS, T).unwrap();
    assert!(note.is_some());
}

/// Guards against a store without an end: old blocks go by age and by size, sums stay longer.
#[test]
fn what_is_old_or_too_much_goes() {
    let dir = tempfile::tempdir().unwrap();
    let limits = Limits { bytes: 300_000, ..LIMITS };
    let mut store = Store::open(dir.path(), "n0", limits, T).unwrap().0;
    let path = store::path(dir.path(), "n0");
    for i in 0..200 {
        let rows: Vec<_> = (0..300).map(|k| (T + i * SECOND + k, answer(k, Outcome::Served))).collect();
        store.append(&rows, T + i * SECOND).unwrap();
    }
    let before = Source::open(&path).unwrap();
    assert!(before.bytes().unwrap() > limits.bytes);
    while store.retire(T + 200 * SECOND).unwrap() {}
    let after = Source::open(&path).unwrap();
    assert!(after.bytes().unwrap() <= limits.bytes);
    let (records, _) = all(&after);
    assert!(!records.is_empty() && records.iter().all(|(at, _)| *at > T), "the newest stay");
    let total = |s: &Source| s.sums(0, Micros::MAX / 2).unwrap().iter().map(|(_, s)| s.count).sum::<u64>();
    assert_eq!(total(&after), 200 * 300, "sums outlive their records");
    while store.retire(T + 3 * 3600 * SECOND).unwrap() {}
    assert_eq!((all(&after).0.len(), total(&after)), (0, 0));
}

fn terms(directory: &Path, queue: usize) -> Terms {
    let flush = Duration::from_millis(20);
    Terms { directory: directory.into(), proxy: "n0".into(), queue, flush, limits: LIMITS }
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
fn a_disk_that_is_gone_for_a_while_leaves_a_counted_gap() {
    let dir = tempfile::tempdir().unwrap();
    let gone = dir.path().join("later");
    let said = Arc::new(Mutex::new(Vec::new()));
    let heard = Arc::clone(&said);
    let recorder =
        Recorder::start(terms(&gone, 64), clock, move |what| heard.lock().unwrap().push(what.to_string()))
            .unwrap();
    for _ in 0..10 {
        recorder.note(answer(1, Outcome::Served));
    }
    until("a complaint", || !said.lock().unwrap().is_empty());
    std::fs::create_dir(&gone).unwrap();
    until("a flush", || {
        recorder.note(answer(1, Outcome::Served));
        recorder.flushed() > 0
    });
    drop(recorder);
    let source = Source::open(&store::path(&gone, "n0")).unwrap();
    let mut gaps = source.records((0, Micros::MAX), false, |_, _, _| {}).unwrap();
    let gap = gaps.pop().expect("a gap");
    assert_eq!(gap.cause, Cause::Lost);
    assert!(gap.count >= Some(10) && gap.from < gap.to && gaps.is_empty());
    assert!(source.runs[0].ended.is_some());
}

/// Guards against a full queue that waits or forgets: each record is in the store or in a count.
#[test]
fn no_record_is_lost_without_being_counted() {
    let dir = tempfile::tempdir().unwrap();
    let recorder = Recorder::start(terms(dir.path(), 64), clock, |_| {}).unwrap();
    for _ in 0..20_000 {
        recorder.note(answer(1, Outcome::Served));
    }
    // One that gets through carries the count of those that did not.
    until("room", || {
        let before = recorder.flushed();
        recorder.note(answer(1, Outcome::Served));
        std::thread::sleep(Duration::from_millis(50));
        recorder.flushed() > before
    });
    drop(recorder);
    let source = Source::open(&store::path(dir.path(), "n0")).unwrap();
    let mut kept = 0;
    let gaps = source.records((0, Micros::MAX), false, |_, _, _| kept += 1).unwrap();
    let lost: u64 = gaps.iter().filter_map(|g| g.count).sum();
    assert!(kept + lost >= 20_001 && lost > 0, "{kept} kept and {lost} counted as lost");
}
