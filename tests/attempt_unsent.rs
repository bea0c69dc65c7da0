//! Attempts that are cancelled before any of their bytes is written: no member has received or executed them.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{free_port, query, read_response, startup, Process, TEST_TIMEOUT};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const CLIENT_TIMEOUT: Duration = Duration::from_secs(8);

/// Guards against an attempt that is cancelled while it waits for a connection to a silent member, but counts
/// as received by the member. Its request was then held until the client's deadline, too late for a retry,
/// whereas a request that no member has received is refused before half of its time is over.
#[test]
fn an_attempt_cancelled_before_its_connection_opens_was_not_received() {
    // The kernel accepts connections, but the member does not answer their handshakes.
    let member = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = member.local_addr().expect("local address").to_string();
    let folder = tempfile::tempdir().expect("temporary directory");
    let port = free_port();
    let process = Process::start_with_config(folder.path(), port, &[("m1", &address)], |config| {
        config.replace("900000000", "100000").replace(r#""Worth":1.0"#, r#""LateValue":0.5,"Worth":1.0"#)
    });
    process.wait_until_ready();
    let mut client = TcpStream::connect(("127.0.0.1", port)).expect("the process listens");
    client.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    let text = format!("/* id=1,c=any,d={},cluster=2 */ SELECT 1", CLIENT_TIMEOUT.as_millis());
    client.write_all(&[startup(), query(&text)].concat()).expect("write to the socket");
    read_response(&mut client).expect("startup response");
    let sent_at = Instant::now();
    assert_eq!(read_response(&mut client).as_deref(), Some("EZ"));
    let took = sent_at.elapsed();
    assert!(took < CLIENT_TIMEOUT * 3 / 4, "refused after {took:?} of {CLIENT_TIMEOUT:?}");
}
