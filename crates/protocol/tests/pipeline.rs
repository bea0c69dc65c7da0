//! The order of answers, and what may wait.

use wharfplank_protocol::client_session::ProtocolViolation;
use wharfplank_protocol::pipeline::*;

fn rejected(retry_after_ms: i64) -> FinalResponse {
    FinalResponse::Rejected { retry_after_ms }
}

/// Takes all that can be written.
fn drain(pipeline: &mut Pipeline) -> Vec<NextWrite> {
    let mut out = Vec::new();
    while let Some(next) = pipeline.next_write(true) {
        let end = matches!(next, NextWrite::Close(_));
        out.push(next);
        if end {
            break;
        }
    }
    out
}

/// Guards against answers that overtake each other: whatever the order in which they come, they leave in the
/// order of the commands, each once, and all that was held is given back.
#[test]
fn any_order_of_answers_leaves_in_the_order_of_commands() {
    let mut seed = 7_u64;
    let mut draw = move |below: usize| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) as usize % below
    };
    for _ in 0..500 {
        let (mut pipeline, mut open, mut wanted, mut got) = (Pipeline::default(), vec![], vec![], vec![]);
        for number in 0..100 {
            if pipeline.has_capacity() && draw(4) == 0 {
                pipeline.push_empty_query();
                wanted.push(NextWrite::EmptyQuery);
            } else if pipeline.has_capacity() {
                pipeline.push_request(RequestNumber(number), draw(1000));
                open.push(number);
                wanted.push(NextWrite::Response(rejected(number as i64)));
            }
            while !open.is_empty() && draw(3) > 0 {
                let number = open.swap_remove(draw(open.len()));
                let due = pipeline.complete(RequestNumber(number), rejected(number as i64), usize::MAX);
                let first = wanted.get(got.len()) == Some(&NextWrite::Response(rejected(number as i64)));
                assert_eq!(due, first);
                assert!(
                    !pipeline.complete(RequestNumber(number), FinalResponse::Failed, usize::MAX),
                    "a second answer"
                );
            }
            got.append(&mut drain(&mut pipeline));
            assert!(wanted.len() - got.len() <= MAX_OPEN_COMMANDS);
        }
        for number in open {
            pipeline.complete(RequestNumber(number), rejected(number as i64), usize::MAX);
        }
        got.append(&mut drain(&mut pipeline));
        assert_eq!(got, wanted);
        assert_eq!(pipeline.buffered_bytes(), 0);
    }
}

/// Guards against a client that reads nothing while large rows pile up for it: what waits is bounded, the one
/// that does not fit has failed in its place, and nothing more is asked ahead meanwhile.
#[test]
fn early_rows_are_bounded_in_bytes() {
    let mut pipeline = Pipeline::default();
    (0..4).for_each(|n| pipeline.push_request(RequestNumber(n), 100));
    let row = |size| FinalResponse::Served(vec![1; size]);
    assert!(!pipeline.complete(RequestNumber(1), row(MAX_BUFFERED_BYTES - 1000), usize::MAX));
    assert!(!pipeline.has_capacity());
    assert!(!pipeline.complete(RequestNumber(2), row(2000), usize::MAX));
    assert!(!pipeline.complete(RequestNumber(3), row(10), 9), "no room left by others");
    assert!(
        pipeline.complete(RequestNumber(0), row(3 * MAX_BUFFERED_BYTES), 0),
        "the first is written at once"
    );
    let lengths: Vec<_> = drain(&mut pipeline)
        .into_iter()
        .map(|next| match next {
            NextWrite::Response(FinalResponse::Served(messages)) => Some(messages.len()),
            _ => None,
        })
        .collect();
    assert_eq!(lengths, [Some(3 * MAX_BUFFERED_BYTES), Some(MAX_BUFFERED_BYTES - 1000), None, None]);
    assert!(pipeline.has_capacity());
}

