//! A fake member that accepts connections and is controlled by the test.

use super::{empty_query_response, expect_soon, startup_response};
use async_channel::{unbounded, Receiver, Sender};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// A message from the proxy on a connection, or its end.
#[derive(Debug, PartialEq, Eq)]
pub enum Received {
    Startup,
    Query(String),
    End,
}

/// A gate that pauses reading from a connection.
#[derive(Default)]
struct ReadGate {
    closed: Mutex<bool>,
    changed: Condvar,
}

impl ReadGate {
    fn set_closed(&self, closed: bool) {
        *self.closed.lock().expect("gate is not poisoned") = closed;
        self.changed.notify_all();
    }

    fn wait_until_open(&self) {
        let closed = self.closed.lock().expect("gate is not poisoned");
        drop(self.changed.wait_while(closed, |closed| *closed).expect("gate is not poisoned"));
    }
}

/// A connection of the proxy, from the member's side.
pub struct ProxyConnection {
    pub stream: TcpStream,
    received: Receiver<Received>,
    gate: Arc<ReadGate>,
}

impl ProxyConnection {
    fn start(stream: TcpStream) -> ProxyConnection {
        stream.set_nodelay(true).expect("no delay");
        let (sender, received) = unbounded();
        let gate = Arc::<ReadGate>::default();
        let reader = stream.try_clone().expect("clone of the stream");
        let reader_gate = Arc::clone(&gate);
        thread::spawn(move || read_messages(reader, &sender, &reader_gate));
        ProxyConnection { stream, received, gate }
    }

    /// Stops reading after the startup message until [`ProxyConnection::resume_reading`].
    pub fn stop_reading(&self) {
        self.gate.set_closed(true);
    }

    pub fn resume_reading(&self) {
        self.gate.set_closed(false);
    }

    /// Returns the next message, or the end of the connection.
    pub async fn receive(&self) -> Received {
        expect_soon(self.received.recv()).await.expect("the reader sends `End` before it stops")
    }

    /// Returns the next statement, and answers empty queries before it.
    pub async fn receive_statement(&self) -> String {
        loop {
            match self.receive().await {
                Received::Query(text) if text.is_empty() => self.send(&empty_query_response()),
                Received::Query(text) => return text,
                other => panic!("expected a statement, got {other:?}"),
            }
        }
    }

    pub fn send(&self, bytes: &[u8]) {
        (&self.stream).write_all(bytes).expect("write to the proxy");
    }

    pub async fn complete_startup(&self) {
        assert_eq!(self.receive().await, Received::Startup);
        self.send(&startup_response());
    }

    pub fn close(&self) {
        self.stream.shutdown(Shutdown::Both).expect("connection is open");
    }

    pub fn reset(&self) {
        rustix::net::connect_unspec(&self.stream).expect("connection is open");
    }
}

/// A member to which the proxy connects.
pub struct FakeMember {
    pub address: SocketAddr,
    accepted: Receiver<ProxyConnection>,
}

impl FakeMember {
    pub fn start() -> FakeMember {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let address = listener.local_addr().expect("local address");
        let (sender, accepted) = unbounded();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if sender.send_blocking(ProxyConnection::start(stream)).is_err() {
                    return;
                }
            }
        });
        FakeMember { address, accepted }
    }

    /// Returns the next connection, before its startup.
    pub async fn accept(&self) -> ProxyConnection {
        expect_soon(self.accepted.recv()).await.expect("the accept thread runs")
    }

    /// Returns the next connection, after its startup.
    pub async fn accept_ready(&self) -> ProxyConnection {
        let connection = self.accept().await;
        connection.complete_startup().await;
        connection
    }

    /// Returns whether the test has accepted every connection.
    pub fn has_no_new_connection(&self) -> bool {
        self.accepted.is_empty()
    }
}

/// Reads the startup message and all queries of a connection.
fn read_messages(mut stream: TcpStream, sender: &Sender<Received>, gate: &ReadGate) {
    let startup = read_message(&mut stream, 0).map(|_| Received::Startup);
    let queries = std::iter::from_fn(|| {
        gate.wait_until_open();
        let body = read_message(&mut stream, 1)?;
        Some(Received::Query(String::from_utf8_lossy(&body).into_owned()))
    });
    if let Some(startup) = startup {
        let _ = sender.send_blocking(startup);
        for query in queries {
            let _ = sender.send_blocking(query);
        }
    }
    let _ = sender.send_blocking(Received::End);
}

/// Returns the body of the next complete message without its terminating zero. The tag has `tag_size` bytes.
fn read_message(stream: &mut TcpStream, tag_size: usize) -> Option<Vec<u8>> {
    let mut head = vec![0; tag_size + 4];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[tag_size..].try_into().expect("four bytes"));
    let mut body = vec![0; length as usize - 4];
    stream.read_exact(&mut body).ok()?;
    body.pop();
    Some(body)
}
