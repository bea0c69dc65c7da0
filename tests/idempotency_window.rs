//! A write whose connection breaks behind its last byte, by the effect that the settings give its class: whether it is
//! sent again, when at the latest, and what its client is told.

#[path = "common/stand.rs"]
mod stand;

use rstest::rstest;
use stand::{free_port, query, read_response, startup, Process, TEST_TIMEOUT};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// The window of the cases that have one, and when the second connection comes up: after it, before the deadline.
const WINDOW_MS: u64 = 500;
const LATE_MS: u64 = 700;
const GREETING: &[u8] = b"R\0\0\0\x08\0\0\0\0S\0\0\0\x11role\0primary\0Z\0\0\0\x05I";
const ROW: &[u8] = b"T\0\0\0\x20\0\x01payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01\
    D\0\0\0\x0b\0\x01\0\0\0\x01vC\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I";

/// A primary that greets its first connection at once and closes it behind its first statement; all others it greets
/// once it is let.
struct Primary {
    address: String,
    statements: Receiver<String>,
    gate: Arc<(Mutex<bool>, Condvar)>,
}

impl Primary {
    fn start() -> Primary {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("local address").to_string();
        let (sender, statements) = channel();
        let gate: Arc<(Mutex<bool>, Condvar)> = Arc::default();
        let gates = Arc::clone(&gate);
        thread::spawn(move || {
            let count = AtomicUsize::new(0);
            for stream in listener.incoming().flatten() {
                let first = count.fetch_add(1, Ordering::Relaxed) == 0;
                let (sender, gate) = (sender.clone(), Arc::clone(&gates));
                thread::spawn(move || serve(stream, first, &gate, &sender));
            }
        });
        Primary { address, statements, gate }
    }

    fn opens(&self) {
        *self.gate.0.lock().expect("the gate") = true;
        self.gate.1.notify_all();
    }

    fn hears(&self) -> String {
        self.statements.recv_timeout(TEST_TIMEOUT).expect("a statement")
    }
}

fn serve(
    mut stream: TcpStream,
    first: bool,
    gate: &(Mutex<bool>, Condvar),
    sender: &Sender<String>,
) -> Option<()> {
    message(&mut stream, 0)?;
    if !first {
        drop(gate.1.wait_while(gate.0.lock().ok()?, |open| !*open).ok()?);
    }
    stream.write_all(GREETING).ok()?;
    loop {
        let text = message(&mut stream, 1)?;
        if text == "\0" {
            stream.write_all(b"I\0\0\0\x04Z\0\0\0\x05I").ok()?;
            continue;
        }
        sender.send(text).ok()?;
        if first {
            return stream.shutdown(Shutdown::Both).ok();
        }
        stream.write_all(ROW).ok()?;
    }
}

/// The body of the next message, which has so many bytes before its length.
fn message(stream: &mut TcpStream, skip: usize) -> Option<String> {
    let mut head = vec![0; skip + 4];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[skip..].try_into().ok()?) as usize;
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

/// The code of the error that comes next, or nothing where something else does.
fn code(client: &mut TcpStream) -> Option<String> {
    let mut tag = [0];
    client.read_exact(&mut tag).expect("an answer");
    let body = message(client, 0).expect("whole");
    let code = body.split('\0').find_map(|field| field.strip_prefix('C')).unwrap_or_default().to_string();
    read_response(client).expect("up to its end");
    (tag[0] == b'E').then_some(code)
}

/// Guards against a repeat that is written when members have forgotten the first, which would run twice; against a
/// refusal where that would have the client do the same; and against giving up what may well be sent again.
#[rstest]
#[case::its_group_recognises_it_for_a_moment("dedup", "cell", WINDOW_MS, Some("58000"))]
#[case::all_members_recognise_it_for_a_moment("dedup", "all", WINDOW_MS, Some("53300"))]
#[case::a_window_shorter_than_an_attempt("dedup", "cell", 20, Some("58000"))]
#[case::it_must_not_run_twice("fragile", "cell", 60_000, Some("58000"))]
#[case::its_group_recognises_it_for_long("dedup", "cell", 60_000, None)]
#[case::it_may_run_twice("retryable", "cell", 0, None)]
fn a_write_that_may_have_run(
    #[case] effect: &str,
    #[case] group: &str,
    #[case] window_ms: u64,
    #[case] told: Option<&str>,
) {
    let primary = Primary::start();
    let folder = tempfile::tempdir().expect("temporary directory");
    let port = free_port();
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"Name":"{name}","TargetUs":1000000,"LateValue":0.5,"Repeat":"{effect}","Group":"{group}","MemorySpanUs":{},"Worth":1.0}}"#,
            window_ms * 1000
        )
    };
    let process = Process::start_with_config(folder.path(), port, &[("m1", &primary.address)], |config| {
        let (from, to) =
            (config.find("\"Classes\":").expect("classes"), config.find("\"Report\":").expect("a report"));
        let classes = [class("any", "retryable"), class("own", "retryable"), class("put", effect)].join(",");
        let classes = format!("\"Classes\":[{classes}],");
        let config = format!("{}{classes}{}", &config[..from], &config[to..]);
        config.replace(r#","mutate"]"#, "]").replace("[0,0,0,0]", "[0,0,0]")
    });
    process.wait_until_ready();
    let mut client = TcpStream::connect(("127.0.0.1", port)).expect("the process listens");
    client.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    let text = "/* id=1,c=put,d=3000,cluster=2,k=v1 */ SELECT 1";
    client.write_all(&[startup(), query(text)].concat()).expect("write to the socket");
    read_response(&mut client).expect("startup response");
    assert!(primary.hears().contains("id=1,"));
    thread::sleep(Duration::from_millis(LATE_MS));
    primary.opens();
    assert_eq!(code(&mut client).as_deref(), told);
    // What it hears next tells whether the first was sent again.
    if told.is_none() {
        assert!(primary.hears().contains("id=1,"));
    }
    client.write_all(&query("/* id=2,c=any,d=3000,cluster=2 */ SELECT 2")).expect("write to the socket");
    assert_eq!(code(&mut client), None);
    assert!(primary.hears().contains("id=2,"), "a repeat was sent that is none");
}
