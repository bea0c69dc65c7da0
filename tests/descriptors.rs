//! Idle clients use up the file descriptors of the process while discovery is down.

#[path = "common/proxy_process.rs"]
mod proxy_process;

#[path = "common/lists.rs"]
mod lists;

use lists::Discovery;
use proxy_process::{free_port, query, read_response, start_member, startup, Process, TEST_TIMEOUT};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The descriptor limit of the process, and the number of connections that the clients of one kind hold.
const DESCRIPTOR_LIMIT: usize = 192;
const CONNECTIONS_PER_KIND: usize = 60;
/// The longest time of an admin command. Without a reserved descriptor it waits as long as clients hold them
/// all; the process itself bounds the time that it takes to answer, and reports it.
const MAX_COMMAND_TIME: Duration = Duration::from_secs(5);

/// What a client sends before it becomes idle.
#[derive(Clone, Copy, PartialEq)]
enum ClientKind {
    /// Nothing.
    Silent,
    HalfStartup,
    EmptyQuery,
    OneQuery,
    /// Invalid bytes: the process answers with an error and lingers until the client has received it.
    Malformed,
    /// A request that no member answers, so that its connection cannot be closed to make room.
    Busy,
}

impl ClientKind {
    fn first_bytes(self, id: &str) -> Vec<u8> {
        match self {
            ClientKind::Silent => Vec::new(),
            ClientKind::HalfStartup => startup()[..9].to_vec(),
            ClientKind::EmptyQuery => [startup(), query("")].concat(),
            ClientKind::OneQuery => [startup(), request(id, "1")].concat(),
            ClientKind::Malformed => b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            ClientKind::Busy => [startup(), request(id, "silence")].concat(),
        }
    }
}

fn request(id: &str, statement: &str) -> Vec<u8> {
    query(&format!("/* id={id},c=any,d=900000,cluster=2 */ SELECT {statement}"))
}

