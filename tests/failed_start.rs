//! A process that cannot complete its start accepts no client, and leaves the process that it was to replace
//! as it was.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{
    free_port, query, read_response, request_once, start_member, startup, Process, TEST_TIMEOUT,
};
use rstest::rstest;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The exit code of a process that could not start.
const FAILED: Option<i32> = Some(1);
/// The number of starts in a row; a client must connect within the few milliseconds before the process ends.
const STARTS: usize = 20;
/// The interval of a client's attempts to connect.
const CONNECT_INTERVAL: Duration = Duration::from_micros(200);
/// The number of requests that must be served while successors fail to start.
const REQUESTS: usize = 100;

/// A part of the start that fails because something else holds what it needs.
#[derive(Clone, Copy, Debug)]
enum FailingPart {
    Admin,
    Budgets,
    Peers,
    NegativeCache,
    Rollout,
}

/// The addresses that something else holds.
struct TakenAddresses {
    tcp: TcpListener,
    udp: UdpSocket,
}

impl TakenAddresses {
    fn new() -> TakenAddresses {
        TakenAddresses {
            tcp: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            udp: UdpSocket::bind("127.0.0.1:0").expect("a free port"),
        }
    }
}

/// Returns the settings that enable the part in a way in which it cannot be started.
fn settings(part: FailingPart, taken: &TakenAddresses) -> String {
    let address = taken.udp.local_addr().expect("local address");
    let element = match part {
        FailingPart::Admin => String::new(),
        FailingPart::Budgets => format!(
            r#"<budgets listen="{address}" banks="{address}" proxies="3" even="20" requests="600" retries="30"
                probes="10" connects="50" held="400" discovery="60"/>"#
        ),
        FailingPart::Peers => format!(r#"<peers listen="{address}" seeds="{address}" expected="3"/>"#),
        FailingPart::NegativeCache => format!(
            r#"<missing listen="{address}" banks="{address}" secret="sixteen letters." reads="any" writes="put"/>"#
        ),
        FailingPart::Rollout => format!(
            r#"<release listen="{address}" rank="2" banks="1" group="1" zone="1" fleet="1">
                <proxy address="127.0.0.1:1"/><proxy address="{address}"/>
                <member name="m1" group="0" zone="a" agent="127.0.0.1:2"/></release>"#
        ),
    };
    format!("<wharfplank>{element}</wharfplank>")
}

/// Starts a process whose start fails at the part.
fn start_failing(part: FailingPart, folder: &Path, port: u16, taken: &TakenAddresses) -> Process {
    let path = folder.join(format!("settings-{}.xml", free_port()));
    std::fs::write(&path, settings(part, taken)).expect("write the file");
    let admin_address = taken.tcp.local_addr().expect("local address");
    let take_admin_address = |config: String| match part {
        FailingPart::Admin => with_admin_address(&config, admin_address),
        _ => config,
    };
    Process::start_with_settings(folder, port, &[], take_admin_address, Some(&path))
}

fn with_admin_address(config: &str, address: SocketAddr) -> String {
    let value_start = config.find("\"mgmt\":\"").expect("an admin address") + 8;
    let value_end = value_start + config[value_start..].find('"').expect("a closing quote");
    format!("{}{address}{}", &config[..value_start], &config[value_end..])
}

/// Connects again and again until stopped; returns how many connections were accepted and had no answer to an
/// empty query.
fn count_dropped_clients(port: u16, stop: &AtomicBool) -> usize {
    let mut dropped = 0;
    while !stop.load(Ordering::Relaxed) {
        match TcpStream::connect(("127.0.0.1", port)) {
            Ok(stream) => dropped += usize::from(!is_answered(stream)),
            Err(_) => thread::sleep(CONNECT_INTERVAL),
        }
    }
    dropped
}

fn is_answered(mut stream: TcpStream) -> bool {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    let sent = stream.write_all(&[startup(), query("")].concat());
    sent.is_ok() && read_response(&mut stream).is_some() && read_response(&mut stream).is_some()
}

/// Guards against a process that accepts clients before it has started everything that may fail, and then
/// ends without an answer to them.
#[rstest]
fn a_process_that_cannot_start_accepts_no_client(
    #[values(
        FailingPart::Admin,
        FailingPart::Budgets,
        FailingPart::Peers,
        FailingPart::NegativeCache,
        FailingPart::Rollout
    )]
    part: FailingPart,
) {
    let folder = tempfile::tempdir().expect("temporary directory");
    let taken = TakenAddresses::new();
    let port = free_port();
    let stop = Arc::new(AtomicBool::new(false));
    let client = {
        let stop = Arc::clone(&stop);
        thread::spawn(move || count_dropped_clients(port, &stop))
    };
    for _ in 0..STARTS {
        let mut process = start_failing(part, folder.path(), port, &taken);
        assert_eq!(process.wait_for_exit(TEST_TIMEOUT), FAILED);
    }
    stop.store(true, Ordering::Relaxed);
    assert_eq!(client.join().expect("the thread ends"), 0, "clients without an answer");
}

/// Guards against a successor that fails to start after it has taken over the listening socket: clients of
/// the running process would be lost, or it could not be replaced any more.
#[rstest]
fn a_successor_that_cannot_start_changes_nothing(
    #[values(
        FailingPart::Admin,
        FailingPart::Budgets,
        FailingPart::Peers,
        FailingPart::NegativeCache,
        FailingPart::Rollout
    )]
    part: FailingPart,
) {
    let folder = tempfile::tempdir().expect("temporary directory");
    let taken = TakenAddresses::new();
    let (address, _) = start_member();
    let members = [("m1", address.as_str())];
    let port = free_port();
    let mut running = Process::start(folder.path(), port, &members);
    running.wait_until_ready();
    let client = thread::spawn(move || {
        let results = (0..REQUESTS).map(|number| request_once(port, &format!("r-{number}")));
        results.filter(|tags| tags.as_deref() != Some("TDCZ")).count()
    });
    for _ in 0..2 {
        let mut failing = start_failing(part, folder.path(), port, &taken);
        assert_eq!(failing.wait_for_exit(TEST_TIMEOUT), FAILED);
    }
    assert_eq!(client.join().expect("the thread ends"), 0, "requests that were not served");
    let successor = Process::start(folder.path(), port, &members);
    successor.wait_until_ready();
    running.terminate();
    assert_eq!(running.wait_for_exit(TEST_TIMEOUT), Some(0));
    assert_eq!(request_once(port, "after").as_deref(), Some("TDCZ"), "the successor serves");
}
