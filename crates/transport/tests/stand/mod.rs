//! A member that the test plays step by step, and a pool of connections to it.
#![allow(dead_code)]

mod rig;

pub use rig::*;

use async_channel::{unbounded, Receiver};
use futures_lite::future;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Far longer than anything takes: only a failing test meets it.
pub const PATIENCE: Duration = Duration::from_secs(20);
pub const LONG: Duration = Duration::from_secs(30);
const DESCRIBED: &[u8] = b"\0\x01payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// A whole answer with this value of one byte.
pub fn row(value: u8) -> Vec<u8> {
    let row = message(b'D', &[0, 1, 0, 0, 0, 1, value]);
    [message(b'T', DESCRIBED), row, message(b'C', b"SELECT 1\0"), message(b'Z', b"I")].concat()
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// What a connection of the proxy says.
#[derive(Debug, PartialEq, Eq)]
pub enum Heard {
    Startup,
    Query(String),
    End,
}

/// A connection of the proxy, as the member has it.
pub struct Peer {
    pub stream: TcpStream,
    heard: Receiver<Heard>,
    held: Arc<(Mutex<bool>, Condvar)>,
}

impl Peer {
    /// Reads nothing of what follows the startup message as long as it is held.
    pub fn hold(&self, held: bool) {
        *self.held.0.lock().expect("the gate") = held;
        self.held.1.notify_all();
    }

    pub async fn hears(&self) -> Heard {
        soon(self.heard.recv()).await.expect("the reader runs to the end")
    }

    /// What was heard up to now, without waiting.
    pub fn heard(&self) -> Option<Heard> {
        self.heard.try_recv().ok()
    }

    /// The next statement; empty queries before it are answered.
    pub async fn asked(&self) -> String {
        loop {
            match self.hears().await {
                Heard::Query(text) if text.is_empty() => {
                    self.says(&[message(b'I', b""), message(b'Z', b"I")].concat());
                }
                Heard::Query(text) => return text,
                other => panic!("a statement, not {other:?}"),
            }
        }
    }

    pub fn says(&self, bytes: &[u8]) {
        (&self.stream).write_all(bytes).expect("taken");
    }

    pub async fn greets(&self) {
        assert_eq!(self.hears().await, Heard::Startup);
        self.says(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat());
    }

    pub fn closes(&self) {
        self.stream.shutdown(Shutdown::Both).expect("open");
    }

    pub fn resets(&self) {
        rustix::net::connect_unspec(&self.stream).expect("open");
    }
}

/// Where the proxy connects.
pub struct Stand {
    pub address: SocketAddr,
    accepted: Receiver<Peer>,
}

impl Stand {
    pub fn start() -> Stand {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, accepted) = unbounded();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).expect("no delay");
                let (say, heard) = unbounded();
                let mut from = stream.try_clone().expect("a second handle");
                let held: Arc<(Mutex<bool>, Condvar)> = Arc::default();
                let gate = Arc::clone(&held);
                thread::spawn(move || {
                    let mut skip = 0;
                    while let Some(body) = message_of(&mut from, skip) {
                        let query = || Heard::Query(String::from_utf8_lossy(&body).into_owned());
                        let heard = if skip == 0 { Heard::Startup } else { query() };
                        let _ = say.send_blocking(heard);
                        skip = 1;
                        let held = gate.0.lock().expect("the gate");
                        drop(gate.1.wait_while(held, |held| *held).expect("the gate"));
                    }
                    let _ = say.send_blocking(Heard::End);
                });
                if sender.send_blocking(Peer { stream, heard, held }).is_err() {
                    return;
                }
            }
        });
        Stand { address, accepted }
    }

    pub async fn accepts(&self) -> Peer {
        soon(self.accepted.recv()).await.expect("the listener runs")
    }

    /// A connection that is greeted.
    pub async fn greets(&self) -> Peer {
        let peer = self.accepts().await;
        peer.greets().await;
        peer
    }

    /// Whether no connection has come that was not taken yet.
    pub fn none(&self) -> bool {
        self.accepted.is_empty()
    }
}

/// The body of the next whole message, without the zero at its end.
fn message_of(from: &mut TcpStream, skip: usize) -> Option<Vec<u8>> {
    let mut head = vec![0; skip + 4];
    from.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[skip..].try_into().expect("four bytes"));
    let mut body = vec![0; length as usize - 4];
    from.read_exact(&mut body).ok()?;
    body.pop();
    Some(body)
}

/// The result of work that is done long before patience ends.
pub async fn soon<T>(work: impl Future<Output = T>) -> T {
    let late = async {
        async_io::Timer::after(PATIENCE).await;
        panic!("it never came")
    };
    future::or(work, late).await
}

/// Lets other tasks go on until something holds.
pub async fn until(holds: impl Fn() -> bool) {
    let work = async {
        while !holds() {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
    };
    soon(work).await
}
