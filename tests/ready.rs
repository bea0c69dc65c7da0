//! How soon a process that starts answers an empty query: the front takes it in with that.

#[path = "common/stand.rs"]
mod stand;

use rstest::rstest;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use stand::{free_port, query, read_response, start_member, startup, Process, TEST_TIMEOUT};
use std::io::{IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::UnixListener;
use std::thread;
use std::time::{Duration, Instant};

/// What a restarted process may take. It waits for 3 s at most, and for 1.5 s before that where it replaces another;
/// what stands between is for a busy machine.
const READY_MOST: Duration = Duration::from_secs(10);

/// Where something is to be reached, and what answers there.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Door {
    /// Nobody listens.
    Refuses,
    /// Connections are taken, and nothing is ever said.
    Silent,
    /// Connections never come up.
    CutOff,
    /// Every call is answered that it is one too many.
    Overbooked,
    /// It answers.
    Open,
    /// There is none.
    None,
}

/// What keeps a door as it is.
#[derive(Default)]
struct Kept(Vec<TcpListener>, Vec<TcpStream>);

/// A port whose connections never come up: its short queue is full.
fn cut_off(kept: &mut Kept) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    rustix::net::listen(&listener, 0).expect("the process listens");
    let at = listener.local_addr().expect("local address");
    while let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_millis(200)) {
        kept.1.push(stream);
        assert!(kept.1.len() < 64, "the queue has no end");
    }
    kept.0.push(listener);
    at.to_string()
}

fn silent(kept: &mut Kept) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("local address").to_string();
    kept.0.push(listener);
    at
}

/// A port that answers each call on a new connection in these words.
fn replies(text: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("local address").to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut piece = [0; 1024];
                while matches!(stream.read(&mut piece), Ok(1..)) {
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

const OVERBOOKED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const EMPTY_LIST: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"seq\":42,\"whole\":true,\"hosts\":[]} ";

fn discovery(door: Door, kept: &mut Kept) -> String {
    match door {
        Door::Refuses | Door::None => format!("127.0.0.1:{}", free_port()),
        Door::Silent => silent(kept),
        Door::CutOff => cut_off(kept),
        Door::Overbooked => replies(OVERBOOKED),
        Door::Open => replies(EMPTY_LIST),
    }
}

/// The time to an empty query's answer on a connection that is asked as soon as the process listens: what the machine
/// takes to start a program is not the program's.
fn taken_in(port: u16) -> Option<Duration> {
    let at = SocketAddr::from(([127, 0, 0, 1], port));
    let begun = Instant::now();
    let mut stream = loop {
        match TcpStream::connect(at) {
            Ok(stream) => break stream,
            Err(_) if begun.elapsed() > TEST_TIMEOUT => return None,
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    };
    let since = Instant::now();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    stream.write_all(&[startup(), query("")].concat()).ok()?;
    assert_eq!(read_response(&mut stream)?.chars().last(), Some('Z'));
    assert_eq!(read_response(&mut stream).as_deref(), Some("IZ"));
    Some(since.elapsed())
}

/// Guards against a process that serves nobody since it waits for discovery or for members that do not come: without
/// a list, too, it says within its time that it is there, and refuses what it is asked.
#[rstest]
fn a_process_is_ready_whatever_is_down(
    #[values(Door::Refuses, Door::Silent, Door::CutOff, Door::Overbooked, Door::Open)] found: Door,
    #[values(Door::Refuses, Door::Silent, Door::CutOff, Door::Open, Door::None)] members: Door,
) {
    let folder = tempfile::tempdir().expect("temporary directory");
    let mut kept = Kept::default();
    let found = discovery(found, &mut kept);
    let address = match members {
        Door::Open => start_member().0,
        other => discovery(other, &mut kept),
    };
    let list = if members == Door::None { vec![] } else { vec![("m1", address.as_str())] };
    let port = free_port();
    let process = Process::start_with_config(folder.path(), port, &list, |config| {
        // The address of discovery is the one that the stand made up.
        let at = config.find("\"discovery\":\"").expect("a discovery address") + 13;
        let end = at + config[at..].find('"').expect("a closing quote");
        format!("{}{found}{}", &config[..at], &config[end..])
    });
    let took = taken_in(port).expect("it answers");
    assert!(took < READY_MOST, "{took:?}");
    drop(process);
}

/// Guards against a process that waits at its start for one that it was to replace and that says its state byte by
/// byte, or nothing at all: what that one may take is bound as a whole.
#[rstest]
#[case::trickles(true)]
#[case::hangs(false)]
fn a_predecessor_that_does_not_come_to_its_end_is_not_waited_for(#[case] trickles: bool) {
    let folder = tempfile::tempdir().expect("temporary directory");
    let port = free_port();
    let path = folder.path().join(format!("wharfplank-127.0.0.1-{port}.sock"));
    let post = UnixListener::bind(path).expect("the process listens");
    let waits = thread::spawn(move || {
        let (mut stream, _) = post.accept().expect("it asks");
        let since = Instant::now();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        if !trickles {
            // Until the process gives up.
            let _ = stream.read(&mut [0]);
            return since.elapsed();
        }
        let rights = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&rights));
        sendmsg(&stream, &[IoSlice::new(b"L")], &mut control, SendFlags::NOSIGNAL).expect("given");
        while since.elapsed() < TEST_TIMEOUT && stream.write_all(b" ").is_ok() {
            thread::sleep(Duration::from_millis(200));
        }
        since.elapsed()
    });
    let (address, _) = start_member();
    let process = Process::start(folder.path(), port, &[("m1", address.as_str())]);
    let took = waits.join().expect("the thread ends") + taken_in(port).expect("it answers");
    assert!(took < READY_MOST, "{took:?}");
    drop(process);
}
