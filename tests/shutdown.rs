//! The signal to end between any two steps of a client: what was taken is answered, and what is not was never asked. A
//! process is stopped and continued where two things have to be there at the same time.

#[path = "common/ending.rs"]
mod ending;

use ending::{answer, ask, free_port, over, pass, query, startup, Process, Stand};
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
    let stand = Stand::new();
    let mut held = stand.connect();
    held.write_all(&[startup(), ask("held", "silence")].concat()).expect("taken");
    assert!(answer(&mut held).is_some());
    let since = stand.terminate();
    while TcpStream::connect(("127.0.0.1", stand.port)).is_ok() {
        // What is open is given up after 3.2 s, and the process ends.
        assert!(since.elapsed() < Duration::from_secs(3), "it listens to the end");
        thread::sleep(Duration::from_millis(10));
    }
    held.set_nonblocking(true).expect("it can be asked");
    let open = matches!(held.read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    assert!(open, "the process serves what it has taken");
    held.set_nonblocking(false).expect("it can be asked");
    assert_eq!(answer(&mut held).as_deref(), Some("EZ"));
    stand.ends();
}

/// Guards against a process that ends, with nothing left to do, while connections that the machine has accepted wait
/// for it: it stands still until its listener closes, and finds both at the same time.
#[test]
fn what_the_machine_has_accepted_is_answered_before_the_end() {
    let stand = Stand::new();
    let since = stand.terminate();
    stand.process.signal("-STOP");
    let mut late = stand.connect();
    late.write_all(&[startup(), ask("late", "1")].concat()).expect("taken");
    pass(since, CLOSE_AFTER + Duration::from_millis(50));
    stand.process.signal("-CONT");
    assert!(answer(&mut late).is_some());
    assert_eq!(answer(&mut late).as_deref(), Some("TDCZ"));
    assert!(over(&mut late));
    stand.ends();
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
    let stand = Stand::new();
    let all = [startup(), ask("whole", "1")].concat();
    let (mut whole, mut half) = (stand.connect(), stand.connect());
    whole.write_all(&all[..before]).expect("taken");
    half.write_all(&all[..before]).expect("taken");
    if before >= startup().len() {
        assert!(answer(&mut whole).is_some() && answer(&mut half).is_some());
    }
    let since = stand.terminate();
    let rests = before == startup().len();
    if !rests {
        let written = whole.write_all(&all[before..]);
        if since.elapsed() >= CLOSE_AFTER {
            return false;
        }
        written.expect("taken");
        if before < startup().len() {
            assert!(answer(&mut whole).is_some());
        }
        assert_eq!(answer(&mut whole).as_deref(), Some("TDCZ"));
    }
    assert!(over(&mut whole));
    // The rest of the other never comes: it does not hold up the end.
    assert!(over(&mut half));
    assert_eq!(stand.asked.load(Ordering::Relaxed), usize::from(!rests));
    stand.ends();
    true
}

/// Guards against a process that gives up what is open and ends in the same turn, before the answers are written or what
/// the machine has accepted is read: it stands still until both are due.
#[test]
fn what_is_given_up_late_is_answered() {
    let stand = Stand::new();
    let mut held = stand.connect();
    held.write_all(&[startup(), ask("held", "silence")].concat()).expect("taken");
    assert!(answer(&mut held).is_some());
    let since = stand.terminate();
    stand.process.signal("-STOP");
    let mut late = stand.connect();
    late.write_all(&[startup(), ask("late", "1")].concat()).expect("taken");
    pass(since, GIVE_UP_AFTER + Duration::from_millis(300));
    stand.process.signal("-CONT");
    assert!(answer(&mut late).is_some());
    let refused = answer(&mut late);
    assert!(matches!(refused.as_deref(), Some("EZ" | "TDCZ")), "{refused:?}");
    assert_eq!(answer(&mut held).as_deref(), Some("EZ"));
    assert!(over(&mut held));
    stand.ends();
}

/// Guards against a process that is asked to end before it is ready, and closes over requests behind an empty query that
/// waits for its start: those are answered.
#[rstest]
#[case::taken(true)]
#[case::arrived(false)]
fn requests_behind_an_empty_query_are_answered_where_the_start_does_not_come(#[case] taken: bool) {
    let folder = tempfile::tempdir().expect("a folder");
    // A member that takes connections and says nothing: the process is ready after 3 s.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = silent.local_addr().expect("an address").to_string();
    let (port, asked) = (free_port(), Arc::new(AtomicUsize::new(0)));
    let process = Process::start(folder.path(), port, &[("m1", address.as_str())]);
    let stand = Stand { process, port, asked, folder };
    while stand.process.call("health").is_none() {
        thread::sleep(Duration::from_millis(5));
    }
    let (mut alone, mut many) = (stand.connect(), stand.connect());
    alone.write_all(&[startup(), query("")].concat()).expect("taken");
    let behind = ask("behind", "1");
    let ahead = if taken { behind.clone() } else { Vec::new() };
    many.write_all(&[startup(), query(""), ahead].concat()).expect("taken");
    assert!(answer(&mut alone).is_some() && answer(&mut many).is_some());
    stand.process.signal("-STOP");
    if !taken {
        many.write_all(&behind).expect("taken");
    }
    stand.process.terminate();
    stand.process.signal("-CONT");
    assert!(over(&mut alone), "the front is not told that it is ready");
    assert_eq!(answer(&mut many).as_deref(), Some("IZ"));
    // No member could be reached.
    assert_eq!(answer(&mut many).as_deref(), Some("EZ"));
    assert!(over(&mut many));
    stand.ends();
}
