//! Clients that send at full speed beside a client with ordinary requests.

#[path = "common/running_proxy.rs"]
mod running_proxy;

use rstest::rstest;
use running_proxy::{query, read_response, request, startup, RunningProxy};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const FLOODING_CLIENTS: usize = 6;
/// The number of messages in each write of a flooding client.
const BATCH: usize = 2_000;
/// The time for an answer: the shortest deadline of a deployed class, 750 ms, and the 150 ms by which an answer
/// may be late.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(900);
const DURATION: Duration = Duration::from_secs(3);
/// The interval at which the ordinary client sends a request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Sends the same messages again and again, and reads all answers, until it is stopped.
fn flood(mut stream: TcpStream, messages: Vec<u8>, stop: &Arc<AtomicBool>) {
    let mut reader = stream.try_clone().expect("a second handle");
    thread::spawn(move || {
        let mut buffer = vec![0; 256 * 1024];
        while matches!(reader.read(&mut buffer), Ok(1..)) {}
    });
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) && stream.write_all(&messages).is_ok() {}
        let _ = stream.shutdown(Shutdown::Both);
    });
}

/// A request for an encrypted connection, which the proxy declines.
fn encryption_request() -> Vec<u8> {
    [8_u32.to_be_bytes(), 80_877_103_u32.to_be_bytes()].concat()
}

/// Guards against clients whose answers are late because others keep the serving thread busy with messages
/// that cost them nothing.
#[rstest]
#[case::empty_queries([startup(), query("")], query(""))]
#[case::invalid_requests([startup(), query("")], query("SELECT 1"))]
#[case::encryption_requests([encryption_request(), Vec::new()], encryption_request())]
fn a_client_is_answered_in_time_beside_flooding_clients(
    #[case] first: [Vec<u8>; 2],
    #[case] message: Vec<u8>,
) {
    let proxy = RunningProxy::new();
    let mut client = proxy.open_idle();
    let stop = Arc::new(AtomicBool::new(false));
    for _ in 0..FLOODING_CLIENTS {
        let mut stream = proxy.connect();
        stream.set_read_timeout(None).expect("reset the read timeout");
        stream.write_all(&first.concat()).expect("write to the socket");
        flood(stream, message.repeat(BATCH), &stop);
    }
    let since = Instant::now();
    let mut latest = Duration::ZERO;
    for n in 0.. {
        let sent_at = Instant::now();
        client.write_all(&request(&format!("ordinary-{n}"), "1")).expect("write to the socket");
        assert_eq!(read_response(&mut client).as_deref(), Some("TDCZ"));
        latest = latest.max(sent_at.elapsed());
        if since.elapsed() >= DURATION {
            break;
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    stop.store(true, Ordering::Relaxed);
    println!("the latest answer came after {latest:?}");
    assert!(latest < MAX_ANSWER_TIME, "an answer came after {latest:?}");
}