/// Starts a thread that holds connections of a kind open and replaces each one that is closed; `opened`
/// counts the connections that were established.
fn hold_connections(
    port: u16,
    kind: ClientKind,
    stop: &Arc<AtomicBool>,
    opened: &Arc<AtomicUsize>,
) -> thread::JoinHandle<()> {
    let (stop, opened) = (Arc::clone(stop), Arc::clone(opened));
    thread::spawn(move || {
        let mut slots: Vec<Option<(TcpStream, Instant)>> = (0..CONNECTIONS_PER_KIND).map(|_| None).collect();
        while !stop.load(Ordering::Relaxed) {
            for slot in &mut slots {
                if let Some((stream, since)) = slot {
                    // A client that is answered with an error keeps its connection for longer than the
                    // process lingers.
                    let lingers =
                        kind == ClientKind::Malformed && since.elapsed() < Duration::from_millis(600);
                    let mut open = || matches!(stream.read(&mut [0; 512]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
                    if lingers || open() {
                        continue;
                    }
                }
                *slot = TcpStream::connect(("127.0.0.1", port)).ok().map(|mut stream| {
                    let n = opened.fetch_add(1, Ordering::Relaxed);
                    let _ = stream.write_all(&kind.first_bytes(&format!("idle-{n}")));
                    stream.set_nonblocking(true).expect("set non-blocking mode");
                    (stream, Instant::now())
                });
            }
            thread::sleep(Duration::from_millis(100));
        }
    })
}

fn wait_until(what: &str, is_done: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !is_done() {
        assert!(Instant::now() < end, "timed out: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the number of descriptors that the process has open.
fn open_descriptors(process: &Process) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", process.child.id())).map_or(0, Iterator::count)
}

/// Asserts that an admin command is answered in time, counted from when the kernel accepts its connection.
fn assert_admin_answers(process: &Process) {
    let mut stream = TcpStream::connect(&process.admin).expect("the process listens");
    let since = Instant::now();
    stream.write_all(b"health\n").expect("write to the socket");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a response");
    assert_eq!(text, "ok ready\n");
    assert!(since.elapsed() < MAX_COMMAND_TIME, "{:?}", since.elapsed());
}

/// Sends one request on a new connection and returns the message tags of its response.
fn request_once(port: u16, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    stream.write_all(&[startup(), request(id, "1")].concat()).ok()?;
    read_response(&mut stream)?;
    read_response(&mut stream)
}

/// A process with seven members whose discovery is down, and the list that discovery will send: these members
/// drain, and there is a new one.
struct Setup {
    process: Process,
    port: u16,
    /// The port on which the process looks for discovery.
    discovery_port: u16,
    list: String,
    /// Statements that the new member received.
    new_member_statements: Arc<AtomicUsize>,
    _folder: tempfile::TempDir,
}

impl Setup {
    fn start() -> Setup {
        let folder = tempfile::tempdir().expect("temporary directory");
        let (known_addresses, (new_address, new_statements)): (Vec<_>, _) =
            ((1..8).map(|_| start_member().0).collect(), start_member());
        let names: Vec<String> = (1..8).map(|n| format!("k{n}")).collect();
        let members: Vec<(&str, &str)> =
            names.iter().map(String::as_str).zip(known_addresses.iter().map(String::as_str)).collect();
        let (port, discovery_port) = (free_port(), free_port());
        let process = Process::start_with_descriptor_limit(
            folder.path(),
            port,
            &members,
            |config| {
                let value_start = config.find("\"discovery\":\"").expect("a discovery address") + 13;
                let end = value_start + config[value_start..].find('"').expect("a closing quote");
                format!("{}127.0.0.1:{discovery_port}{}", &config[..value_start], &config[end..])
            },
            DESCRIPTOR_LIMIT,
        );
        process.wait_until_ready();
        let entry = |(name, dial): (&str, &str), health: &str| {
            format!(
                r#"{{"host":"{name}","dial":"{dial}","site":"a","block":2,"health":"{health}","born_ms":0,"role":"primary"}}"#
            )
        };
        let mut hosts: Vec<String> = members.iter().map(|known| entry(*known, "leaving")).collect();
        hosts.push(entry(("new", new_address.as_str()), "active"));
        let list = format!(r#"{{"seq":50,"whole":true,"hosts":[{}]}}"#, hosts.join(","));
        Setup { process, port, discovery_port, list, new_member_statements: new_statements, _folder: folder }
    }
}

/// Guards against clients that leave no descriptor for the request to discovery, for connections to members
/// or for admin commands, and against a process that opens more descriptors than its limit.
#[rstest]
#[case::idle(&[
    ClientKind::Silent, ClientKind::HalfStartup, ClientKind::EmptyQuery, ClientKind::OneQuery,
    ClientKind::Malformed,
])]
#[case::answered_with_an_error(&[
    ClientKind::Malformed, ClientKind::Malformed, ClientKind::Malformed, ClientKind::Silent,
])]
#[case::busy(&[
    ClientKind::Busy, ClientKind::Busy, ClientKind::Busy, ClientKind::Malformed, ClientKind::Silent,
])]
fn descriptors_are_reserved_for_discovery_members_and_operators(#[case] kinds: &[ClientKind]) {
    let busy = kinds.contains(&ClientKind::Busy);
    let setup = Setup::start();
    let (process, port, new_statements) = (&setup.process, setup.port, &setup.new_member_statements);
    let (opened, peak) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let sample = || {
        peak.fetch_max(open_descriptors(process), Ordering::Relaxed);
        opened.load(Ordering::Relaxed)
    };
    let start_clients = |kinds: &[ClientKind]| {
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> =
            kinds.iter().map(|kind| hold_connections(port, *kind, &stop, &opened)).collect();
        move || {
            stop.store(true, Ordering::Relaxed);
            clients.into_iter().for_each(|client| client.join().expect("the thread ends"));
        }
    };
    // Idle operators take their reserved descriptors; those of members are taken before clients send long
    // requests.
    let operators: Vec<_> =
        (0..16).map(|_| TcpStream::connect(&process.admin).expect("the process listens")).collect();
    if busy {
        let stop = start_clients(&[ClientKind::OneQuery; 5]);
        wait_until("many clients are served", || sample() > 3 * DESCRIPTOR_LIMIT);
        stop();
        opened.store(0, Ordering::Relaxed);
    }
    let stop = start_clients(kinds);
    wait_until("the clients connect", || sample() > 3 * DESCRIPTOR_LIMIT);
    assert_admin_answers(process);
    // Discovery is down: first it does not listen, then it does not answer.
    let discovery = Discovery::listen(setup.discovery_port, setup.list);
    wait_until("the process connects to discovery", || {
        sample() > 0 && discovery.connection_count.load(Ordering::Relaxed) > 1
    });
    assert_admin_answers(process);
    // Discovery is back: the process receives its list and connects to the new member.
    discovery.answers.store(true, Ordering::Relaxed);
    wait_until("the list is sent", || sample() > 0 && discovery.sent_count.load(Ordering::Relaxed) > 0);
    // If requests hold every client descriptor, no other client can be served; else clients are served by
    // some member.
    if !busy {
        let (started_at, mut n) = (Instant::now(), 0);
        while new_statements.load(Ordering::Relaxed) == 0 {
            assert!(started_at.elapsed() < TEST_TIMEOUT, "no request was sent to the new member");
            n += 1;
            request_once(port, &format!("good-{n}"));
        }
        wait_until("a new client is served", || {
            request_once(port, &format!("served-{}", sample())).as_deref() == Some("TDCZ")
        });
    }
    assert_admin_answers(process);
    stop();
    drop(operators);
    let peak = peak.load(Ordering::Relaxed);
    eprintln!("peak: {peak} of {DESCRIPTOR_LIMIT} descriptors");
    assert!(peak < DESCRIPTOR_LIMIT, "{peak} descriptors");
}
