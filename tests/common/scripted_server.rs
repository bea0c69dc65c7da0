//! The fake members and discovery services of a recorded exchange.

use super::bytes::{expect_bytes, parse_literal};
use super::TEST_TIMEOUT;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// Writes of this size or more may block until the proxy has read a part of them.
const LARGE_WRITE_BYTES: usize = 1 << 20;
const GREETING: &str = "{R \\0\\0\\0\\0}{S role\\0replica\\0}{Z I}";

/// A fake member or discovery service, which queues the messages that the proxy sends to it.
pub struct ScriptedServer {
    pub address: String,
    pub messages: Receiver<(TcpStream, Vec<u8>)>,
    /// The connection on which the latest message came.
    pub last_connection: Option<TcpStream>,
    /// The number of connections ever accepted.
    pub accepted: Arc<AtomicUsize>,
    gate: Arc<Gate>,
}

/// Holds a member's connections back until their handshakes may be answered.
struct Gate {
    open: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    fn wait(&self) {
        let is_open = self.open.lock().expect("lock the gate");
        drop(self.opened.wait_while(is_open, |is_open| !*is_open).expect("lock the gate"));
    }
}

/// How a member accepts connections.
#[derive(Clone, Copy, Default)]
pub struct AcceptMode {
    /// Accepts connections but never answers a handshake.
    pub held: bool,
    /// Closes a connection at an empty query.
    pub stale: bool,
    /// Answers handshakes only after [`ScriptedServer::open_gate`].
    pub gated: bool,
}

/// Reads bytes until they are a complete message.
pub fn read_message(stream: &mut TcpStream, is_complete: impl Fn(&[u8]) -> bool) -> Option<Vec<u8>> {
    let mut message = Vec::new();
    let mut byte = [0];
    while !is_complete(&message) {
        stream.read_exact(&mut byte).ok()?;
        message.push(byte[0]);
    }
    Some(message)
}

/// Returns whether a message is complete by its length field, which stands behind `skip` bytes.
pub fn has_full_length(skip: usize) -> impl Fn(&[u8]) -> bool {
    move |m| {
        let length = m.get(skip..skip + 4).map(|l| u32::from_be_bytes(l.try_into().expect("four bytes")));
        length.is_some_and(|length| m.len() >= length as usize + skip)
    }
}

impl ScriptedServer {
    pub fn start(member: bool, mode: AcceptMode) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("local address").to_string();
        let (sender, messages) = channel();
        let accepted = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&accepted);
        let gate = Arc::new(Gate { open: Mutex::new(!mode.gated), opened: Condvar::new() });
        let accept_gate = Arc::clone(&gate);
        thread::spawn(move || {
            let mut unanswered = Vec::new();
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::Relaxed);
                // The connection stays open without an answer to its handshake.
                if mode.held {
                    unanswered.push(stream);
                    continue;
                }
                let (sender, gate) = (sender.clone(), Arc::clone(&accept_gate));
                thread::spawn(move || {
                    gate.wait();
                    Self::serve(stream, member, mode.stale, &sender)
                });
            }
        });
        ScriptedServer { address, messages, last_connection: None, accepted, gate }
    }

    /// Lets a gated member answer handshakes from now on.
    pub fn open_gate(&self) {
        *self.gate.open.lock().expect("lock the gate") = true;
        self.gate.opened.notify_all();
    }

    /// Writes to the latest connection; a large write runs on a thread of its own, because the proxy may not
    /// read it all.
    pub fn write_bytes(&mut self, text: Vec<u8>) {
        let last = self.last_connection.as_mut().expect("a request came before");
        if text.len() < LARGE_WRITE_BYTES {
            return last.write_all(&text).expect("write to the socket");
        }
        let mut last = last.try_clone().expect("a second handle");
        thread::spawn(move || last.write_all(&text));
    }

    /// Waits until the proxy closes the latest connection.
    pub fn expect_close(&mut self, name: &str) {
        let mut last = self.last_connection.take().expect("a request came before");
        last.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        assert!(matches!(last.read(&mut [0]), Ok(0) | Err(_)), "{name} received more data");
    }

    pub fn serve(
        mut stream: TcpStream,
        member: bool,
        stale: bool,
        sender: &Sender<(TcpStream, Vec<u8>)>,
    ) -> Option<()> {
        if member {
            let startup = read_message(&mut stream, has_full_length(0))?;
            let expected = parse_literal("{_ \\0\\x03\\0\\0user\\0web\\0database\\0orders\\0\\0}");
            assert_eq!(startup, expected, "the startup message to a member");
            stream.write_all(&parse_literal(GREETING)).ok()?;
        }
        loop {
            let message = match member {
                true => read_message(&mut stream, has_full_length(1))?,
                false => read_message(&mut stream, |m| m.ends_with(b"\r\n\r\n"))?,
            };
            // The proxy sends an empty query to a connection that was idle; a stale connection closes at it.
            if member && message == parse_literal("{Q \\0}") {
                match stale {
                    true => return None,
                    false => stream.write_all(&parse_literal("{I }{Z I}")).ok()?,
                }
                continue;
            }
            sender.send((stream.try_clone().ok()?, message)).ok()?;
        }
    }

    /// Waits for the next message and compares it with the expected bytes.
    pub fn expect_message(&mut self, name: &str, expected: &str) {
        let (stream, message) =
            self.messages.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|e| panic!("{name}: {e}"));
        expect_bytes(name, &mut VecDeque::from(message), expected);
        self.last_connection = Some(stream);
    }
}
