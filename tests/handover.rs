//! A process that is replaced under load by another one at the same address.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{free_port, request_once, start_member, start_member_with_role, Process};
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::fs::{FileTypeExt, MetadataExt};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Clients that open one connection after another, with one request on each, until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<Vec<Option<String>>>>,
}

impl Load {
    fn start(port: u16) -> Load {
        let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let client = |n: usize| {
            let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
            thread::spawn(move || {
                let mut unserved = Vec::new();
                for i in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    match request_once(port, &format!("{n}-{i}")) {
                        Some(tags) if tags == "TDCZ" => drop(served.fetch_add(1, Ordering::Relaxed)),
                        other => unserved.push(other),
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                unserved
            })
        };
        let clients = (0..4).map(client).collect();
        Load { stop, served, clients }
    }

    /// Waits until `count` more requests are served.
    fn wait_for_served(&self, count: usize) {
        let until = self.served.load(Ordering::Relaxed) + count;
        for _ in 0..proxy_process::TEST_TIMEOUT.as_millis() / 5 {
            if self.served.load(Ordering::Relaxed) >= until {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("no more requests are served");
    }

    /// Stops the clients and returns the results of the requests that were not served.
    fn finish(self) -> Vec<Option<String>> {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().flat_map(|c| c.join().expect("the thread ends")).collect()
    }
}

/// Guards against connections that are refused, reset or never read while one process replaces another,
/// against a cordon that the new process does not take over, and against a second successor that takes the
/// address from both.
#[test]
fn a_process_is_replaced_under_load() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let ((first_address, _), (second_address, second_statements)) = (start_member(), start_member());
    let members = [("m1", first_address.as_str()), ("m2", second_address.as_str())];
    let port = free_port();
    let old = Process::start(folder.path(), port, &members);
    old.wait_until_ready();
    assert_eq!(old.admin_command("cordon m2").as_deref(), Some("ok cordoned"));
    let before = second_statements.load(Ordering::Relaxed);
    let load = Load::start(port);
    load.wait_for_served(50);
    let mut new = Process::start(folder.path(), port, &members);
    new.wait_until_ready();
    let counters = |p: &Process| p.admin_command("counters").expect("a response");
    assert!(counters(&new).contains(r#""targets":2,"targets_disabled":1"#), "{}", counters(&new));
    // While both processes run, a cordon through either one applies to both.
    assert_eq!(old.admin_command("cordon m1").as_deref(), Some("ok cordoned"));
    assert!(counters(&new).contains(r#""targets_disabled":2"#), "{}", counters(&new));
    assert_eq!(new.admin_command("uncordon m1").as_deref(), Some("ok uncordoned"));
    assert!(counters(&old).contains(r#""targets_disabled":1"#), "{}", counters(&old));
    let mut third = Process::start(folder.path(), port, &members);
    assert_eq!(third.child.wait().ok().and_then(|s| s.code()), Some(1), "a second successor is refused");
    load.wait_for_served(50);
    old.terminate();
    load.wait_for_served(100);
    assert_eq!(load.finish(), [], "requests that were not served");
    assert_eq!(second_statements.load(Ordering::Relaxed), before, "the cordoned member received requests");
    assert!(counters(&new).contains(r#""targets_disabled":1"#), "{}", counters(&new));
    assert_eq!(new.child.try_wait().ok().flatten(), None);
}

/// Returns the number of listening Unix sockets under a folder, from `/proc/net/unix`.
fn listeners(folder: &std::path::Path) -> usize {
    let all = std::fs::read_to_string("/proc/net/unix").expect("read /proc/net/unix");
    let folder_path = folder.to_str().expect("a UTF-8 path");
    all.lines()
        .filter(|line| line.contains(folder_path) && line.split(' ').nth(3) == Some("00010000"))
        .count()
}

/// Returns the inode of the handover socket under a folder; a new socket there has another inode.
fn handover_socket_inode(folder: &std::path::Path) -> Option<u64> {
    let files =
        std::fs::read_dir(folder).expect("the folder").flatten().filter_map(|file| file.metadata().ok());
    files.into_iter().find(|file| file.file_type().is_socket()).map(|file| file.ino())
}

/// Guards against an old process that no longer accepts connections after its successor died, and against a
/// socket file that a killed process left behind.
#[test]
fn the_old_process_goes_on_after_its_successor_dies() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let (address, _) = start_member();
    let (members, port) = ([("m1", address.as_str())], free_port());
    let mut old = Process::start(folder.path(), port, &members);
    old.wait_until_ready();
    let load = Load::start(port);
    load.wait_for_served(20);
    for _ in 0..2 {
        let mut new = Process::start(folder.path(), port, &members);
        new.child.kill().expect("kill the process");
        new.child.wait().expect("the process exits");
        load.wait_for_served(20);
    }
    assert_eq!(load.finish(), [], "requests that were not served");
    // A successor that is ready and dies loses only the connections that it has accepted.
    let mut new = Process::start(folder.path(), port, &members);
    new.wait_until_ready();
    new.child.kill().expect("kill the process");
    new.child.wait().expect("the process exits");
    let load = Load::start(port);
    load.wait_for_served(20);
    assert_eq!(load.finish(), [], "requests after the successor's end");
    // The old process is reachable for the next successor, which takes over a cordon.
    assert_eq!(old.admin_command("cordon m1").as_deref(), Some("ok cordoned"));
    let mut new = Process::start(folder.path(), port, &members);
    new.wait_until_ready();
    assert!(new.admin_command("counters").is_some_and(|f| f.contains(r#""targets_disabled":1"#)));
    let inode = handover_socket_inode(folder.path());
    new.child.kill().expect("kill the process");
    new.child.wait().expect("the process exits");
    // After any number of successors, the old process listens for the next one at one new handover socket;
    // until it is created, the previous socket is the only one.
    for _ in 0..proxy_process::TEST_TIMEOUT.as_millis() / 10 {
        if handover_socket_inode(folder.path()) != inode && listeners(folder.path()) == 1 {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(listeners(folder.path()), 1);
    // The socket file of the killed process does not stop the next one.
    old.child.kill().expect("kill the process");
    old.child.wait().expect("the process exits");
    let next = Process::start(folder.path(), port, &members);
    next.wait_until_ready();
    assert_eq!(request_once(port, "next").as_deref(), Some("TDCZ"));
}

/// Guards against a cordoned member that gets requests after an upgrade because the old process was too slow
/// to hand over the cordon.
#[test]
fn a_suspended_process_hands_over_its_cordons_when_it_continues() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let ((first_address, _), (second_address, second_statements)) = (start_member(), start_member());
    let members = [("m1", first_address.as_str()), ("m2", second_address.as_str())];
    let port = free_port();
    let old = Process::start(folder.path(), port, &members);
    old.wait_until_ready();
    assert_eq!(old.admin_command("cordon m2").as_deref(), Some("ok cordoned"));
    let before = second_statements.load(Ordering::Relaxed);
    old.signal("-STOP");
    let new = Process::start(folder.path(), port, &members);
    thread::sleep(Duration::from_secs(3));
    old.signal("-CONT");
    new.wait_until_ready();
    let counters = new.admin_command("counters").expect("a response");
    assert!(counters.contains(r#""targets":2,"targets_disabled":1"#), "{counters}");
    old.terminate();
    let load = Load::start(port);
    load.wait_for_served(50);
    assert_eq!(load.finish(), [], "requests that were not served");
    assert_eq!(second_statements.load(Ordering::Relaxed), before, "the cordoned member received requests");
}

/// Guards against a new process that waits in vain for an old one that dies without an answer.
#[test]
fn a_new_process_starts_when_a_suspended_one_is_killed() {
    /// The time in which a restarted process must be ready.
    const READY_TIME: Duration = Duration::from_secs(10);
    let folder = tempfile::tempdir().expect("temporary directory");
    let (address, _) = start_member();
    let (members, port) = ([("m1", address.as_str())], free_port());
    let mut old = Process::start(folder.path(), port, &members);
    old.wait_until_ready();
    old.signal("-STOP");
    let since = Instant::now();
    let new = Process::start(folder.path(), port, &members);
    thread::sleep(Duration::from_millis(500));
    old.child.kill().expect("kill the process");
    old.child.wait().expect("the process exits");
    new.wait_until_ready();
    assert!(since.elapsed() < READY_TIME, "{:?}", since.elapsed());
    assert_eq!(request_once(port, "next").as_deref(), Some("TDCZ"));
}

/// Sends one write on a new connection and returns the message tags of its response.
fn write_once(port: u16, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_read_timeout(Some(proxy_process::TEST_TIMEOUT)).ok()?;
    let text = format!("/* id={id},c=put,d=900000,cluster=2 */ SELECT 1");
    stream.write_all(&[proxy_process::startup(), proxy_process::query(&text)].concat()).ok()?;
    proxy_process::read_response(&mut stream)?;
    proxy_process::read_response(&mut stream)
}

/// Guards against a new process that sends writes to a member that the old process knew to be no primary any
/// more. The member list names both as primaries, so that either may be tried first.
#[test]
fn the_new_process_knows_the_primary_that_the_old_one_found() {
    for roles in [["primary", "replica"], ["replica", "primary"]] {
        let folder = tempfile::tempdir().expect("temporary directory");
        let [first, second] = roles.map(start_member_with_role);
        let members = [("m1", first.0.as_str()), ("m2", second.0.as_str())];
        let (port, replica_statements) =
            (free_port(), if roles[0] == "replica" { &first.1 } else { &second.1 });
        let old = Process::start(folder.path(), port, &members);
        old.wait_until_ready();
        let write = |id: String| assert_eq!(write_once(port, &id).as_deref(), Some("TDCZ"));
        (0..3).for_each(|n| write(format!("old-{n}")));
        let before = replica_statements.load(Ordering::Relaxed);
        let new = Process::start(folder.path(), port, &members);
        new.wait_until_ready();
        old.terminate();
        (0..20).for_each(|n| write(format!("new-{n}")));
        assert_eq!(replica_statements.load(Ordering::Relaxed), before, "writes to a replica");
    }
}
