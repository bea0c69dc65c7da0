//! Bytes that arrive in the instant of a close, at the signal to end and at a client's idle time: what has arrived is
//! answered, and what is not was never asked. A process is stopped and continued where two things have to be there at the
//! same time.

#[path = "common/ending.rs"]
mod ending;

use ending::{is_closed, read_response, request, sleep_until_elapsed, RunningProxy};
use rstest::rstest;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client may rest.
const IDLE_MOST: Duration = Duration::from_millis(2_100);

/// Guards against a close over a request, or many in one write, that have arrived and are not read when a resting
/// connection closes: at the signal to end, and at its idle time.
#[rstest]
#[case::the_signal(true)]
#[case::its_idle_time(false)]
fn what_has_arrived_is_answered_before_a_close(#[case] signal: bool) {
    let proxy = RunningProxy::new();
    let since = Instant::now();
    let mut resting = proxy.open_idle();
    proxy.process.signal("-STOP");
    let many: Vec<u8> = (0..10).flat_map(|n| request(&format!("many-{n}"), "1")).collect();
    resting.write_all(&many).expect("write to the socket");
    match signal {
        true => proxy.process.terminate(),
        false => sleep_until_elapsed(since, IDLE_MOST + Duration::from_millis(100)),
    }
    proxy.process.signal("-CONT");
    for n in 0..10 {
        assert_eq!(read_response(&mut resting).as_deref(), Some("TDCZ"), "request {n}");
    }
    assert!(is_closed(&mut resting), "it closes after that");
}

/// Guards against a request that is asked of a member although its connection has been shut: whatever the instant in
/// which it is written, it is answered, or no member has heard of it.
#[rstest]
#[case::the_signal(true)]
#[case::its_idle_time(false)]
fn a_request_that_crosses_a_close_is_answered_or_never_asked(#[case] signal: bool) {
    const CLIENTS: usize = 24;
    let proxy = RunningProxy::new();
    let start = Arc::new(Barrier::new(CLIENTS + 1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (mut stream, start) = (proxy.open_idle(), Arc::clone(&start));
            let rests = Instant::now();
            thread::spawn(move || {
                start.wait();
                let step = Duration::from_micros(250 * n as u64);
                sleep_until_elapsed(
                    if signal { Instant::now() } else { rests + IDLE_MOST - Duration::from_millis(3) },
                    step,
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
    assert_eq!(proxy.statement_count.load(Ordering::Relaxed), answered, "requests at the member");
}
