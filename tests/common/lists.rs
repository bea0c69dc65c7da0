//! A fake discovery service that does not answer until it is told to.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

/// A discovery service that accepts connections and answers once `answers` is set.
#[derive(Default)]
pub struct Discovery {
    /// Accepted connections.
    pub connection_count: AtomicUsize,
    pub answers: AtomicBool,
    /// Lists sent.
    pub sent_count: AtomicUsize,
}

impl Discovery {
    /// Starts to listen; sends `list` as the response once `answers` is set.
    pub fn listen(port: u16, list: String) -> Arc<Self> {
        let discovery = Arc::new(Discovery::default());
        let listener = TcpListener::bind(("127.0.0.1", port)).expect("bind the port");
        let shared = Arc::clone(&discovery);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (discovery, list) = (Arc::clone(&shared), list.clone());
                discovery.connection_count.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || discovery.serve(stream, &list));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream, list: &str) -> Option<()> {
        let mut request = [0; 1024];
        loop {
            let count = stream.read(&mut request).ok().filter(|n| *n > 0)?;
            if !self.answers.load(Ordering::Relaxed) || request[..count].windows(6).any(|w| w == b"index=") {
                continue;
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            stream.write_all([head.as_bytes(), list.as_bytes()].concat().as_slice()).ok()?;
            self.sent_count.fetch_add(1, Ordering::Relaxed);
        }
    }
}
