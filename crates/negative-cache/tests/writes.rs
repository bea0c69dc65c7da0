//! Tests of the writes of one proxy and of the slots that it closes.

use wharfplank_negative_cache::{
    ClosedSlot, KeyHash, NegativeCacheConfig, PendingWrites, Slot, MAX_CLOSED_SLOTS_PER_REQUEST, MAX_WRITES,
    WINDOW_SLOTS,
};

/// Returns the closed slots in which a key may have been written.
fn slots_with(writes: &PendingWrites, key: u32) -> Vec<Slot> {
    let closed_slots = writes.closed_slots_after(Slot::MIN);
    closed_slots
        .iter()
        .filter(|closed| closed.keys.contains(&KeyHash(key)))
        .map(|closed| closed.slot)
        .collect()
}

/// Returns all closed slots, collected message by message.
fn all_closed_slots(writes: &PendingWrites) -> Vec<ClosedSlot> {
    let mut all: Vec<ClosedSlot> = Vec::new();
    loop {
        let last = all.last().map_or(Slot::MIN, |closed| closed.slot);
        let next = writes.closed_slots_after(last);
        if next.is_empty() {
            return all;
        }
        all.extend(next);
    }
}

#[test]
fn write_is_recorded_in_all_slots_of_possible_commit() {
    let config = NegativeCacheConfig {
        slot_length: 100,
        max_clock_skew: 10,
        max_commit_delay: 1_000,
        ..NegativeCacheConfig::default()
    };
    let mut writes = PendingWrites::new(config, 10_000);
    let answered = writes.begin(10_005, vec![KeyHash(1)]).unwrap();
    let in_doubt = writes.begin(10_005, vec![KeyHash(2)]).unwrap();
    let not_executed = writes.begin(10_005, vec![KeyHash(3)]).unwrap();
    writes.on_not_executed(not_executed);
    writes.advance(10_110);
    assert_eq!(writes.last_closed(), 99, "a slot was closed in which a write that begins now may commit");
    writes.advance(10_111);
    assert_eq!(writes.last_closed(), 100);
    writes.on_answered(10_195, answered);
    writes.on_in_doubt(10_195, in_doubt);
    assert_eq!(writes.last_commit_slot(), Some(112));
    writes.advance(11_600);
    // With a clock skew of 10, the answered write may commit from 9,995 to 10,205, the one in doubt 1,000
    // later.
    assert_eq!(slots_with(&writes, 1), [99, 100, 101, 102]);
    assert_eq!(slots_with(&writes, 2), (99..=112).collect::<Vec<_>>());
    assert_eq!((slots_with(&writes, 3).len(), writes.len()), (0, 0));
}

#[test]
fn writes_and_keys_are_bounded() {
    let config = NegativeCacheConfig::default();
    let mut writes = PendingWrites::new(config.clone(), 0);
    let all: Vec<_> = (0..MAX_WRITES as u32).filter_map(|n| writes.begin(0, vec![KeyHash(n)])).collect();
    assert_eq!((all.len(), writes.begin(0, vec![])), (MAX_WRITES, None));
    writes.advance(500 * config.slot_length);
    let closed_slots = writes.closed_slots_after(Slot::MIN);
    assert_eq!(closed_slots.len(), MAX_CLOSED_SLOTS_PER_REQUEST);
    assert!(closed_slots.iter().all(|closed| closed.all_keys && closed.keys.is_empty()));
    assert_eq!(all_closed_slots(&writes).len(), WINDOW_SLOTS as usize);
}
