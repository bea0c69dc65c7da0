//! SIGTERM between any two steps of a client: every accepted request is answered, and an unanswered one was
//! never sent to a member. The process is stopped and continued where two events must reach it at the same
//! time.

#[path = "common/running_proxy.rs"]
mod running_proxy;

use rstest::rstest;
use running_proxy::{
    free_port, is_closed, query, read_response, request, sleep_until_elapsed, startup, Process, RunningProxy,
};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The times after the signal until which new connections are accepted, and after which open requests are
/// given up.
const CLOSE_AFTER: Duration = Duration::from_millis(700);
const GIVE_UP_AFTER: Duration = Duration::from_millis(3_200);

/// Guards against a listening socket that stays open until the process exits, where another process may
/// replace it: the kernel accepted late connections, which were reset at the exit.
#[test]
fn a_late_connection_is_refused() {
    let proxy = RunningProxy::new();
    let mut held = proxy.connect();
    held.write_all(&[startup(), request("held", "silence")].concat()).expect("write to the socket");
    assert!(read_response(&mut held).is_some());
    let since = proxy.terminate();
    while TcpStream::connect(("127.0.0.1", proxy.port)).is_ok() {
        // Open requests are given up after 3.2 s, and the process exits.
        assert!(since.elapsed() < Duration::from_secs(3), "the process listens until it exits");
        thread::sleep(Duration::from_millis(10));
    }
    held.set_nonblocking(true).expect("set the blocking mode");
    let open = matches!(held.read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    assert!(open, "the process closed an accepted connection");
    held.set_nonblocking(false).expect("set the blocking mode");
    assert_eq!(read_response(&mut held).as_deref(), Some("EZ"));
    proxy.assert_exits();
}

/// Guards against a process without open requests that exits while connections wait that the kernel has
/// accepted. The process is stopped until its listener has to close, and finds both at the same time.
#[test]
fn connections_accepted_by_the_kernel_are_answered_before_the_exit() {
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

/// Guards against a request that is lost because the signal comes between its bytes: when nothing, half a
/// startup message or half a query has been read.
#[rstest]
#[case::no_bytes(0)]
#[case::half_a_startup(9)]
#[case::full_startup(startup().len())]
#[case::half_a_query(startup().len() + 20)]
fn a_request_interrupted_by_the_signal_is_answered(#[case] before: usize) {
    while !send_around_the_signal(before) {}
}

/// Returns whether the rest was sent in time: after the signal and before the process stops reading.
fn send_around_the_signal(before: usize) -> bool {
    let proxy = RunningProxy::new();
    let all = [startup(), request("complete", "1")].concat();
    let (mut complete, mut half) = (proxy.connect(), proxy.connect());
    complete.write_all(&all[..before]).expect("write to the socket");
    half.write_all(&all[..before]).expect("write to the socket");
    if before >= startup().len() {
        assert!(read_response(&mut complete).is_some() && read_response(&mut half).is_some());
    }
    let since = proxy.terminate();
    let is_idle = before == startup().len();
    if !is_idle {
        let written = complete.write_all(&all[before..]);
        if since.elapsed() >= CLOSE_AFTER {
            return false;
        }
        written.expect("write to the socket");
        if before < startup().len() {
            assert!(read_response(&mut complete).is_some());
        }
        assert_eq!(read_response(&mut complete).as_deref(), Some("TDCZ"));
    }
    assert!(is_closed(&mut complete));
    // The rest of the other request is never sent: it does not delay the exit.
    assert!(is_closed(&mut half));
    assert_eq!(proxy.statement_count.load(Ordering::Relaxed), usize::from(!is_idle));
    proxy.assert_exits();
    true
}

/// Guards against a process that gives up open requests and exits at once, before the answers are written or
/// connections accepted by the kernel are read. The process is stopped until both are due.
#[test]
fn requests_given_up_late_are_answered() {
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

/// Guards against a process that gets SIGTERM before it is ready and closes connections without an answer to
/// requests behind an empty query, which waits for the start.
#[rstest]
#[case::already_read(true)]
#[case::not_yet_read(false)]
fn requests_behind_an_empty_query_are_answered_if_the_start_is_aborted(#[case] is_read: bool) {
    let folder = tempfile::tempdir().expect("temporary directory");
    // A member that accepts connections and never answers: the process becomes ready after 3 s.
    let silent_member = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = silent_member.local_addr().expect("local address").to_string();
    let (port, statement_count) = (free_port(), Arc::new(AtomicUsize::new(0)));
    let process = Process::start(folder.path(), port, &[("m1", address.as_str())]);
    let proxy = RunningProxy { process, port, statement_count, folder };
    while proxy.process.admin_command("health").is_none() {
        thread::sleep(Duration::from_millis(5));
    }
    let (mut alone, mut many) = (proxy.connect(), proxy.connect());
    alone.write_all(&[startup(), query("")].concat()).expect("write to the socket");
    let behind = request("behind", "1");
    let first = if is_read { behind.clone() } else { Vec::new() };
    many.write_all(&[startup(), query(""), first].concat()).expect("write to the socket");
    assert!(read_response(&mut alone).is_some() && read_response(&mut many).is_some());
    proxy.process.signal("-STOP");
    if !is_read {
        many.write_all(&behind).expect("write to the socket");
    }
    proxy.process.terminate();
    proxy.process.signal("-CONT");
    assert!(is_closed(&mut alone), "the load balancer must not see it as ready");
    assert_eq!(read_response(&mut many).as_deref(), Some("IZ"));
    // No member was reachable.
    assert_eq!(read_response(&mut many).as_deref(), Some("EZ"));
    assert!(is_closed(&mut many));
    proxy.assert_exits();
}
