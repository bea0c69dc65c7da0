//! The signal to end between any two steps of a client: what was taken is answered, and what is not was never asked. A
//! process is stopped and continued where two things have to be there at the same time.

#[path = "common/ending.rs"]
mod ending;

use ending::{
    free_port, is_closed, query, read_response, request, sleep_until_elapsed, startup, Process, RunningProxy,
};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// After the signal new connections are taken for the first, and what is open after the second is given up.
const CLOSE_AFTER: Duration = Duration::from_millis(700);
const GIVE_UP_AFTER: Duration = Duration::from_millis(3_200);

/// Guards against a listening socket that stays open to the end of the process where another may replace it: what comes
/// late was accepted by the machine and reset with the process.
#[test]
fn a_late_connection_is_refused() {
    let proxy = RunningProxy::new();
    let mut held = proxy.connect();
    held.write_all(&[startup(), request("held", "silence")].concat()).expect("write to the socket");
    assert!(read_response(&mut held).is_some());
    let since = proxy.terminate();
    while TcpStream::connect(("127.0.0.1", proxy.port)).is_ok() {
        // What is open is given up after 3.2 s, and the process ends.
        assert!(since.elapsed() < Duration::from_secs(3), "it listens to the end");
        thread::sleep(Duration::from_millis(10));
    }
    held.set_nonblocking(true).expect("it can be asked");
    let open = matches!(held.read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    assert!(open, "the process serves what it has taken");
    held.set_nonblocking(false).expect("it can be asked");
    assert_eq!(read_response(&mut held).as_deref(), Some("EZ"));
    proxy.assert_exits();
}

/// Guards against a process that ends, with nothing left to do, while connections that the machine has accepted wait
/// for it: it stands still until its listener closes, and finds both at the same time.
#[test]
fn what_the_machine_has_accepted_is_answered_before_the_end() {
    let proxy = RunningProxy::new();
    let since = proxy.terminate();
    proxy.process.signal("-STOP");
    let mut late = proxy.connect();
    late.write_all(&[startup(), request("late", "1")].concat()).expect("write to the socket");
    sleep_until_elapsed(since, CLOSE_AFTER + Duration::from_millis(50));
    proxy.process.signal("-CONT");
    assert!(read_response(&mut late).is_some());
    assert_eq!(read_response(&mut late).as_deref(), Some("TDCZ"));
    assert!(is_closed(&mut late));
    proxy.assert_exits();
}

/// Guards against bytes before the signal and bytes after it that do not come to one request: nothing, half a startup
/// or half a query has been read when it comes.
#[rstest]
#[case::nothing(0)]
#[case::half_a_startup(9)]
#[case::a_startup(startup().len())]
#[case::half_a_query(startup().len() + 20)]
fn a_request_around_the_signal_is_answered(#[case] before: usize) {
    while !around_the_signal(before) {}
}

/// Whether the rest came in time: after the signal, and before no more is taken.
fn around_the_signal(before: usize) -> bool {
    let proxy = RunningProxy::new();
    let all = [startup(), request("whole", "1")].concat();
    let (mut whole, mut half) = (proxy.connect(), proxy.connect());
    whole.write_all(&all[..before]).expect("write to the socket");
    half.write_all(&all[..before]).expect("write to the socket");
    if before >= startup().len() {
        assert!(read_response(&mut whole).is_some() && read_response(&mut half).is_some());
    }
    let since = proxy.terminate();
    let rests = before == startup().len();
    if !rests {
        let written = whole.write_all(&all[before..]);
        if since.elapsed() >= CLOSE_AFTER {
            return false;
        }
        written.expect("write to the socket");
        if before < startup().len() {
            assert!(read_response(&mut whole).is_some());
        }
        assert_eq!(read_response(&mut whole).as_deref(), Some("TDCZ"));
    }
    assert!(is_closed(&mut whole));
    // The rest of the other never comes: it does not hold up the end.
    assert!(is_closed(&mut half));
    assert_eq!(proxy.statement_count.load(Ordering::Relaxed), usize::from(!rests));
    proxy.assert_exits();
    true
}

/// Guards against a process that gives up what is open and ends in the same turn, before the answers are written or what
/// the machine has accepted is read: it stands still until both are due.
#[test]
fn what_is_given_up_late_is_answered() {
    let proxy = RunningProxy::new();
    let mut held = proxy.connect();
    held.write_all(&[startup(), request("held", "silence")].concat()).expect("write to the socket");
    assert!(read_response(&mut held).is_some());
    let since = proxy.terminate();
    proxy.process.signal("-STOP");
    let mut late = proxy.connect();
    late.write_all(&[startup(), request("late", "1")].concat()).expect("write to the socket");
    sleep_until_elapsed(since, GIVE_UP_AFTER + Duration::from_millis(300));
    proxy.process.signal("-CONT");
    assert!(read_response(&mut late).is_some());
    let refused = read_response(&mut late);
    assert!(matches!(refused.as_deref(), Some("EZ" | "TDCZ")), "{refused:?}");
    assert_eq!(read_response(&mut held).as_deref(), Some("EZ"));
    assert!(is_closed(&mut held));
    proxy.assert_exits();
}

/// Guards against a process that is asked to end before it is ready, and closes over requests behind an empty query that
/// waits for its start: those are answered.
#[rstest]
#[case::taken(true)]
#[case::arrived(false)]
fn requests_behind_an_empty_query_are_answered_where_the_start_does_not_come(#[case] taken: bool) {
    let folder = tempfile::tempdir().expect("temporary directory");
    // A member that takes connections and says nothing: the process is ready after 3 s.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = silent.local_addr().expect("local address").to_string();
    let (port, statement_count) = (free_port(), Arc::new(AtomicUsize::new(0)));
    let process = Process::start(folder.path(), port, &[("m1", address.as_str())]);
    let proxy = RunningProxy { process, port, statement_count, folder };
    while proxy.process.admin_command("health").is_none() {
        thread::sleep(Duration::from_millis(5));
    }
    let (mut alone, mut many) = (proxy.connect(), proxy.connect());
    alone.write_all(&[startup(), query("")].concat()).expect("write to the socket");
    let behind = request("behind", "1");
    let ahead = if taken { behind.clone() } else { Vec::new() };
    many.write_all(&[startup(), query(""), ahead].concat()).expect("write to the socket");
    assert!(read_response(&mut alone).is_some() && read_response(&mut many).is_some());
    proxy.process.signal("-STOP");
    if !taken {
        many.write_all(&behind).expect("write to the socket");
    }
    proxy.process.terminate();
    proxy.process.signal("-CONT");
    assert!(is_closed(&mut alone), "the front is not told that it is ready");
    assert_eq!(read_response(&mut many).as_deref(), Some("IZ"));
    // No member could be reached.
    assert_eq!(read_response(&mut many).as_deref(), Some("EZ"));
    assert!(is_closed(&mut many));
    proxy.assert_exits();
}
