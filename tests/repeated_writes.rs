//! Writes that must not run twice and that their clients send again to the same proxy, which has no peers.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{free_port, query, read_response, start_observed_member, startup, Process, TEST_TIMEOUT};
use rstest::rstest;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How the client's first try ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstTry {
    /// The client leaves while the write runs.
    ClientLeaves,
    /// The client leaves without reading the answer.
    AnswerUnread,
    /// The connection to the member is reset under the write, and the client is told that it may have run.
    AnsweredAsFailed,
    /// The member turns each of four attempts down, and the client is told that the write did not run.
    Rejected,
}

fn connect(port: u16) -> TcpStream {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).expect("the process listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    stream.write_all(&startup()).expect("write to the socket");
    assert!(read_response(&mut stream).is_some());
    stream
}

fn write(id: &str, statement: &str) -> Vec<u8> {
    query(&format!("/* id={id},c=soon,d=3000,cluster=2 */ SELECT {statement}"))
}

/// Guards against a write that runs twice because its client has left, or was told that it may have run, and
/// sends it again. One that certainly did not run is served.
#[rstest]
#[case(FirstTry::ClientLeaves, "slow", "EZ", 1)]
#[case(FirstTry::AnswerUnread, "1", "EZ", 1)]
#[case(FirstTry::AnsweredAsFailed, "reset", "EZ", 1)]
#[case(FirstTry::Rejected, "miss", "TDCZ", 5)]
fn a_write_sent_again_to_the_same_proxy_runs_once(
    #[case] first_try: FirstTry,
    #[case] statement: &str,
    #[case] second_answer: &str,
    #[case] received: usize,
) {
    let folder = tempfile::tempdir().expect("temporary directory");
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    let primary = start_observed_member("primary", move |statement| {
        if statement.contains("id=again,") {
            counted.fetch_add(1, Ordering::SeqCst);
        }
        if statement.contains("SELECT slow") {
            thread::sleep(Duration::from_millis(200));
        }
    });
    let port = free_port();
    let process = Process::start(folder.path(), port, &[("m1", primary.as_str())]);
    process.wait_until_ready();

    let mut first = connect(port);
    first.write_all(&write("again", statement)).expect("write to the socket");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while count.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < deadline, "the write did not reach the member");
        thread::sleep(Duration::from_millis(1));
    }
    if matches!(first_try, FirstTry::AnsweredAsFailed | FirstTry::Rejected) {
        assert_eq!(read_response(&mut first).as_deref(), Some("EZ"));
    }
    drop(first);
    if first_try != FirstTry::ClientLeaves {
        // Time for the answer to be written, and for the proxy to notice that the client has left.
        thread::sleep(Duration::from_millis(100));
    }
    // While the first try is still open, its id is refused in any case.
    let mut second = connect(port);
    let answer = loop {
        second.write_all(&write("again", "1")).expect("write to the socket");
        let answer = read_response(&mut second);
        if answer.as_deref() == Some(second_answer) || Instant::now() > deadline {
            break answer;
        }
        thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(answer.as_deref(), Some(second_answer));
    thread::sleep(Duration::from_millis(300));
    second.write_all(&write("again", "1")).expect("write to the socket");
    assert_eq!(read_response(&mut second).as_deref(), Some("EZ"), "a write that was served is not repeated");
    assert_eq!(count.load(Ordering::SeqCst), received, "times that the member got the write");
}
