//! Session reads after a write whose client left, where clients carry no session tokens: a replica that may
//! lack the write does not get them.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{
    free_port, query, read_response, start_member, start_member_with_role, startup, Process, TEST_TIMEOUT,
};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

fn connect(port: u16) -> TcpStream {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).expect("the process listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    stream.write_all(&startup()).expect("write to the socket");
    assert!(read_response(&mut stream).is_some());
    stream
}

fn request(id: &str, class: &str, statement: &str) -> Vec<u8> {
    query(&format!("/* id={id},c={class},d=900000,cluster=2 */ SELECT {statement} WHERE ref = 's1'"))
}

/// Guards against a commit that is forgotten because the client of its write leaves: while the write runs, or
/// while its long answer, which states the commit at its end, is being streamed.
#[rstest]
#[case::while_it_runs(0)]
#[case::during_the_answer(1_000)]
fn a_session_read_sees_a_write_whose_client_left(#[case] read_before_leaving: usize) {
    let folder = tempfile::tempdir().expect("temporary directory");
    let (primary, writes) = start_member();
    let (replica, reads) = start_member_with_role("replica");
    let port = free_port();
    let members = [("m1", primary.as_str()), ("m2", replica.as_str())];
    let process = Process::start_with_config(folder.path(), port, &members, |config| {
        let is_replica = r#""site":"a","block":2,"health":"active","born_ms":0,"role":"primary"}]"#;
        assert!(config.contains(is_replica));
        config
            .replace(is_replica, &is_replica.replace("primary", "replica"))
            .replace(r#""SessionMarks":"brought""#, r#""SessionMarks":"kept""#)
    });
    process.wait_until_ready();

    let mut writer = connect(port);
    writer.write_all(&request("write", "put", "long 8000000")).expect("write to the socket");
    while writes.load(Ordering::Relaxed) == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    writer.read_exact(&mut vec![0; read_before_leaving]).expect("the start of the answer");
    drop(writer);
    // Time for the proxy to notice the disconnect and to drop the answer.
    thread::sleep(Duration::from_millis(200));

    let mut reader = connect(port);
    reader.write_all(&request("read", "own", "1")).expect("write to the socket");
    assert_eq!(read_response(&mut reader).as_deref(), Some("TDCZ"));
    assert_eq!(reads.load(Ordering::Relaxed), 0, "the replica, whose position is unknown, gets no read");
}
