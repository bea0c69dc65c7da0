//! Attempts that are taken back before anything of them is written: they never ran, and no member has seen them.

#[path = "common/stand.rs"]
mod stand;

use stand::{answer, free_port, query, startup, Process, PATIENCE};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(8);

/// Guards against an attempt that is taken back from a silent member while it waits for its connection, and counts as
/// one that the member has seen: its request is then held to the end of its client's time, when it is too late to come
/// back, where one that no member has seen is told before half of it is over.
#[test]
fn one_taken_back_while_it_waits_for_its_connection_was_not_seen() {
    // Its machine takes connections, and the member greets none.
    let member = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = member.local_addr().expect("an address").to_string();
    let folder = tempfile::tempdir().expect("a folder");
    let port = free_port();
    let process = Process::start_with(folder.path(), port, &[("m1", &address)], |config| {
        config.replace("900000000", "100000").replace(r#""Worth":1.0"#, r#""LateValue":0.5,"Worth":1.0"#)
    });
    process.ready();
    let mut client = TcpStream::connect(("127.0.0.1", port)).expect("it listens");
    client.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let text = format!("/* id=1,c=any,d={},cluster=2 */ SELECT 1", WAIT.as_millis());
    client.write_all(&[startup(), query(&text)].concat()).expect("taken");
    answer(&mut client).expect("greeted");
    let asked = Instant::now();
    assert_eq!(answer(&mut client).as_deref(), Some("EZ"));
    let took = asked.elapsed();
    assert!(took < WAIT * 3 / 4, "refused after {took:?} of {WAIT:?}");
}
