//! A process that is asked to end, and what its clients send and see.
#![allow(dead_code)]

#[path = "stand.rs"]
mod stand;

pub use stand::{answer, free_port, query, startup, Process, PATIENCE};

use stand::member;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Stand {
    pub process: Process,
    pub port: u16,
    pub asked: Arc<AtomicUsize>,
    pub folder: tempfile::TempDir,
}

impl Stand {
    /// A process with a member that answers, which is ready.
    pub fn new() -> Stand {
        let folder = tempfile::tempdir().expect("a folder");
        let (address, asked) = member();
        let port = free_port();
        let process = Process::start(folder.path(), port, &[("m1", address.as_str())]);
        process.ready();
        Stand { process, port, asked, folder }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(("127.0.0.1", self.port)).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        stream
    }

    /// A connection that rests after its first answer.
    pub fn resting(&self) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(&[startup(), query("")].concat()).expect("taken");
        assert!(answer(&mut stream).is_some_and(|tags| tags.ends_with('Z')));
        assert_eq!(answer(&mut stream).as_deref(), Some("IZ"));
        stream
    }

    /// Asks the process to end, and waits until it knows.
    pub fn terminate(&self) -> Instant {
        let mut resting = self.resting();
        let since = Instant::now();
        self.process.terminate();
        assert_eq!(resting.read(&mut [0]).ok(), Some(0), "a resting connection closes");
        since
    }

    /// The process ends by itself.
    pub fn ends(mut self) {
        assert_eq!(self.process.child.wait().ok().and_then(|s| s.code()), Some(0));
    }
}

pub fn ask(id: &str, what: &str) -> Vec<u8> {
    query(&format!("/* id={id},c=any,d=900000,cluster=2 */ SELECT {what}"))
}

pub fn over(stream: &mut TcpStream) -> bool {
    !matches!(stream.read(&mut [0]), Ok(1..))
}

pub fn pass(since: Instant, span: Duration) {
    thread::sleep((since + span).saturating_duration_since(Instant::now()));
}
