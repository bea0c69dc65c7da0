//! Two proxies that keep in common what is known to be missing: what one was told the other answers, for longer than
//! the bound of a read, until a write of the key through either.

#[path = "common/stand.rs"]
mod stand;

use stand::{free_port, query, read_response, start_member, startup, Process, TEST_TIMEOUT};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The bound of the class `soon` in the tests' configuration.
const BOUND: Duration = Duration::from_secs(2);

struct Fleet {
    ports: [u16; 2],
    asked: std::sync::Arc<AtomicUsize>,
    count: usize,
    _proxies: Vec<Process>,
}

impl Fleet {
    fn start(folder: &Path) -> Fleet {
        let ((address, asked), ports) = (start_member(), [free_port(), free_port()]);
        let talk = [free_port(), free_port()];
        let proxies = [0, 1].map(|n| {
            let settings = format!(
                r#"<wharfplank><missing listen="127.0.0.1:{}" banks="127.0.0.1:{}" secret="sixteen letters." reads="any soon"
                writes="put" apart-ms="50" late-ms="500"/></wharfplank>"#,
                talk[n], talk[0]
            );
            let path = folder.join(format!("settings-{n}.xml"));
            std::fs::write(&path, settings).expect("write the file");
            let bounded = |config: String| {
                config.replace(r#""mutate","mutate"],"MaxAgeUs":[0,0,0,0]"#, r#""mutate","lag_bound"],"MaxAgeUs":[0,0,0,2000000]"#)
            };
            Process::start_with_settings(folder, ports[n], &[("m1", &address)], bounded, Some(&path))
        });
        proxies.iter().for_each(Process::wait_until_ready);
        Fleet { ports, asked, count: 0, _proxies: proxies.into() }
    }

    /// Asks a proxy; the tags of its read_response, and whether a member was asked.
    fn ask(&mut self, proxy: usize, class: &str, statement: &str) -> (String, bool) {
        self.count += 1;
        let before = self.asked.load(Ordering::Relaxed);
        let mut stream = TcpStream::connect(("127.0.0.1", self.ports[proxy])).expect("the process listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let text = format!("/* id=r{},c={class},d=900000,cluster=2 */ SELECT {statement}", self.count);
        std::io::Write::write_all(&mut stream, &[startup(), query(&text)].concat()).expect("sent");
        read_response(&mut stream).expect("ready");
        let tags = read_response(&mut stream).expect("an answer");
        (tags, self.asked.load(Ordering::Relaxed) > before)
    }

    /// Asks until that is so.
    fn until(&mut self, what: &str, so: impl Fn(&mut Fleet) -> bool) {
        let began = Instant::now();
        while !so(self) {
            assert!(began.elapsed() < TEST_TIMEOUT, "never: {what}");
            thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn what_is_missing_is_told_holds_past_its_bound_and_ends_with_a_write() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let mut fleet = Fleet::start(folder.path());
    let none = "nothing 'k'";
    assert_eq!(fleet.ask(0, "any", none), ("TCZ".to_string(), true));
    // Once a position of the member is known, its answer is kept as it came.
    fleet.until("answered by the proxy that asked", |f| f.ask(0, "any", none) == ("TCZ".to_string(), false));
    assert!(fleet.ask(0, "any", "nothing 'other'").1, "another key");
    assert_eq!(fleet.ask(0, "own", none), ("TCZ".to_string(), true), "a class that was not named");
    fleet.until("answered by the other proxy", |f| f.ask(1, "any", none) == ("TCZ".to_string(), false));
    // Before the first leave a write is refused; then the key is known to be missing without a member being asked,
    // however long ago one was.
    fleet.until("leave to write", |f| f.ask(0, "put", "'elsewhere'").0 == "TDCZ");
    fleet.until("moves", |f| {
        f.ask(1, "soon", none);
        thread::sleep(BOUND + Duration::from_millis(500));
        f.ask(1, "soon", none) == ("TCZ".to_string(), false)
    });
    // A write of the key through one proxy stops the fact of the other.
    fleet.until("a write", |f| f.ask(0, "put", "'k'").0 == "TDCZ");
    thread::sleep(BOUND);
    assert!(fleet.ask(1, "soon", none).1, "a read past its bound of a key that was written");
}
