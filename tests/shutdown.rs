//! The signal to end between any two steps of a client: what was taken is answered, and what is not was never asked. A
//! process is stopped and continued where two things have to be there at the same time.

#[path = "common/stand.rs"]
mod stand;

use rstest::rstest;
use stand::{answer, free_port, member, query, startup, Process, PATIENCE};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// New connections are taken for so long after the signal, and a client may rest for so long.
const CLOSE_AFTER: Duration = Duration::from_millis(700);
const IDLE_MOST: Duration = Duration::from_millis(2_100);

struct Stand {
    process: Process,
    port: u16,
    asked: Arc<AtomicUsize>,
    _folder: tempfile::TempDir,
}

impl Stand {
    /// A process with a member that answers, which is ready.
    fn new() -> Stand {
        let folder = tempfile::tempdir().expect("a folder");
        let (address, asked) = member();
        let port = free_port();
        let process = Process::start(folder.path(), port, &[("m1", address.as_str())]);
        process.ready();
        Stand { process, port, asked, _folder: folder }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(("127.0.0.1", self.port)).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        stream
    }

    /// A connection that rests after its first answer.
    fn resting(&self) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(&[startup(), query("")].concat()).expect("taken");
        assert!(answer(&mut stream).is_some_and(|tags| tags.ends_with('Z')));
        assert_eq!(answer(&mut stream).as_deref(), Some("IZ"));
        stream
    }

    /// Asks the process to end, and waits until it knows.
    fn terminate(&self) -> Instant {
        let mut resting = self.resting();
        let since = Instant::now();
        self.process.terminate();
        assert_eq!(resting.read(&mut [0]).ok(), Some(0), "a resting connection closes");
        since
    }

    /// The process ends by itself.
    fn ends(mut self) {
        assert_eq!(self.process.child.wait().ok().and_then(|s| s.code()), Some(0));
    }
}

fn ask(id: &str, what: &str) -> Vec<u8> {
    query(&format!("/* id={id},c=any,d=900000,cluster=2 */ SELECT {what}"))
}

fn over(stream: &mut TcpStream) -> bool {
    !matches!(stream.read(&mut [0]), Ok(1..))
}

fn pass(since: Instant, span: Duration) {
    thread::sleep((since + span).saturating_duration_since(Instant::now()));
}

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
    let stand = Stand::new();
    let all = [startup(), ask("whole", "1")].concat();
    let (mut whole, mut half) = (stand.connect(), stand.connect());
    whole.write_all(&all[..before]).expect("taken");
    half.write_all(&all[..before]).expect("taken");
    let resting_at_the_signal = before == startup().len();
    if before >= startup().len() {
        assert!(answer(&mut whole).is_some() && answer(&mut half).is_some());
    }
    stand.terminate();
    if resting_at_the_signal {
        assert!(over(&mut whole), "one that rests closes");
    } else {
        whole.write_all(&all[before..]).expect("taken");
        if before < startup().len() {
            assert!(answer(&mut whole).is_some());
        }
        assert_eq!(answer(&mut whole).as_deref(), Some("TDCZ"));
        assert!(over(&mut whole));
    }
    // The rest of the other never comes: it does not hold up the end.
    assert!(over(&mut half));
    let asked = stand.asked.load(Ordering::Relaxed);
    assert_eq!(asked, usize::from(!resting_at_the_signal));
    stand.ends();
}

/// Guards against a close over a request, or many in one write, that have arrived and are not read when a resting
/// connection closes: at the signal to end, and at its idle time.
#[rstest]
#[case::the_signal(true)]
#[case::its_idle_time(false)]
fn what_has_arrived_is_answered_before_a_close(#[case] signal: bool) {
    let stand = Stand::new();
    let since = Instant::now();
    let mut resting = stand.resting();
    stand.process.signal("-STOP");
    let many: Vec<u8> = (0..10).flat_map(|n| ask(&format!("many-{n}"), "1")).collect();
    resting.write_all(&many).expect("taken");
    match signal {
        true => stand.process.terminate(),
        false => pass(since, IDLE_MOST + Duration::from_millis(100)),
    }
    stand.process.signal("-CONT");
    for n in 0..10 {
        assert_eq!(answer(&mut resting).as_deref(), Some("TDCZ"), "request {n}");
    }
    assert!(over(&mut resting), "it closes after that");
}

/// Guards against a request that is asked of a member although its connection has been shut: whatever the instant in
/// which it is written, it is answered, or no member has heard of it.
#[rstest]
#[case::the_signal(true)]
#[case::its_idle_time(false)]
fn a_request_that_crosses_a_close_is_answered_or_never_asked(#[case] signal: bool) {
    const CLIENTS: usize = 24;
    let stand = Stand::new();
    let start = Arc::new(Barrier::new(CLIENTS + 1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (mut stream, start) = (stand.resting(), Arc::clone(&start));
            let rests = Instant::now();
            thread::spawn(move || {
                start.wait();
                let step = Duration::from_micros(250 * n as u64);
                pass(
                    if signal { Instant::now() } else { rests + IDLE_MOST - Duration::from_millis(3) },
                    step,
                );
                let many: Vec<u8> = (0..3).flat_map(|i| ask(&format!("{n}-{i}"), "1")).collect();
                if stream.write_all(&many).is_err() {
                    return 0;
                }
                let answered = (0..3).take_while(|_| answer(&mut stream).is_some()).count();
                assert!([0, 3].contains(&answered), "{answered} of 3 are answered");
                answered
            })
        })
        .collect();
    start.wait();
    if signal {
        stand.process.terminate();
    }
    let answered: usize = clients.into_iter().map(|client| client.join().expect("it ends")).sum();
    assert_eq!(stand.asked.load(Ordering::Relaxed), answered, "requests at the member");
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
    let stand = Stand { process, port, asked, _folder: folder };
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
