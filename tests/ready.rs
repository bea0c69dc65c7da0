//! The time until a starting process answers an empty query, which is the readiness check of the load
//! balancer in front.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{free_port, query, read_response, start_member, startup, Process, TEST_TIMEOUT};
use rstest::rstest;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::io::{IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::UnixListener;
use std::thread;
use std::time::{Duration, Instant};

/// The longest start. The process waits for at most 3 s, after up to 1.5 s for a process that it replaces;
/// the rest is allowance for a busy machine.
const MAX_START_TIME: Duration = Duration::from_secs(10);

/// The behaviour of a service at its address.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Service {
    /// Refuses connections.
    Refuses,
    /// Accepts connections and never sends anything.
    Silent,
    /// Connections are never established.
    Unreachable,
    /// Answers every request with 503.
    Unavailable,
    /// Answers requests.
    Available,
    /// Does not exist.
    None,
}

/// Sockets that stay open for the duration of the test.
#[derive(Default)]
struct OpenSockets(Vec<TcpListener>, Vec<TcpStream>);

/// Returns an address at which connections are never established, because the accept queue is full.
fn start_unreachable(sockets: &mut OpenSockets) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    rustix::net::listen(&listener, 0).expect("the process listens");
    let at = listener.local_addr().expect("local address");
    while let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_millis(200)) {
        sockets.1.push(stream);
        assert!(sockets.1.len() < 64, "the accept queue does not fill up");
    }
    sockets.0.push(listener);
    at.to_string()
}

fn start_silent(sockets: &mut OpenSockets) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("local address").to_string();
    sockets.0.push(listener);
    at
}

/// Starts a service that answers each request with the text and returns its address.
fn start_answering(text: &'static str) -> String {
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

const UNAVAILABLE_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const EMPTY_LIST_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"seq\":42,\"whole\":true,\"hosts\":[]} ";

fn start_service(service: Service, sockets: &mut OpenSockets) -> String {
    match service {
        Service::Refuses | Service::None => format!("127.0.0.1:{}", free_port()),
        Service::Silent => start_silent(sockets),
        Service::Unreachable => start_unreachable(sockets),
        Service::Unavailable => start_answering(UNAVAILABLE_RESPONSE),
        Service::Available => start_answering(EMPTY_LIST_RESPONSE),
    }
}

/// Returns the time from the first accepted connection to the response to an empty query. The time that the
/// system takes to start the program does not count.
fn time_to_ready(port: u16) -> Option<Duration> {
    let at = SocketAddr::from(([127, 0, 0, 1], port));
    let started_at = Instant::now();
    let mut stream = loop {
        match TcpStream::connect(at) {
            Ok(stream) => break stream,
            Err(_) if started_at.elapsed() > TEST_TIMEOUT => return None,
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

/// Guards against a process that serves no client because it waits for discovery or for members that do not
/// answer: it becomes ready in time also without a member list, and refuses requests.
#[rstest]
fn a_process_becomes_ready_whatever_is_down(
    #[values(
        Service::Refuses,
        Service::Silent,
        Service::Unreachable,
        Service::Unavailable,
        Service::Available
    )]
    discovery: Service,
    #[values(Service::Refuses, Service::Silent, Service::Unreachable, Service::Available, Service::None)]
    members: Service,
) {
    let folder = tempfile::tempdir().expect("temporary directory");
    let mut sockets = OpenSockets::default();
    let discovery_address = start_service(discovery, &mut sockets);
    let address = match members {
        Service::Available => start_member().0,
        other => start_service(other, &mut sockets),
    };
    let list = if members == Service::None { vec![] } else { vec![("m1", address.as_str())] };
    let port = free_port();
    let process = Process::start_with_config(folder.path(), port, &list, |config| {
        // Replaces the default address of discovery.
        let value_start = config.find("\"discovery\":\"").expect("a discovery address") + 13;
        let end = value_start + config[value_start..].find('"').expect("a closing quote");
        format!("{}{discovery_address}{}", &config[..value_start], &config[end..])
    });
    let took = time_to_ready(port).expect("the process answers");
    assert!(took < MAX_START_TIME, "{took:?}");
    drop(process);
}

/// Guards against a process that waits without limit for a predecessor that sends its state byte by byte or
/// not at all: the time of the whole handover is limited.
#[rstest]
#[case::trickles(true)]
#[case::hangs(false)]
fn a_predecessor_that_does_not_finish_is_not_waited_for(#[case] trickles: bool) {
    let folder = tempfile::tempdir().expect("temporary directory");
    let port = free_port();
    let path = folder.path().join(format!("wharfplank-127.0.0.1-{port}.sock"));
    let handover_socket = UnixListener::bind(path).expect("the process listens");
    let predecessor = thread::spawn(move || {
        let (mut stream, _) = handover_socket.accept().expect("the process connects");
        let since = Instant::now();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        if !trickles {
            // Blocks until the process gives up.
            let _ = stream.read(&mut [0]);
            return since.elapsed();
        }
        let rights = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&rights));
        sendmsg(&stream, &[IoSlice::new(b"L")], &mut control, SendFlags::NOSIGNAL)
            .expect("pass the descriptor");
        while since.elapsed() < TEST_TIMEOUT && stream.write_all(b" ").is_ok() {
            thread::sleep(Duration::from_millis(200));
        }
        since.elapsed()
    });
    let (address, _) = start_member();
    let process = Process::start(folder.path(), port, &[("m1", address.as_str())]);
    let took =
        predecessor.join().expect("the thread ends") + time_to_ready(port).expect("the process answers");
    assert!(took < MAX_START_TIME, "{took:?}");
    drop(process);
}
