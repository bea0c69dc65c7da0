//! Writes that must not run twice and that their clients send again to another proxy.

#[path = "common/proxy_fleet.rs"]
mod proxy_fleet;

use proxy_fleet::{read_response, write, ProxyFleet, SLOW_WRITE};
use rstest::rstest;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// The number of writes that are sent again.
const REPEATED_WRITES: usize = 40;
/// The most time for which peers that do not answer may delay a write: the time until they
/// leave the membership, with its suspicion of 2 s, and one retry after it.
const MAX_UNAVAILABLE: Duration = Duration::from_secs(8);
/// The maximum time until a write is answered while no peer answers.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);

const SERVED: Option<&str> = Some("TDCZ");
const REFUSED: Option<&str> = Some("EZ");

fn ask(stream: &mut TcpStream, request: &[u8]) -> Option<String> {
    stream.write_all(request).expect("write to the socket");
    read_response(stream)
}

/// Guards against a write that runs twice because its client sends it again to another proxy at once, before
/// that proxy has heard of the first try: after giving it up, or after being told that it may have run.
#[rstest]
#[case::given_up("slow")]
#[case::answered_as_failed("reset")]
fn a_write_sent_again_at_once_to_another_proxy_runs_once(#[case] statement: &str) {
    let fleet = ProxyFleet::start(2);
    let (mut sent_again, mut run_twice) = (0, 0);
    for n in 0..REPEATED_WRITES {
        let id = format!("{statement}-{n}");
        let (mut first, mut second) = (fleet.connect(n % 2), fleet.connect((n + 1) % 2));
        first.write_all(&write(&id, statement)).expect("write to the socket");
        let limit = if statement == "reset" {
            read_response(&mut first);
            Duration::ZERO
        } else {
            MAX_ANSWER_TIME
        };
        // A proxy that sheds load or doubts the member does not send the write.
        if !fleet.has_run_within(&id, limit) {
            continue;
        }
        drop(first);
        ask(&mut second, &write(&id, "1"));
        sent_again += 1;
        run_twice += usize::from(fleet.runs(&id) > 1);
    }
    assert!(sent_again >= REPEATED_WRITES / 4, "only {sent_again} writes ran once");
    assert_eq!(run_twice, 0, "of {sent_again} writes that were sent again");
}

#[test]
fn a_write_that_did_not_run_can_be_sent_again_to_another_proxy() {
    let fleet = ProxyFleet::start(2);
    let (mut first, mut second) = (fleet.connect(0), fleet.connect(1));
    assert_eq!(ask(&mut first, &write("overloaded", "full")).as_deref(), REFUSED);
    assert_eq!(ask(&mut second, &write("overloaded", "1")).as_deref(), SERVED);
}

/// Guards against writes that wait for peers without a bound, and against a write that runs twice since no
/// peer could say that it had run.
#[test]
fn writes_are_answered_in_time_while_no_peer_answers() {
    let fleet = ProxyFleet::start(2);
    let mut client = fleet.connect(0);
    assert_eq!(ask(&mut client, &write("before", "1")).as_deref(), SERVED);
    // The other proxy runs a write whose client gives it up, and is stopped then.
    let mut abandoned = fleet.connect(1);
    abandoned.write_all(&write("abandoned", "slow")).expect("write to the socket");
    assert!(fleet.has_run_within("abandoned", MAX_ANSWER_TIME));
    fleet.proxies[1].signal("-STOP");
    drop(abandoned);
    let since = Instant::now();
    let mut n = 0;
    loop {
        let sent_at = Instant::now();
        assert_eq!(ask(&mut client, &write("abandoned", "1")).as_deref(), REFUSED);
        let answer = ask(&mut client, &write(&format!("while-stopped-{n}"), "1"));
        let took = sent_at.elapsed();
        assert!(took < 2 * MAX_ANSWER_TIME, "two writes were answered after {took:?}");
        if answer.as_deref() == SERVED {
            break;
        }
        assert!(since.elapsed() < MAX_UNAVAILABLE, "no write was served");
        n += 1;
        thread::sleep(Duration::from_millis(50));
    }
    fleet.proxies[1].signal("-CONT");
    thread::sleep(SLOW_WRITE);
    assert_eq!(ask(&mut fleet.connect(1), &write("abandoned", "1")).as_deref(), REFUSED);
    assert_eq!(fleet.runs("abandoned"), 1);
}