/// Guards against an error that costs a client the requests behind it, and against one who never asks anything
/// usable and keeps its connection.
#[test]
fn an_unusable_request_keeps_its_place() {
    let mut pipeline = Pipeline::default();
    (0..3).for_each(|n| pipeline.push_request(RequestNumber(n), 0));
    pipeline.complete(RequestNumber(1), FinalResponse::Malformed("unknown"), usize::MAX);
    pipeline.push_malformed("no id");
    assert!(pipeline.has_capacity());
    assert_eq!(pipeline.next_write(true), None);
    for n in 0..3 {
        pipeline.complete(RequestNumber(n), FinalResponse::Failed, usize::MAX);
    }
    let unusable = |what| NextWrite::Response(FinalResponse::Malformed(what));
    let failed = || NextWrite::Response(FinalResponse::Failed);
    assert_eq!(drain(&mut pipeline), [failed(), unusable("unknown"), failed(), unusable("no id")]);
    let mut first = Pipeline::default();
    first.push_malformed("no id");
    let violation = ProtocolViolation { code: "08P01", message: "no id" };
    assert_eq!(
        drain(&mut first),
        [NextWrite::Close(Closing { reason: "malformed_request", violation: Some(violation) })]
    );
    let mut alone = Pipeline::default();
    alone.push_request(RequestNumber(9), 0);
    assert!(alone.complete(RequestNumber(9), FinalResponse::Malformed("no id"), usize::MAX));
    assert_eq!(
        drain(&mut alone),
        [NextWrite::Close(Closing { reason: "malformed_request", violation: Some(violation) })]
    );
}

/// Guards against an end that cuts off what was asked before it.
#[test]
fn an_end_waits_for_the_answers_before_it() {
    let mut pipeline = Pipeline::default();
    pipeline.push_request(RequestNumber(0), 0);
    pipeline.close("terminated", None);
    assert!(!pipeline.has_capacity() && pipeline.is_closing());
    assert_eq!(pipeline.next_write(true), None);
    pipeline.complete(RequestNumber(0), rejected(0), usize::MAX);
    assert_eq!(
        drain(&mut pipeline),
        [
            NextWrite::Response(rejected(0)),
            NextWrite::Close(Closing { reason: "terminated", violation: None })
        ]
    );
}

/// Guards against an answer that passes through and lets others by, or is answered a second time.
#[test]
fn an_answer_that_passes_through_keeps_its_turn() {
    let mut pipeline = Pipeline::default();
    (0..3).for_each(|n| pipeline.push_request(RequestNumber(n), 10));
    assert_eq!(pipeline.start_stream(RequestNumber(1)), Some(false));
    assert_eq!(pipeline.start_stream(RequestNumber(1)), None, "it has begun");
    assert!(!pipeline.complete(RequestNumber(1), FinalResponse::Failed, usize::MAX), "a second answer");
    assert_eq!(pipeline.next_write(true), None, "the one before it is open");
    assert!(pipeline.complete(RequestNumber(0), rejected(0), usize::MAX));
    assert_eq!(pipeline.next_write(true), Some(NextWrite::Response(rejected(0))));
    pipeline.complete(RequestNumber(2), rejected(2), usize::MAX);
    for _ in 0..2 {
        assert_eq!(pipeline.next_write(true), Some(NextWrite::Stream(RequestNumber(1))));
    }
    assert!(pipeline.has_following());
    assert_eq!(pipeline.open_requests().collect::<Vec<_>>(), [RequestNumber(1)]);
    pipeline.finish_stream();
    assert_eq!(drain(&mut pipeline), [NextWrite::Response(rejected(2))]);
    assert_eq!((pipeline.buffered_bytes(), pipeline.is_empty()), (0, true));
}

/// Guards against a cancel that answers what has an answer, cuts off one that has begun, leaves a request open, or
/// answers one twice.
#[test]
fn a_cancel_ends_what_is_open_in_its_place() {
    let mut pipeline = Pipeline::default();
    (0..4).for_each(|n| pipeline.push_request(RequestNumber(n), 10));
    pipeline.push_empty_query();
    pipeline.complete(RequestNumber(2), rejected(2), usize::MAX);
    assert_eq!(pipeline.start_stream(RequestNumber(1)), Some(false));
    assert!(pipeline.is_open(RequestNumber(0)) && pipeline.is_open(RequestNumber(3)));
    assert_eq!(pipeline.cancel_open(), [RequestNumber(0), RequestNumber(3)]);
    assert!((0..4).all(|n| !pipeline.is_open(RequestNumber(n))));
    assert!(!pipeline.complete(RequestNumber(3), rejected(3), usize::MAX), "a second answer");
    assert_eq!(pipeline.next_write(true), Some(NextWrite::Response(FinalResponse::Cancelled)));
    assert_eq!(pipeline.next_write(true), Some(NextWrite::Stream(RequestNumber(1))));
    pipeline.finish_stream();
    let rest = [
        NextWrite::Response(rejected(2)),
        NextWrite::Response(FinalResponse::Cancelled),
        NextWrite::EmptyQuery,
    ];
    assert_eq!(drain(&mut pipeline), rest);
    assert_eq!((pipeline.buffered_bytes(), pipeline.cancel_open()), (0, vec![]));
    assert!(pipeline.has_capacity(), "the connection goes on");
}
