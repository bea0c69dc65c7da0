//! The encoding of stored records, which later releases must be able to read.

use wharfplank_records::{FailureReason, MemberState, Outcome, Record, Staleness};

fn answer(outcome: Outcome, staleness: Option<Staleness>) -> Record {
    Record::Answer { class: 3, group: 300, member: Some(7), attempts: 2, took: 9_000, outcome, staleness }
}

fn records() -> Vec<(Record, &'static str)> {
    let state = MemberState {
        member: 7,
        group: 300,
        primary: true,
        active: false,
        position: 1_000,
        position_seen_at: 2_000,
        suspected_since: Some(3_000),
        in_flight: 4,
        relative_latency_percent: 150,
    };
    vec![
        (
            Record::Class { class: 1, name: "lookup".into(), latency_objective: 300_000 },
            "0001066c6f6f6b7570c0cf24",
        ),
        (Record::Proxy { zone: "a".into() }, "010161"),
        (Record::Member { member: 7, name: "m".into(), zone: "b".into() }, "0207016d0162"),
        (answer(Outcome::Served, None), "0303ac02010702d08c010000"),
        (answer(Outcome::Late, None), "0303ac02010702d08c010100"),
        (
            answer(Outcome::Rejected(FailureReason::TooStale), Some(Staleness { needed: 5, known: -5 })),
            "0303ac02010702d08c010200010a09",
        ),
        (answer(Outcome::Failed(FailureReason::OverQuota), None), "0303ac02010702d08c01030a00"),
        (answer(Outcome::Failed(FailureReason::ClaimUnavailable), None), "0303ac02010702d08c01030b00"),
        (Record::MemberState(state), "0407ac020100d00fa01f01f02e049601"),
        (
            Record::EndpointListed { version: 9, member: 7, health: "left".into(), started_at: 11 },
            "050907046c65667416",
        ),
        (Record::EndpointListState { staleness: Some("old".into()), suspect: None }, "0601036f6c6400"),
        (Record::HealthCheck { member: 7, answered: true }, "070701"),
        (Record::Reload { applied: false }, "0800"),
        (Record::ShuttingDown, "09"),
        (Record::Lost { count: 300, since: 12 }, "0aac0218"),
        (
            Record::Rollout {
                rollout: "r".into(),
                action: "w".into(),
                member: "-".into(),
                detail: "d".into(),
            },
            "0b01720177012d0164",
        ),
    ]
}

fn hex(record: &Record) -> String {
    postcard::to_stdvec(record).unwrap().iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn records_keep_their_encoding() {
    for (record, expected) in records() {
        assert_eq!(hex(&record), expected, "{record:?}");
    }
}

#[test]
fn outcomes_keep_their_codes() {
    let reasons: Vec<(i64, &str)> =
        FailureReason::ALL.iter().map(|reason| (Outcome::Rejected(*reason).code(), reason.name())).collect();
    let expected = [
        (100, "too stale"),
        (101, "no primary"),
        (102, "no member"),
        (103, "shed"),
        (104, "held too long"),
        (105, "out of time"),
        (106, "attempts spent"),
        (107, "may have run"),
        (108, "closing"),
        (109, "unusable"),
        (110, "over budget"),
        (111, "claim unavailable"),
    ];
    assert_eq!(reasons, expected);
    assert_eq!((Outcome::Served.code(), Outcome::Late.code()), (0, 1));
    assert_eq!(Outcome::Failed(FailureReason::NoMember).code(), 202);
    for code in (0..=1).chain(100..=111).chain(200..=211) {
        assert_eq!(Outcome::from_code(code).map(Outcome::code), Some(code));
    }
    assert_eq!([2, 112, 212, -1].map(Outcome::from_code), [None; 4]);
}
