//! The order of responses, and the limits of buffering.

use wharfplank_protocol::client_session::ProtocolViolation;
use wharfplank_protocol::pipeline::*;

fn rejected(retry_after_ms: i64) -> FinalResponse {
    FinalResponse::Rejected { retry_after_ms }
}

/// Takes everything that can be written.
fn drain(pipeline: &mut Pipeline) -> Vec<NextWrite> {
    let mut out = Vec::new();
    while let Some(next) = pipeline.next_write(true) {
        let is_end = matches!(next, NextWrite::Close(_));
        out.push(next);
        if is_end {
            break;
        }
    }
    out
}

/// Guards against responses that overtake each other: in whatever order they arrive, they are written in the
/// order of the commands, each once, and no buffered bytes remain counted.
#[test]
fn responses_are_written_in_command_order() {
    let mut seed = 7_u64;
    let mut random = move |below: usize| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) as usize % below
    };
    for _ in 0..500 {
        let (mut pipeline, mut open, mut expected, mut written) =
            (Pipeline::default(), vec![], vec![], vec![]);
        for number in 0..100 {
            if pipeline.has_capacity() && random(4) == 0 {
                pipeline.push_empty_query();
                expected.push(NextWrite::EmptyQuery);
            } else if pipeline.has_capacity() {
                pipeline.push_request(RequestNumber(number), random(1000));
                open.push(number);
                expected.push(NextWrite::Response(rejected(number as i64)));
            }
            while !open.is_empty() && random(3) > 0 {
                let number = open.swap_remove(random(open.len()));
                let can_write = pipeline.complete(RequestNumber(number), rejected(number as i64), usize::MAX);
                let is_first =
                    expected.get(written.len()) == Some(&NextWrite::Response(rejected(number as i64)));
                assert_eq!(can_write, is_first);
                assert!(
                    !pipeline.complete(RequestNumber(number), FinalResponse::Failed, usize::MAX),
                    "a second response"
                );
            }
            written.append(&mut drain(&mut pipeline));
            assert!(expected.len() - written.len() <= MAX_OPEN_COMMANDS);
        }
        for number in open {
            pipeline.complete(RequestNumber(number), rejected(number as i64), usize::MAX);
        }
        written.append(&mut drain(&mut pipeline));
        assert_eq!(written, expected);
        assert_eq!(pipeline.buffered_bytes(), 0);
    }
}

/// Guards against unbounded buffering of large rows for a client that reads nothing: a response that does not
/// fit fails in its place, and no further commands are accepted meanwhile.
#[test]
fn early_responses_are_bounded_in_bytes() {
    let mut pipeline = Pipeline::default();
    (0..4).for_each(|n| pipeline.push_request(RequestNumber(n), 100));
    let row = |size| FinalResponse::Served(vec![1; size]);
    assert!(!pipeline.complete(RequestNumber(1), row(MAX_BUFFERED_BYTES - 1000), usize::MAX));
    assert!(!pipeline.has_capacity());
    assert!(!pipeline.complete(RequestNumber(2), row(2000), usize::MAX));
    assert!(!pipeline.complete(RequestNumber(3), row(10), 9), "no space left by other connections");
    assert!(
        pipeline.complete(RequestNumber(0), row(3 * MAX_BUFFERED_BYTES), 0),
        "the first response is written at once"
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

/// Guards against an error that loses the requests after it, and against a client that keeps its connection
/// without ever sending a well-formed request.
#[test]
fn malformed_request_keeps_its_place() {
    let mut pipeline = Pipeline::default();
    (0..3).for_each(|n| pipeline.push_request(RequestNumber(n), 0));
    pipeline.complete(RequestNumber(1), FinalResponse::Malformed("unknown"), usize::MAX);
    pipeline.push_malformed("no id");
    assert!(pipeline.has_capacity());
    assert_eq!(pipeline.next_write(true), None);
    for n in 0..3 {
        pipeline.complete(RequestNumber(n), FinalResponse::Failed, usize::MAX);
    }
    let malformed = |text| NextWrite::Response(FinalResponse::Malformed(text));
    let failed = || NextWrite::Response(FinalResponse::Failed);
    assert_eq!(drain(&mut pipeline), [failed(), malformed("unknown"), failed(), malformed("no id")]);
    let mut empty = Pipeline::default();
    empty.push_malformed("no id");
    let violation = ProtocolViolation { code: "08P01", message: "no id" };
    assert_eq!(
        drain(&mut empty),
        [NextWrite::Close(Closing { reason: "malformed_request", violation: Some(violation) })]
    );
    let mut single = Pipeline::default();
    single.push_request(RequestNumber(9), 0);
    assert!(single.complete(RequestNumber(9), FinalResponse::Malformed("no id"), usize::MAX));
    assert_eq!(
        drain(&mut single),
        [NextWrite::Close(Closing { reason: "malformed_request", violation: Some(violation) })]
    );
}

/// Guards against closing the connection before the responses to earlier commands are written.
#[test]
fn close_waits_for_earlier_responses() {
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

/// Guards against a streamed response that is overtaken by others, or followed by a second response.
#[test]
fn streamed_response_keeps_its_place() {
    let mut pipeline = Pipeline::default();
    (0..3).for_each(|n| pipeline.push_request(RequestNumber(n), 10));
    assert_eq!(pipeline.start_stream(RequestNumber(1)), Some(false));
    assert_eq!(pipeline.start_stream(RequestNumber(1)), None, "the stream has already started");
    assert!(!pipeline.complete(RequestNumber(1), FinalResponse::Failed, usize::MAX), "a second response");
    assert_eq!(pipeline.next_write(true), None, "the request before it is open");
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

/// Guards against a cancellation that replaces or truncates a response, leaves a request open, or completes
/// one twice.
#[test]
fn cancel_completes_open_requests_in_place() {
    let mut pipeline = Pipeline::default();
    (0..4).for_each(|n| pipeline.push_request(RequestNumber(n), 10));
    pipeline.push_empty_query();
    pipeline.complete(RequestNumber(2), rejected(2), usize::MAX);
    assert_eq!(pipeline.start_stream(RequestNumber(1)), Some(false));
    assert!(pipeline.is_open(RequestNumber(0)) && pipeline.is_open(RequestNumber(3)));
    assert_eq!(pipeline.cancel_open(), [RequestNumber(0), RequestNumber(3)]);
    assert!((0..4).all(|n| !pipeline.is_open(RequestNumber(n))));
    assert!(!pipeline.complete(RequestNumber(3), rejected(3), usize::MAX), "a second response");
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
    assert!(pipeline.has_capacity(), "the connection stays open");
}
