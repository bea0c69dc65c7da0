//! Pins the encodings of messages and snapshots, which proxies of other versions read and which are on disk.

use wharfplank_health::HealthObservation;
use wharfplank_shared_state::anti_entropy::{KeyRange, Message};
use wharfplank_shared_state::{
    snapshot, ClaimId, ClaimMessage, Entry, HybridTimestamp, Key, MemberStatus, Value, WriteOutcome,
};

fn entries() -> Vec<(Key, Entry)> {
    let timestamp = HybridTimestamp { wall: 1_000_003, counter: 2, process: 9 };
    let observation = HealthObservation {
        incarnation_ms: 77,
        newest_window: 5,
        log_ratio: -3,
        samples: 12,
        ..HealthObservation::default()
    };
    let refreshed_at = 1_000_000;
    vec![
        (Key::Position(1), Entry::new(Value::Position { epoch: 7, position: 70_000 }, refreshed_at)),
        (
            Key::MemberStatus(2),
            Entry::new(Value::MemberStatus { timestamp, status: MemberStatus::Alive }, refreshed_at),
        ),
        (
            Key::MemberStatus(3),
            Entry::new(Value::MemberStatus { timestamp, status: MemberStatus::Suspected }, refreshed_at),
        ),
        (Key::Counter { counter: 4, process: 500 }, Entry::new(Value::Counter(300), refreshed_at)),
        (Key::WriteOutcome(5), Entry::new(Value::WriteOutcome(WriteOutcome::InDoubt), refreshed_at)),
        (Key::WriteOutcome(6), Entry::new(Value::WriteOutcome(WriteOutcome::NotExecuted), refreshed_at)),
        (Key::WriteOutcome(7), Entry::new(Value::WriteOutcome(WriteOutcome::Executed), refreshed_at)),
        (Key::Health { member: 8, router: 9 }, Entry::new(Value::Health(observation), refreshed_at)),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn encoded(message: &Message) -> String {
    hex(&postcard::to_allocvec(message).unwrap())
}

/// The encoding of [`entries`] in messages and snapshots, preceded by their count.
const ENTRIES: &str = "080001000ee0c50880897a01020186897a02090080897a01030186897a02090180897a\
    0204f40302ac0280897a0305030080897a0306030180897a0307030280897a040809049a010a050c0000000080897a";

#[test]
fn message_encodings_are_stable() {
    let range = KeyRange { bucket: 300, from: None, to: Some(Key::WriteOutcome(5)), entries: entries() };
    assert_eq!(encoded(&Message::Delta(entries())), format!("00{ENTRIES}"));
    assert_eq!(encoded(&Message::DigestRequest(vec![0, 1, u64::MAX])), "01030001ffffffffffffffffff01");
    assert_eq!(encoded(&Message::Ranges(vec![range])), format!("0201ac0200010305{ENTRIES}"));
    assert_eq!(encoded(&Message::Repair(entries())), format!("03{ENTRIES}"));
    let (write, claim) = (300, ClaimId { process: 5, request: 6 });
    let claims = [
        (ClaimMessage::Register { write, claim }, "0400ac020506"),
        (ClaimMessage::Granted(claim), "04010506"),
        (ClaimMessage::Denied(claim), "04020506"),
        (ClaimMessage::Release { write, claim }, "0403ac020506"),
        (ClaimMessage::Released(claim), "04040506"),
    ];
    for (message, expected) in claims {
        assert_eq!(encoded(&Message::Claim(message)), expected);
    }
}

#[test]
fn snapshot_encoding_is_stable() {
    assert_eq!(hex(&snapshot::encode(123, entries())), format!("01f601{ENTRIES}0302edc7f87868f5"));
}

#[test]
fn buckets_and_digests_are_stable() {
    let digests: Vec<(usize, u64)> =
        entries().iter().map(|(key, entry)| (key.digest_bucket(), entry.digest(key))).collect();
    let expected = [
        (23, 0x66ad_c860_f575_2138),
        (7, 0x72a2_2ff7_d44a_09cd),
        (62, 0x7e72_6397_b869_c762),
        (56, 0xedc1_0896_6080_6be6),
        (32, 0x4818_5f7d_0771_d482),
        (29, 0xbf02_6592_ec8a_de6f),
        (57, 0xf495_15a4_4dc3_ab70),
        (55, 0x7860_6f46_5e92_90c6),
    ];
    assert_eq!(digests, expected);
}
