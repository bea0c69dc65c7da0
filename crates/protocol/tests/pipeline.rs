//! The order of answers, and what may wait.

use wharfplank_protocol::pipeline::*;
use wharfplank_protocol::server::Violation;

/// Takes all that can be written.
fn drain(pipeline: &mut Pipeline) -> Vec<Next> {
    let mut out = Vec::new();
    while let Some(next) = pipeline.next(true) {
        let end = matches!(next, Next::End(..));
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
            if pipeline.has_room() && draw(4) == 0 {
                pipeline.ask_nothing();
                wanted.push(Next::Empty);
            } else if pipeline.has_room() {
                pipeline.ask(Ticket(number), draw(1000));
                open.push(number);
                wanted.push(Next::Answer(Answer::Refused(number as i64)));
            }
            while !open.is_empty() && draw(3) > 0 {
                let number = open.swap_remove(draw(open.len()));
                let due = pipeline.answer(Ticket(number), Answer::Refused(number as i64), usize::MAX);
                let first = wanted.get(got.len()) == Some(&Next::Answer(Answer::Refused(number as i64)));
                assert_eq!(due, first);
                assert!(!pipeline.answer(Ticket(number), Answer::Failed, usize::MAX), "a second answer");
            }
            got.append(&mut drain(&mut pipeline));
            assert!(wanted.len() - got.len() <= PLACES_MOST);
        }
        for number in open {
            pipeline.answer(Ticket(number), Answer::Refused(number as i64), usize::MAX);
        }
        got.append(&mut drain(&mut pipeline));
        assert_eq!(got, wanted);
        assert_eq!(pipeline.bytes(), 0);
    }
}

/// Guards against a client that reads nothing while large rows pile up for it: what waits is bounded, the one
/// that does not fit has failed in its place, and nothing more is asked ahead meanwhile.
#[test]
fn early_rows_are_bounded_in_bytes() {
    let mut pipeline = Pipeline::default();
    (0..4).for_each(|n| pipeline.ask(Ticket(n), 100));
    let row = |size| Answer::Served(vec![1; size]);
    assert!(!pipeline.answer(Ticket(1), row(AHEAD_MOST - 1000), usize::MAX));
    assert!(!pipeline.has_room());
    assert!(!pipeline.answer(Ticket(2), row(2000), usize::MAX));
    assert!(!pipeline.answer(Ticket(3), row(10), 9), "no room left by others");
    assert!(pipeline.answer(Ticket(0), row(3 * AHEAD_MOST), 0), "the first is written at once");
    let lengths: Vec<_> = drain(&mut pipeline)
        .into_iter()
        .map(|next| match next {
            Next::Answer(Answer::Served(messages)) => Some(messages.len()),
            _ => None,
        })
        .collect();
    assert_eq!(lengths, [Some(3 * AHEAD_MOST), Some(AHEAD_MOST - 1000), None, None]);
    assert!(pipeline.has_room());
}

/// Guards against an error that costs a client the requests behind it, and against one who never asks anything
/// usable and keeps its connection.
#[test]
fn an_unusable_request_keeps_its_place() {
    let mut pipeline = Pipeline::default();
    (0..3).for_each(|n| pipeline.ask(Ticket(n), 0));
    pipeline.answer(Ticket(1), Answer::Malformed("unknown"), usize::MAX);
    pipeline.ask_wrongly("no id");
    assert!(pipeline.has_room());
    assert_eq!(pipeline.next(true), None);
    for n in 0..3 {
        pipeline.answer(Ticket(n), Answer::Failed, usize::MAX);
    }
    let unusable = |what| Next::Answer(Answer::Malformed(what));
    let failed = || Next::Answer(Answer::Failed);
    assert_eq!(drain(&mut pipeline), [failed(), unusable("unknown"), failed(), unusable("no id")]);
    let mut first = Pipeline::default();
    first.ask_wrongly("no id");
    let violation = Violation { code: "08P01", what: "no id" };
    assert_eq!(drain(&mut first), [Next::End("malformed_request", Some(violation))]);
    let mut alone = Pipeline::default();
    alone.ask(Ticket(9), 0);
    assert!(alone.answer(Ticket(9), Answer::Malformed("no id"), usize::MAX));
    assert_eq!(drain(&mut alone), [Next::End("malformed_request", Some(violation))]);
}

