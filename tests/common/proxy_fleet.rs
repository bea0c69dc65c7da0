//! Proxies that hear each other, with a primary that counts how often each write runs.
#![allow(dead_code)]

#[path = "proxy_process.rs"]
mod proxy_process;

pub use proxy_process::{free_port, query, read_response, startup, Process, TEST_TIMEOUT};

use proxy_process::start_observed_member;
use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the primary takes for a write that asks to be slow.
pub const SLOW_WRITE: Duration = Duration::from_millis(100);

/// Proxies as processes that share their state, in front of one primary.
pub struct ProxyFleet {
    pub proxies: Vec<Process>,
    pub ports: Vec<u16>,
    runs: Arc<Mutex<HashMap<String, u32>>>,
    _folder: tempfile::TempDir,
}

/// The request id in a statement.
fn request_id(statement: &str) -> Option<&str> {
    statement.split_once("id=")?.1.split(',').next()
}

/// Reserves distinct UDP ports on loopback.
fn free_udp_ports(count: usize) -> Vec<u16> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("local address").port()).collect()
}

impl ProxyFleet {
    /// Starts this many proxies and waits until each hears the others.
    pub fn start(count: usize) -> ProxyFleet {
        let folder = tempfile::tempdir().expect("temporary directory");
        let runs = Arc::new(Mutex::new(HashMap::new()));
        let counted = Arc::clone(&runs);
        let primary = start_observed_member("primary", move |statement| {
            if let Some(id) = request_id(statement) {
                *counted.lock().expect("lock the counts").entry(id.to_string()).or_insert(0) += 1;
            }
            if statement.contains("SELECT slow") {
                thread::sleep(SLOW_WRITE);
            }
        });
        let peer_ports = free_udp_ports(count);
        let seeds: Vec<String> = peer_ports.iter().map(|port| format!("127.0.0.1:{port}")).collect();
        let ports: Vec<u16> = (0..count).map(|_| free_port()).collect();
        let start = |n: usize| {
            let settings = folder.path().join(format!("proxy-{n}.xml"));
            let (listen, seeds) = (&seeds[n], seeds.join(" "));
            let xml = format!(
                r#"<wharfplank><peers listen="{listen}" seeds="{seeds}" expected="{count}"/><replica/></wharfplank>"#
            );
            std::fs::write(&settings, xml).expect("write the file");
            let members = [("m1", primary.as_str())];
            Process::start_with_settings(folder.path(), ports[n], &members, |c| c, Some(&settings))
        };
        let proxies: Vec<Process> = (0..count).map(start).collect();
        for (proxy, own) in proxies.iter().zip(&seeds) {
            proxy.wait_until_ready();
            for peer in seeds.iter().filter(|peer| *peer != own) {
                proxy.wait_for_log(&format!("change=up addr={peer} "));
            }
        }
        ProxyFleet { proxies, ports, runs, _folder: folder }
    }

    /// Opens a client connection to a proxy.
    pub fn connect(&self, proxy: usize) -> TcpStream {
        let mut stream = TcpStream::connect(("127.0.0.1", self.ports[proxy])).expect("the proxy listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        stream.write_all(&startup()).expect("write to the socket");
        assert!(read_response(&mut stream).is_some());
        stream
    }

    /// Returns how often the write with this id has run.
    pub fn runs(&self, id: &str) -> u32 {
        self.runs.lock().expect("lock the counts").get(id).copied().unwrap_or(0)
    }

    /// Waits until the write with this id has run; returns false if it does not within the limit.
    pub fn has_run_within(&self, id: &str, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while self.runs(id) == 0 && Instant::now() < deadline {
            thread::sleep(Duration::from_micros(200));
        }
        self.runs(id) > 0
    }
}

/// A write that must not run twice, with a statement that tells the primary how to answer.
pub fn write(id: &str, statement: &str) -> Vec<u8> {
    query(&format!("/* id={id},c=soon,d=2000,cluster=2 */ SELECT {statement}"))
}
