//! A proxy process that is told to shut down, and its clients.
#![allow(dead_code)]

#[path = "proxy_process.rs"]
mod proxy_process;

pub use proxy_process::{free_port, query, read_response, startup, Process, TEST_TIMEOUT};

use proxy_process::start_member;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A proxy process with one member.
pub struct RunningProxy {
    pub process: Process,
    pub port: u16,
    /// Statements that the member received.
    pub statement_count: Arc<AtomicUsize>,
    pub folder: tempfile::TempDir,
}

impl RunningProxy {
    /// Starts a process with one member and waits until it is ready.
    pub fn new() -> RunningProxy {
        let folder = tempfile::tempdir().expect("temporary directory");
        let (address, statement_count) = start_member();
        let port = free_port();
        let process = Process::start(folder.path(), port, &[("m1", address.as_str())]);
        process.wait_until_ready();
        RunningProxy { process, port, statement_count, folder }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(("127.0.0.1", self.port)).expect("the process listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        stream
    }

    /// Opens a connection that is idle after an empty query.
    pub fn open_idle(&self) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(&[startup(), query("")].concat()).expect("write to the socket");
        assert!(read_response(&mut stream).is_some_and(|tags| tags.ends_with('Z')));
        assert_eq!(read_response(&mut stream).as_deref(), Some("IZ"));
        stream
    }

    /// Sends SIGTERM, waits until the process closes an idle connection, and returns the time of the signal.
    pub fn terminate(&self) -> Instant {
        let mut idle = self.open_idle();
        let since = Instant::now();
        self.process.terminate();
        assert_eq!(read_byte(&mut idle).ok(), Some(0), "the process closes an idle connection");
        since
    }

    /// Waits for the process to exit, with code 0.
    pub fn assert_exits(mut self) {
        assert_eq!(self.process.child.wait().ok().and_then(|s| s.code()), Some(0));
    }
}

pub fn request(id: &str, statement: &str) -> Vec<u8> {
    query(&format!("/* id={id},c=any,d=900000,cluster=2 */ SELECT {statement}"))
}

pub fn is_closed(stream: &mut TcpStream) -> bool {
    !matches!(read_byte(stream), Ok(1..))
}

/// Reads one byte. A read that a signal interrupts is repeated: the kernel does not restart reads with a
/// timeout.
fn read_byte(stream: &mut TcpStream) -> std::io::Result<usize> {
    loop {
        match stream.read(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Sleeps until `span` has passed since the instant.
pub fn sleep_until_elapsed(since: Instant, span: Duration) {
    thread::sleep((since + span).saturating_duration_since(Instant::now()));
}
