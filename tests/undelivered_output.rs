//! Closes of connections whose client has yet to read an answer that the proxy has written. What the client
//! sends at that time must not discard the rest of the answer.

#[path = "common/running_proxy.rs"]
mod running_proxy;

use rstest::rstest;
use running_proxy::{read_response, request, sleep_until_elapsed, startup, RunningProxy};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// The length of an answer that the system takes from the proxy before the client reads any of it.
const LONG_ANSWER: &str = "long 1500000";
/// The time for which the proxy writes the answer to the system, with room for a busy machine.
const WRITE_TIME: Duration = Duration::from_millis(700);
/// The idle time-out of client connections.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_100);
/// The time for which half a command may stay incomplete, and for which the connection then stays open.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_300);
const LINGER_TIME: Duration = Duration::from_millis(500);
/// The time after SIGTERM after which open requests are given up; the process exits soon after.
const GIVE_UP_AFTER: Duration = Duration::from_millis(3_200);
/// The time after SIGTERM after which no connection is accepted.
const CLOSE_LISTENER_AFTER: Duration = Duration::from_millis(700);
/// The number of idle connections that leaves no room for another one that is idle for longer.
const EVICTING_CONNECTIONS: usize = 70;

/// Opens a connection whose client has asked for a long answer and reads none of it yet.
fn ask_for_long_answer(proxy: &RunningProxy) -> TcpStream {
    let mut client = proxy.connect();
    client.write_all(&startup()).expect("write to the socket");
    assert!(read_response(&mut client).is_some_and(|tags| tags.ends_with('Z')));
    client.write_all(&request("long", LONG_ANSWER)).expect("write to the socket");
    thread::sleep(WRITE_TIME);
    client
}

/// Sends another command, and checks that the long answer arrives whole all the same.
fn assert_answer_survives_command(client: &mut TcpStream, command: &[u8]) {
    let _ = client.write_all(command);
    // Time for the proxy's system to react to the command.
    thread::sleep(Duration::from_millis(100));
    assert_eq!(read_response(client).as_deref(), Some("TDCZ"));
}

/// Guards against a connection that is closed at SIGTERM while its client reads an answer, which the client's
/// next command then discards.
#[test]
fn an_answer_being_read_survives_sigterm() {
    let proxy = RunningProxy::new();
    let mut client = ask_for_long_answer(&proxy);
    proxy.terminate();
    assert_answer_survives_command(&mut client, &request("next", "1"));
    assert_eq!(read_response(&mut client).as_deref(), Some("TDCZ"), "the connection is still served");
    proxy.assert_exits();
}

/// Guards against a connection that is closed at the idle time-out while its client reads an answer, which
/// the client's next command then discards.
#[test]
fn an_answer_being_read_survives_the_idle_timeout() {
    let proxy = RunningProxy::new();
    let since = Instant::now();
    let mut client = ask_for_long_answer(&proxy);
    sleep_until_elapsed(since, WRITE_TIME + IDLE_TIMEOUT + Duration::from_millis(300));
    assert_answer_survives_command(&mut client, &request("next", "1"));
    assert_eq!(read_response(&mut client).as_deref(), Some("TDCZ"), "the connection is still served");
}

/// Guards against a connection that is evicted while its client reads an answer, which the client's next
/// command then discards.
#[test]
fn an_answer_being_read_survives_an_eviction() {
    let proxy = RunningProxy::new();
    let mut client = ask_for_long_answer(&proxy);
    let _idle: Vec<TcpStream> = (0..EVICTING_CONNECTIONS).map(|_| proxy.open_idle()).collect();
    assert_answer_survives_command(&mut client, &request("next", "1"));
    assert_eq!(read_response(&mut client).as_deref(), Some("TDCZ"), "the connection is still served");
}

