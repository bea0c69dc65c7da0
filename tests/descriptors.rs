//! Clients that do nothing fill the descriptors that the machine gives the process, while discovery is down.

#[path = "common/stand.rs"]
mod stand;

#[path = "common/lists.rs"]
mod lists;

use lists::Discovery;
use rstest::rstest;
use stand::{answer, free_port, member, query, startup, Process, PATIENCE};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What the process may hold, and the connections that each kind of idle client tries to have.
const DESCRIPTORS: usize = 192;
const SLOTS: usize = 60;
/// What an operator may wait: one who finds no place waits as long as clients fill all. What the process takes for an
/// answer it bounds itself, and says so.
const CALL_MOST: Duration = Duration::from_secs(5);

/// What idle clients say before they rest.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Mute,
    HalfStartup,
    EmptyQuery,
    OneQuery,
    /// What is answered with an error that the process waits for to arrive.
    Nonsense,
    /// A request that no member answers: its connection cannot make room.
    Busy,
}

impl Kind {
    fn says(self, id: &str) -> Vec<u8> {
        match self {
            Kind::Mute => Vec::new(),
            Kind::HalfStartup => startup()[..9].to_vec(),
            Kind::EmptyQuery => [startup(), query("")].concat(),
            Kind::OneQuery => [startup(), ask(id, "1")].concat(),
            Kind::Nonsense => b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            Kind::Busy => [startup(), ask(id, "silence")].concat(),
        }
    }
}

fn ask(id: &str, what: &str) -> Vec<u8> {
    query(&format!("/* id={id},c=any,d=900000,cluster=2 */ SELECT {what}"))
}

