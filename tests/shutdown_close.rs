//! Bytes that arrive at the moment of a close, by SIGTERM or the idle time-out: a request that has arrived is
//! answered, and an unanswered one was never sent to a member. The process is stopped and continued where two
//! events must reach it at the same time.

#[path = "common/running_proxy.rs"]
mod running_proxy;

use rstest::rstest;
use running_proxy::{is_closed, read_response, request, sleep_until_elapsed, RunningProxy};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// The idle time-out of client connections.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_100);

/// Guards against an idle connection that is closed, by SIGTERM or the idle time-out, over requests that have
/// arrived in one write but are not read yet.
#[rstest]
#[case::sigterm(true)]
#[case::idle_timeout(false)]
fn arrived_requests_are_answered_before_a_close(#[case] signal: bool) {
    let proxy = RunningProxy::new();
    let since = Instant::now();
    let mut idle = proxy.open_idle();
    proxy.process.signal("-STOP");
    let many: Vec<u8> = (0..10).flat_map(|n| request(&format!("many-{n}"), "1")).collect();
    idle.write_all(&many).expect("write to the socket");
    match signal {
        true => proxy.process.terminate(),
        false => sleep_until_elapsed(since, IDLE_TIMEOUT + Duration::from_millis(100)),
    }
    proxy.process.signal("-CONT");
    for n in 0..10 {
        assert_eq!(read_response(&mut idle).as_deref(), Some("TDCZ"), "request {n}");
    }
    assert!(is_closed(&mut idle), "the connection closes after the answers");
}

/// Guards against a request that is sent to a member although its connection has been closed: whenever the
/// client writes it, it is answered or never sent to a member.
#[rstest]
#[case::sigterm(true)]
#[case::idle_timeout(false)]
fn a_request_during_a_close_is_answered_or_never_sent(#[case] signal: bool) {
    const CLIENTS: usize = 24;
    let proxy = RunningProxy::new();
    let start = Arc::new(Barrier::new(CLIENTS + 1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (mut stream, start) = (proxy.open_idle(), Arc::clone(&start));
            let idle_since = Instant::now();
            thread::spawn(move || {
                start.wait();
                let delay = Duration::from_micros(250 * n as u64);
                sleep_until_elapsed(
                    if signal {
                        Instant::now()
                    } else {
                        idle_since + IDLE_TIMEOUT - Duration::from_millis(3)
                    },
                    delay,
                );
                let many: Vec<u8> = (0..3).flat_map(|i| request(&format!("{n}-{i}"), "1")).collect();
                if stream.write_all(&many).is_err() {
                    return 0;
                }
                let answered = (0..3).take_while(|_| read_response(&mut stream).is_some()).count();
                assert!([0, 3].contains(&answered), "{answered} of 3 are answered");
                answered
            })
        })
        .collect();
    start.wait();
    if signal {
        proxy.process.terminate();
    }
    let answered: usize = clients.into_iter().map(|client| client.join().expect("the thread ends")).sum();
    assert_eq!(proxy.statement_count.load(Ordering::Relaxed), answered, "statements at the member");
}