/// Guards against a connection that is closed after an error while its client reads an earlier answer, which
/// the rest of the input then discards: half a command that is completed too late, and garbage.
#[rstest]
#[case::half_a_command(request("half", "1"), MESSAGE_TIMEOUT)]
#[case::garbage(b"garbage that is no message".to_vec(), Duration::ZERO)]
fn an_answer_being_read_survives_an_error_after_it(#[case] input: Vec<u8>, #[case] timeout: Duration) {
    let proxy = RunningProxy::new();
    let mut client = ask_for_long_answer(&proxy);
    let (first, rest) = input.split_at(input.len() / 2);
    client.write_all(first).expect("write to the socket");
    thread::sleep(timeout + LINGER_TIME + Duration::from_millis(500));
    assert_answer_survives_command(&mut client, rest);
    assert_eq!(read_response(&mut client), None, "the connection ends with the error");
}

/// Guards against a process that accepts a command behind an answer being read when it will not live to
/// answer it: after the listener has closed, the command is left to the client, which sends it elsewhere.
#[test]
fn a_command_behind_an_answer_being_read_is_left_unread_once_the_listener_has_closed() {
    let proxy = RunningProxy::new();
    let mut client = ask_for_long_answer(&proxy);
    proxy.terminate();
    thread::sleep(CLOSE_LISTENER_AFTER + Duration::from_millis(300));
    assert_answer_survives_command(&mut client, &request("next", "1"));
    assert_eq!(read_response(&mut client), None, "the connection ends behind the answer");
    assert_eq!(proxy.statement_count.load(Ordering::Relaxed), 1, "statements at the member");
    proxy.assert_exits();
}

/// Guards against a client that never reads and keeps its connection, and a process that ends, waiting for it
/// without limit.
#[test]
fn a_client_that_never_reads_does_not_delay_the_exit_without_limit() {
    /// The time without progress after which a client counts as stalled, and the time to find that out.
    const STALL_TIME: Duration = Duration::from_millis(5_000 + 3_000);
    let mut proxy = RunningProxy::new();
    let client = ask_for_long_answer(&proxy);
    proxy.process.terminate();
    assert_eq!(proxy.process.wait_for_exit(STALL_TIME), Some(0));
    drop(client);
}

/// Reads a response of `length` bytes at a steady pace, over `span`. Returns the number of bytes that
/// arrived.
fn read_slowly(client: &mut TcpStream, length: usize, span: Duration) -> usize {
    let since = Instant::now();
    let (mut received, mut piece) = (0, vec![0; 65_536]);
    while received < length {
        let wanted = piece.len().min(length - received);
        match client.read(&mut piece[..wanted]) {
            Ok(count @ 1..) => received += count,
            ended => {
                eprintln!("the connection ended after {received} of {length} bytes: {ended:?}");
                return received;
            }
        }
        sleep_until_elapsed(since, span.mul_f64(received as f64 / length as f64));
    }
    received
}

/// Guards against a process that exits while a client reads an answer, which loses what the process has not
/// written yet, or, with the client's next command, what the system has not sent yet.
#[rstest]
#[case::in_the_system(1_500_000, Some(GIVE_UP_AFTER + Duration::from_millis(800)))]
#[case::in_the_process(12_000_000, None)]
fn an_answer_being_read_survives_the_time_to_exit(
    #[case] length: usize,
    #[case] next_command_after: Option<Duration>,
) {
    /// The bytes of the answer besides its value.
    const OTHER_BYTES: usize = 33 + 11 + 14 + 6;
    let proxy = RunningProxy::new();
    let mut client = proxy.connect();
    client.write_all(&startup()).expect("write to the socket");
    assert!(read_response(&mut client).is_some_and(|tags| tags.ends_with('Z')));
    client.write_all(&request("long", &format!("long {length}"))).expect("write to the socket");
    thread::sleep(Duration::from_millis(300));
    proxy.process.terminate();
    let mut sender = client.try_clone().expect("another handle of the socket");
    let next = thread::spawn(move || {
        let Some(delay) = next_command_after else { return };
        thread::sleep(delay);
        let _ = sender.write_all(&request("next", "1"));
    });
    let expected = OTHER_BYTES + length;
    let span = GIVE_UP_AFTER + Duration::from_millis(3_000);
    assert_eq!(read_slowly(&mut client, expected, span), expected);
    next.join().expect("the thread ends");
    drop(client);
    proxy.assert_exits();
}
