//! A process that is replaced under load by another at the same address.

#[path = "common/stand.rs"]
mod stand;

use stand::{free_port, request_once, start_member, start_member_with_role, Process};
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::fs::{FileTypeExt, MetadataExt};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Clients that each open connection after connection, with one request on each, until told to stop.
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
                let mut lost = Vec::new();
                for i in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    match request_once(port, &format!("{n}-{i}")) {
                        Some(tags) if tags == "TDCZ" => drop(served.fetch_add(1, Ordering::Relaxed)),
                        other => lost.push(other),
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                lost
            })
        };
        let clients = (0..4).map(client).collect();
        Load { stop, served, clients }
    }

    /// Waits for so many more answers.
    fn more(&self, count: usize) {
        let until = self.served.load(Ordering::Relaxed) + count;
        for _ in 0..stand::TEST_TIMEOUT.as_millis() / 5 {
            if self.served.load(Ordering::Relaxed) >= until {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("no more answers come");
    }

    /// What was not served.
    fn end(self) -> Vec<Option<String>> {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().flat_map(|c| c.join().expect("the thread ends")).collect()
    }
}

/// Guards against connections that are refused, reset or never read while one process replaces another, against a
/// cordon that the new one does not know, and against a second newcomer who takes the address from both.
#[test]
fn a_process_is_replaced_under_load() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let ((one, _), (two, used)) = (start_member(), start_member());
    let members = [("m1", one.as_str()), ("m2", two.as_str())];
    let port = free_port();
    let old = Process::start(folder.path(), port, &members);
    old.wait_until_ready();
    assert_eq!(old.admin_command("cordon m2").as_deref(), Some("ok cordoned"));
    let before = used.load(Ordering::Relaxed);
    let load = Load::start(port);
    load.more(50);
    let mut new = Process::start(folder.path(), port, &members);
    new.wait_until_ready();
    let figures = |p: &Process| p.admin_command("counters").expect("figures");
    assert!(figures(&new).contains(r#""targets":2,"targets_disabled":1"#), "{}", figures(&new));
    // While both run, a call at either door holds at both.
    assert_eq!(old.admin_command("cordon m1").as_deref(), Some("ok cordoned"));
    assert!(figures(&new).contains(r#""targets_disabled":2"#), "{}", figures(&new));
    assert_eq!(new.admin_command("uncordon m1").as_deref(), Some("ok uncordoned"));
    assert!(figures(&old).contains(r#""targets_disabled":1"#), "{}", figures(&old));
    let mut late = Process::start(folder.path(), port, &members);
    assert_eq!(late.child.wait().ok().and_then(|s| s.code()), Some(1), "a second one is too late");
    load.more(50);
    old.terminate();
    load.more(100);
    assert_eq!(load.end(), [], "requests that were not served");
    assert_eq!(used.load(Ordering::Relaxed), before, "the member that is out was asked");
    assert!(figures(&new).contains(r#""targets_disabled":1"#), "{}", figures(&new));
    assert_eq!(new.child.try_wait().ok().flatten(), None);
}

/// Unix sockets that listen under a folder, as the system counts them.
fn listeners(folder: &std::path::Path) -> usize {
    let all = std::fs::read_to_string("/proc/net/unix").expect("the system's list");
    let here = folder.to_str().expect("a path of text");
    all.lines().filter(|line| line.contains(here) && line.split(' ').nth(3) == Some("00010000")).count()
}

/// The file under a folder at which the next process asks, by its number: another socket there has another one.
fn post(folder: &std::path::Path) -> Option<u64> {
    let files =
        std::fs::read_dir(folder).expect("the folder").flatten().filter_map(|file| file.metadata().ok());
    files.into_iter().find(|file| file.file_type().is_socket()).map(|file| file.ino())
}

/// Guards against an old process that no longer takes connections after its successor died, and against a socket that
/// a killed process left behind.
#[test]
fn a_successor_that_dies_leaves_the_old_one_as_it_was() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let (one, _) = start_member();
    let (members, port) = ([("m1", one.as_str())], free_port());
    let mut old = Process::start(folder.path(), port, &members);
    old.wait_until_ready();
    let load = Load::start(port);
    load.more(20);
    for _ in 0..2 {
        let mut new = Process::start(folder.path(), port, &members);
        new.child.kill().expect("kill the process");
        new.child.wait().expect("the process exits");
        load.more(20);
    }
    assert_eq!(load.end(), [], "requests that were not served");
    // One that serves already takes with it what it had accepted, and no more.
    let mut new = Process::start(folder.path(), port, &members);
    new.wait_until_ready();
    new.child.kill().expect("kill the process");
    new.child.wait().expect("the process exits");
    let load = Load::start(port);
    load.more(20);
    assert_eq!(load.end(), [], "requests after the successor's end");
    // The old one can be found again: a cordon reaches the next successor.
    assert_eq!(old.admin_command("cordon m1").as_deref(), Some("ok cordoned"));
    let mut new = Process::start(folder.path(), port, &members);
    new.wait_until_ready();
    assert!(new.admin_command("counters").is_some_and(|f| f.contains(r#""targets_disabled":1"#)));
    let successors = post(folder.path());
    new.child.kill().expect("kill the process");
    new.child.wait().expect("the process exits");
    // However many successors came and went, it listens for the next one once, at a socket that it has put there anew:
    // until then its former one is the only one.
    for _ in 0..stand::TEST_TIMEOUT.as_millis() / 10 {
        if post(folder.path()) != successors && listeners(folder.path()) == 1 {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(listeners(folder.path()), 1);
    // The file that the old one leaves when it is killed is nobody's.
    old.child.kill().expect("kill the process");
    old.child.wait().expect("the process exits");
    let next = Process::start(folder.path(), port, &members);
    next.wait_until_ready();
    assert_eq!(request_once(port, "next").as_deref(), Some("TDCZ"));
}

/// The tags of a write's answer.
fn write_once(port: u16, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_read_timeout(Some(stand::TEST_TIMEOUT)).ok()?;
    let text = format!("/* id={id},c=put,d=900000,cluster=2 */ SELECT 1");
    stream.write_all(&[stand::startup(), stand::query(&text)].concat()).ok()?;
    stand::read_response(&mut stream)?;
    stand::read_response(&mut stream)
}

/// Guards against a new process that asks a member for writes of which the old one knew that it is no primary any
/// more. The list takes both for primaries, so that either may be asked first.
#[test]
fn the_new_process_knows_the_primary_that_the_old_one_found() {
    for roles in [["primary", "replica"], ["replica", "primary"]] {
        let folder = tempfile::tempdir().expect("temporary directory");
        let [one, two] = roles.map(start_member_with_role);
        let members = [("m1", one.0.as_str()), ("m2", two.0.as_str())];
        let (port, replica) = (free_port(), if roles[0] == "replica" { &one.1 } else { &two.1 });
        let old = Process::start(folder.path(), port, &members);
        old.wait_until_ready();
        let write = |id: String| assert_eq!(write_once(port, &id).as_deref(), Some("TDCZ"));
        (0..3).for_each(|n| write(format!("old-{n}")));
        let before = replica.load(Ordering::Relaxed);
        let new = Process::start(folder.path(), port, &members);
        new.wait_until_ready();
        old.terminate();
        (0..20).for_each(|n| write(format!("new-{n}")));
        assert_eq!(replica.load(Ordering::Relaxed), before, "writes to a replica");
    }
}
