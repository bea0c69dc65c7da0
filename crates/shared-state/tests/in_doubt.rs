//! Tests of the table of write outcomes for the serving thread: merge rule, bound and time to live.

use wharfplank_shared_state::{
    Entry, InDoubtWrites, Key, Micros, SharedState, SharedStateConfig, Value, WriteOutcome, WriteRecord,
};

fn record(write: u64, outcome: WriteOutcome, refreshed_at: Micros) -> WriteRecord {
    WriteRecord { write, outcome, refreshed_at }
}

#[test]
fn outcomes_merge_in_any_order_and_table_is_bounded() {
    let time_to_live = Key::WriteOutcome(0).time_to_live();
    let mut writes = InDoubtWrites::new(3);
    writes.merge(record(1, WriteOutcome::NotExecuted, 5));
    assert!(!writes.contains(1), "write 1 is known not to have been executed");
    writes.merge(record(1, WriteOutcome::InDoubt, 9));
    assert!(writes.contains(1), "a later send of write 1 may have been executed");
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

/// Guards against the doubt of one send of a write being hidden behind the known outcome of another send of
/// the same id, for every order in which proxies learn of the two and of a repetition.
#[test]
fn a_send_that_was_not_executed_hides_no_doubt_of_another_send() {
    use WriteOutcome::{InDoubt, NotExecuted};
    for order in [[NotExecuted, InDoubt, NotExecuted], [InDoubt, NotExecuted, InDoubt]] {
        let mut writes = InDoubtWrites::new(3);
        let mut state = SharedState::new(1, SharedStateConfig::default(), 1, 0);
        let mut entry = Entry::new(Value::WriteOutcome(order[0]), 0);
        for (at, outcome) in order.into_iter().enumerate() {
            let at = at as Micros;
            writes.merge(record(1, outcome, at));
            state.record_write_outcome(at, 1, outcome);
            entry.merge(&Entry::new(Value::WriteOutcome(outcome), at));
        }
        assert!(writes.contains(1), "{order:?} for the serving thread");
        assert!(state.is_in_doubt(1), "{order:?} for the shared state");
        assert_eq!(entry.value(), Value::WriteOutcome(InDoubt), "{order:?} in a merge of copies");
    }
}