/// Guards against an end that cuts off what was asked before it.
#[test]
fn an_end_waits_for_the_answers_before_it() {
    let mut pipeline = Pipeline::default();
    pipeline.ask(Ticket(0), 0);
    pipeline.end("terminated", None);
    assert!(!pipeline.has_room() && pipeline.ending());
    assert_eq!(pipeline.next(true), None);
    pipeline.answer(Ticket(0), Answer::Refused(0), usize::MAX);
    assert_eq!(drain(&mut pipeline), [Next::Answer(Answer::Refused(0)), Next::End("terminated", None)]);
}

/// Guards against an answer that passes through and lets others by, or is answered a second time.
#[test]
fn an_answer_that_passes_through_keeps_its_turn() {
    let mut pipeline = Pipeline::default();
    (0..3).for_each(|n| pipeline.ask(Ticket(n), 10));
    assert_eq!(pipeline.begin(Ticket(1)), Some(false));
    assert_eq!(pipeline.begin(Ticket(1)), None, "it has begun");
    assert!(!pipeline.answer(Ticket(1), Answer::Failed, usize::MAX), "a second answer");
    assert_eq!(pipeline.next(true), None, "the one before it is open");
    assert!(pipeline.answer(Ticket(0), Answer::Refused(0), usize::MAX));
    assert_eq!(pipeline.next(true), Some(Next::Answer(Answer::Refused(0))));
    pipeline.answer(Ticket(2), Answer::Refused(2), usize::MAX);
    for _ in 0..2 {
        assert_eq!(pipeline.next(true), Some(Next::Pass(Ticket(1))));
    }
    assert!(pipeline.has_more());
    assert_eq!(pipeline.open().collect::<Vec<_>>(), [Ticket(1)]);
    pipeline.passed();
    assert_eq!(drain(&mut pipeline), [Next::Answer(Answer::Refused(2))]);
    assert_eq!((pipeline.bytes(), pipeline.is_empty()), (0, true));
}

/// Guards against a cancel that answers what has an answer, cuts off one that has begun, leaves a request open, or
/// answers one twice.
#[test]
fn a_cancel_ends_what_is_open_in_its_place() {
    let mut pipeline = Pipeline::default();
    (0..4).for_each(|n| pipeline.ask(Ticket(n), 10));
    pipeline.ask_nothing();
    pipeline.answer(Ticket(2), Answer::Refused(2), usize::MAX);
    assert_eq!(pipeline.begin(Ticket(1)), Some(false));
    assert!(pipeline.awaits(Ticket(0)) && pipeline.awaits(Ticket(3)));
    assert_eq!(pipeline.cancel(), [Ticket(0), Ticket(3)]);
    assert!((0..4).all(|n| !pipeline.awaits(Ticket(n))));
    assert!(!pipeline.answer(Ticket(3), Answer::Refused(3), usize::MAX), "a second answer");
    assert_eq!(pipeline.next(true), Some(Next::Answer(Answer::Cancelled)));
    assert_eq!(pipeline.next(true), Some(Next::Pass(Ticket(1))));
    pipeline.passed();
    let rest = [Next::Answer(Answer::Refused(2)), Next::Answer(Answer::Cancelled), Next::Empty];
    assert_eq!(drain(&mut pipeline), rest);
    assert_eq!((pipeline.bytes(), pipeline.cancel()), (0, vec![]));
    assert!(pipeline.has_room(), "the connection goes on");
}
