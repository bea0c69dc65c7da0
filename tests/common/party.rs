//! Members and discovery of a recorded exchange, and where whole messages are read.

use super::bytes::{expect, plain};
use super::PATIENCE;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// More than this may have to wait for the program to take it.
const LONG: usize = 1 << 20;
const GREETING: &str = "{R \\0\\0\\0\\0}{S role\\0replica\\0}{Z I}";

/// A member or discovery: what the program sends to it comes out as whole messages.
pub struct Party {
    pub address: String,
    pub messages: Receiver<(TcpStream, Vec<u8>)>,
    pub last: Option<TcpStream>,
    /// Connections that it was ever reached on.
    pub accepted: Arc<AtomicUsize>,
    gate: Arc<Gate>,
}

/// Where a member's connections wait for their greeting.
struct Gate {
    open: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    fn pass(&self) {
        let open = self.open.lock().expect("the gate");
        drop(self.opened.wait_while(open, |open| !*open).expect("the gate"));
    }
}

/// How a member takes connections.
#[derive(Clone, Copy, Default)]
pub struct Manner {
    /// It answers no handshake.
    pub held: bool,
    /// It closes at an empty query.
    pub stale: bool,
    /// It answers handshakes once [`Party::open`] says so.
    pub gated: bool,
}

pub fn whole(stream: &mut TcpStream, until: impl Fn(&[u8]) -> bool) -> Option<Vec<u8>> {
    let mut message = Vec::new();
    let mut byte = [0];
    while !until(&message) {
        stream.read_exact(&mut byte).ok()?;
        message.push(byte[0]);
    }
    Some(message)
}

pub fn framed(skip: usize) -> impl Fn(&[u8]) -> bool {
    move |m| {
        let length = m.get(skip..skip + 4).map(|l| u32::from_be_bytes(l.try_into().expect("four bytes")));
        length.is_some_and(|length| m.len() >= length as usize + skip)
    }
}

impl Party {
    pub fn start(member: bool, manner: Manner) -> Party {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (sender, messages) = channel();
        let accepted = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&accepted);
        let gate = Arc::new(Gate { open: Mutex::new(!manner.gated), opened: Condvar::new() });
        let gates = Arc::clone(&gate);
        thread::spawn(move || {
            let mut held = Vec::new();
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::Relaxed);
                // Open and silent: no handshake on it is answered.
                if manner.held {
                    held.push(stream);
                    continue;
                }
                let (sender, gate) = (sender.clone(), Arc::clone(&gates));
                thread::spawn(move || {
                    gate.pass();
                    Self::talk(stream, member, manner.stale, &sender)
                });
            }
        });
        Party { address, messages, last: None, accepted, gate }
    }

    /// From now on its connections are greeted.
    pub fn open(&self) {
        *self.gate.open.lock().expect("the gate") = true;
        self.gate.opened.notify_all();
    }

    /// Writes on the connection that it was asked on last; a long text beside the script, since the program may
    /// not take it all.
    pub fn says(&mut self, text: Vec<u8>) {
        let last = self.last.as_mut().expect("it was asked");
        if text.len() < LONG {
            return last.write_all(&text).expect("taken");
        }
        let mut last = last.try_clone().expect("a second handle");
        thread::spawn(move || last.write_all(&text));
    }

    /// Waits until the program closes the connection that it was asked on last.
    pub fn sees_the_end(&mut self, who: &str) {
        let mut last = self.last.take().expect("it was asked");
        last.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        assert!(matches!(last.read(&mut [0]), Ok(0) | Err(_)), "{who} was told more");
    }

    pub fn talk(
        mut stream: TcpStream,
        member: bool,
        stale: bool,
        sender: &Sender<(TcpStream, Vec<u8>)>,
    ) -> Option<()> {
        if member {
            let startup = whole(&mut stream, framed(0))?;
            let wanted = plain("{_ \\0\\x03\\0\\0user\\0web\\0database\\0orders\\0\\0}");
            assert_eq!(startup, wanted, "the startup message to a member");
            stream.write_all(&plain(GREETING)).ok()?;
        }
        loop {
            let message = match member {
                true => whole(&mut stream, framed(1))?,
                false => whole(&mut stream, |m| m.ends_with(b"\r\n\r\n"))?,
            };
            // A connection that stood idle is asked an empty query first; a stale one ends at that.
            if member && message == plain("{Q \\0}") {
                match stale {
                    true => return None,
                    false => stream.write_all(&plain("{I }{Z I}")).ok()?,
                }
                continue;
            }
            sender.send((stream.try_clone().ok()?, message)).ok()?;
        }
    }

    pub fn hears(&mut self, who: &str, wanted: &str) {
        let (stream, message) = self.messages.recv_timeout(PATIENCE).unwrap_or_else(|e| panic!("{who}: {e}"));
        expect(who, &mut VecDeque::from(message), wanted);
        self.last = Some(stream);
    }
}