/// Holds connections of a kind, and comes again where one is closed; the count of those that came up.
fn fill(port: u16, kind: Kind, stop: &Arc<AtomicBool>, came: &Arc<AtomicUsize>) -> thread::JoinHandle<()> {
    let (stop, came) = (Arc::clone(stop), Arc::clone(came));
    thread::spawn(move || {
        let mut slots: Vec<Option<(TcpStream, Instant)>> = (0..SLOTS).map(|_| None).collect();
        while !stop.load(Ordering::Relaxed) {
            for slot in &mut slots {
                if let Some((stream, since)) = slot {
                    // One that is told what is wrong keeps its connection for longer than it is waited for.
                    let stays = kind == Kind::Nonsense && since.elapsed() < Duration::from_millis(600);
                    let mut open = || matches!(stream.read(&mut [0; 512]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
                    if stays || open() {
                        continue;
                    }
                }
                *slot = TcpStream::connect(("127.0.0.1", port)).ok().map(|mut stream| {
                    let n = came.fetch_add(1, Ordering::Relaxed);
                    let _ = stream.write_all(&kind.says(&format!("idle-{n}")));
                    stream.set_nonblocking(true).expect("it can be asked");
                    (stream, Instant::now())
                });
            }
            thread::sleep(Duration::from_millis(100));
        }
    })
}

fn until(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Descriptors that the process holds.
fn held(process: &Process) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", process.child.id())).map_or(0, Iterator::count)
}

/// An operator's call is answered in its time, from when the machine has accepted it.
fn operated(process: &Process) {
    let mut stream = TcpStream::connect(&process.admin).expect("it listens");
    let since = Instant::now();
    stream.write_all(b"health\n").expect("taken");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    assert_eq!(text, "ok ready\n");
    assert!(since.elapsed() < CALL_MOST, "{:?}", since.elapsed());
}

/// One request on a new connection: the tags of its answer.
fn once(port: u16, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(&[startup(), ask(id, "1")].concat()).ok()?;
    answer(&mut stream)?;
    answer(&mut stream)
}

/// A process whose discovery is down, with seven members, and the list that it is to hear: these drain, and another one
/// is there.
struct Stand {
    process: Process,
    port: u16,
    /// Where discovery is looked for.
    found: u16,
    list: String,
    /// What the new member was asked.
    asked: Arc<AtomicUsize>,
    _folder: tempfile::TempDir,
}

impl Stand {
    fn start() -> Stand {
        let folder = tempfile::tempdir().expect("a folder");
        let (known, (two, second)): (Vec<_>, _) = ((1..8).map(|_| member().0).collect(), member());
        let names: Vec<String> = (1..8).map(|n| format!("k{n}")).collect();
        let members: Vec<(&str, &str)> =
            names.iter().map(String::as_str).zip(known.iter().map(String::as_str)).collect();
        let (port, found) = (free_port(), free_port());
        let process = Process::start_limited(
            folder.path(),
            port,
            &members,
            |config| {
                let at = config.find("\"discovery\":\"").expect("it is named") + 13;
                let end = at + config[at..].find('"').expect("its end");
                format!("{}127.0.0.1:{found}{}", &config[..at], &config[end..])
            },
            DESCRIPTORS,
        );
        process.ready();
        let entry = |(name, dial): (&str, &str), health: &str| {
            format!(
                r#"{{"host":"{name}","dial":"{dial}","site":"a","block":2,"health":"{health}","born_ms":0,"role":"primary"}}"#
            )
        };
        let mut hosts: Vec<String> = members.iter().map(|known| entry(*known, "leaving")).collect();
        hosts.push(entry(("new", two.as_str()), "active"));
        let list = format!(r#"{{"seq":50,"whole":true,"hosts":[{}]}}"#, hosts.join(","));
        Stand { process, port, found, list, asked: second, _folder: folder }
    }
}

/// Guards against clients that leave no descriptor for the call to discovery, for connections to members or for
/// operators, and against what the process holds beyond its limit.
#[rstest]
#[case::idle(&[Kind::Mute, Kind::HalfStartup, Kind::EmptyQuery, Kind::OneQuery, Kind::Nonsense])]
#[case::told_what_is_wrong(&[Kind::Nonsense, Kind::Nonsense, Kind::Nonsense, Kind::Mute])]
#[case::busy(&[Kind::Busy, Kind::Busy, Kind::Busy, Kind::Nonsense, Kind::Mute])]
fn discovery_members_and_operators_have_places_of_their_own(#[case] kinds: &[Kind]) {
    let busy = kinds.contains(&Kind::Busy);
    let stand = Stand::start();
    let (process, port, second) = (&stand.process, stand.port, &stand.asked);
    let (came, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let looks = || {
        most.fetch_max(held(process), Ordering::Relaxed);
        came.load(Ordering::Relaxed)
    };
    let start = |kinds: &[Kind]| {
        let stop = Arc::new(AtomicBool::new(false));
        let fillers: Vec<_> = kinds.iter().map(|kind| fill(port, *kind, &stop, &came)).collect();
        move || {
            stop.store(true, Ordering::Relaxed);
            fillers.into_iter().for_each(|filler| filler.join().expect("it ends"));
        }
    };
    // Operators who say nothing fill their places, and members' are filled before clients are busy.
    let callers: Vec<_> = (0..16).map(|_| TcpStream::connect(&process.admin).expect("it listens")).collect();
    if busy {
        let stop = start(&[Kind::OneQuery; 5]);
        until("many are served", || looks() > 3 * DESCRIPTORS);
        stop();
        came.store(0, Ordering::Relaxed);
    }
    let stop = start(kinds);
    until("the clients come", || looks() > 3 * DESCRIPTORS);
    operated(process);
    // Down: first nobody is there, then one who says nothing.
    let discovery = Discovery::open(stand.found, stand.list);
    until("discovery is called", || looks() > 0 && discovery.called.load(Ordering::Relaxed) > 1);
    operated(process);
    // It is back: its list is heard, and a member that it names is connected.
    discovery.speaks.store(true, Ordering::Relaxed);
    until("the list is heard", || looks() > 0 && discovery.told.load(Ordering::Relaxed) > 0);
    // Where every place is taken by a request there is none for another, else clients are served, by either member.
    if !busy {
        let (begun, mut n) = (Instant::now(), 0);
        while second.load(Ordering::Relaxed) == 0 {
            assert!(begun.elapsed() < PATIENCE, "the new member is never asked");
            n += 1;
            once(port, &format!("good-{n}"));
        }
        until("a new client is served", || {
            once(port, &format!("served-{}", looks())).as_deref() == Some("TDCZ")
        });
    }
    operated(process);
    stop();
    drop(callers);
    let most = most.load(Ordering::Relaxed);
    eprintln!("at most {most} of {DESCRIPTORS} descriptors");
    assert!(most < DESCRIPTORS, "{most} descriptors");
}
