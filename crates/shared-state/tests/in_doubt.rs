//! Tests of the table of write outcomes for the serving thread: merge rule, bound and time to live.

use wharfplank_shared_state::{InDoubtWrites, Key, Micros, WriteOutcome, WriteRecord};

fn record(write: u64, outcome: WriteOutcome, refreshed_at: Micros) -> WriteRecord {
    WriteRecord { write, outcome, refreshed_at }
}

#[test]
fn outcomes_merge_in_any_order_and_table_is_bounded() {
    let time_to_live = Key::WriteOutcome(0).time_to_live();
    let mut writes = InDoubtWrites::new(3);
    writes.merge(record(1, WriteOutcome::NotExecuted, 5));
    writes.merge(record(1, WriteOutcome::InDoubt, 9));
    assert!(!writes.contains(1), "write 1 is known not to have been executed");
    writes.merge(record(1, WriteOutcome::Executed, 2));
    assert!(writes.contains(1));
    writes.expire(time_to_live + 9);
    assert_eq!(writes.len(), 1, "write 1 was refreshed at 9 and must not expire yet");
    writes.expire(time_to_live + 10);
    assert!(writes.is_empty() && !writes.contains(1));
    for write in 1..=5 {
        writes.merge(record(write, WriteOutcome::InDoubt, 100 + write as Micros));
    }
    assert_eq!((writes.len(), writes.evicted, writes.contains(2), writes.contains(3)), (3, 2, false, true));
}
