//! Two proxies that share a negative cache: each answers from the other's entries, also beyond the staleness
//! bound of a read, until the key is written through either proxy.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{free_port, query, read_response, start_member, startup, Process, TEST_TIMEOUT};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The staleness bound of the class `soon` in the test configuration.
const STALENESS_BOUND: Duration = Duration::from_secs(2);

struct Fleet {
    ports: [u16; 2],
    statement_count: std::sync::Arc<AtomicUsize>,
    request_count: usize,
    _proxies: Vec<Process>,
}

impl Fleet {
    fn start(folder: &Path) -> Fleet {
        let ((address, statement_count), ports) = (start_member(), [free_port(), free_port()]);
        let cache_ports = [free_port(), free_port()];
        let proxies = [0, 1].map(|n| {
            let settings = format!(
                r#"<wharfplank><missing listen="127.0.0.1:{}" banks="127.0.0.1:{}" secret="sixteen letters." reads="any soon"
                writes="put" apart-ms="50" late-ms="500"/></wharfplank>"#,
                cache_ports[n], cache_ports[0]
            );
            let path = folder.join(format!("settings-{n}.xml"));
            std::fs::write(&path, settings).expect("write the file");
            let with_bound = |config: String| {
                config.replace(r#""mutate","mutate"],"MaxAgeUs":[0,0,0,0]"#, r#""mutate","lag_bound"],"MaxAgeUs":[0,0,0,2000000]"#)
            };
            Process::start_with_settings(folder, ports[n], &[("m1", &address)], with_bound, Some(&path))
        });
        proxies.iter().for_each(Process::wait_until_ready);
        Fleet { ports, statement_count, request_count: 0, _proxies: proxies.into() }
    }

    /// Sends a request to a proxy; returns the message tags of the response, and whether a statement reached
    /// the member.
    fn request(&mut self, proxy: usize, class: &str, statement: &str) -> (String, bool) {
        self.request_count += 1;
        let before = self.statement_count.load(Ordering::Relaxed);
        let mut stream = TcpStream::connect(("127.0.0.1", self.ports[proxy])).expect("the process listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        let text =
            format!("/* id=r{},c={class},d=900000,cluster=2 */ SELECT {statement}", self.request_count);
        std::io::Write::write_all(&mut stream, &[startup(), query(&text)].concat())
            .expect("write to the socket");
        read_response(&mut stream).expect("startup response");
        let tags = read_response(&mut stream).expect("a response");
        (tags, self.statement_count.load(Ordering::Relaxed) > before)
    }

    /// Repeats a check until it holds.
    fn wait_until(&mut self, what: &str, holds: impl Fn(&mut Fleet) -> bool) {
        let started_at = Instant::now();
        while !holds(self) {
            assert!(started_at.elapsed() < TEST_TIMEOUT, "timed out: {what}");
            thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn a_missing_key_is_shared_outlasts_the_bound_and_ends_with_a_write() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let mut fleet = Fleet::start(folder.path());
    let missing = "nothing 'k'";
    assert_eq!(fleet.request(0, "any", missing), ("TCZ".to_string(), true));
    // Once a position of the member is known, its answer is cached as received.
    fleet.wait_until("answered from the cache of the same proxy", |f| {
        f.request(0, "any", missing) == ("TCZ".to_string(), false)
    });
    assert!(fleet.request(0, "any", "nothing 'other'").1, "another key is not cached");
    assert_eq!(fleet.request(0, "own", missing), ("TCZ".to_string(), true), "a class without caching");
    fleet.wait_until("answered from the cache of the other proxy", |f| {
        f.request(1, "any", missing) == ("TCZ".to_string(), false)
    });
    // Writes are refused until the proxy holds a lease. Then the key is known to be missing without a request
    // to the member, however long ago the last one was.
    fleet.wait_until("a lease to write", |f| f.request(0, "put", "'elsewhere'").0 == "TDCZ");
    fleet.wait_until("an entry that outlasts the bound", |f| {
        f.request(1, "soon", missing);
        thread::sleep(STALENESS_BOUND + Duration::from_millis(500));
        f.request(1, "soon", missing) == ("TCZ".to_string(), false)
    });
    // A write of the key through one proxy removes the entry of the other.
    fleet.wait_until("a write", |f| f.request(0, "put", "'k'").0 == "TDCZ");
    thread::sleep(STALENESS_BOUND);
    assert!(fleet.request(1, "soon", missing).1, "a read beyond the bound after the key was written");
}
