//! A write whose connection breaks after its last byte was sent: whether it is sent again, until when, and
//! what its client is told, by the repeat rule of its class.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{free_port, query, read_response, startup, Process, TEST_TIMEOUT};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// The deduplication window, and the time at which the second connection opens: after the window, before the
/// deadline.
const WINDOW_MS: u64 = 500;
const SECOND_CONNECTION_MS: u64 = 700;
const GREETING: &[u8] = b"R\0\0\0\x08\0\0\0\0S\0\0\0\x11role\0primary\0Z\0\0\0\x05I";
const ROW: &[u8] = b"T\0\0\0\x20\0\x01payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01\
    D\0\0\0\x0b\0\x01\0\0\0\x01vC\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I";

/// A primary that answers the first handshake at once and closes that connection after its first statement.
/// It answers all other handshakes when the gate is open.
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
        let accept_gate = Arc::clone(&gate);
        thread::spawn(move || {
            let count = AtomicUsize::new(0);
            for stream in listener.incoming().flatten() {
                let is_first = count.fetch_add(1, Ordering::Relaxed) == 0;
                let (sender, gate) = (sender.clone(), Arc::clone(&accept_gate));
                thread::spawn(move || serve(stream, is_first, &gate, &sender));
            }
        });
        Primary { address, statements, gate }
    }

    fn open_gate(&self) {
        *self.gate.0.lock().expect("lock the gate") = true;
        self.gate.1.notify_all();
    }

    fn next_statement(&self) -> String {
        self.statements.recv_timeout(TEST_TIMEOUT).expect("a statement")
    }
}

fn serve(
    mut stream: TcpStream,
    is_first: bool,
    gate: &(Mutex<bool>, Condvar),
    sender: &Sender<String>,
) -> Option<()> {
    read_message(&mut stream, 0)?;
    if !is_first {
        drop(gate.1.wait_while(gate.0.lock().ok()?, |open| !*open).ok()?);
    }
    stream.write_all(GREETING).ok()?;
    loop {
        let text = read_message(&mut stream, 1)?;
        if text == "\0" {
            stream.write_all(b"I\0\0\0\x04Z\0\0\0\x05I").ok()?;
            continue;
        }
        sender.send(text).ok()?;
        if is_first {
            return stream.shutdown(Shutdown::Both).ok();
        }
        stream.write_all(ROW).ok()?;
    }
}

/// Reads a message and returns its body; `skip` bytes stand before its length field.
fn read_message(stream: &mut TcpStream, skip: usize) -> Option<String> {
    let mut head = vec![0; skip + 4];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[skip..].try_into().ok()?) as usize;
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

/// Reads a response and returns its error code, or `None` if it is no error.
fn read_error_code(client: &mut TcpStream) -> Option<String> {
    let mut tag = [0];
    client.read_exact(&mut tag).expect("a response");
    let body = read_message(client, 0).expect("a complete message");
    let code = body.split('\0').find_map(|field| field.strip_prefix('C')).unwrap_or_default().to_string();
    read_response(client).expect("the rest of the response");
    (tag[0] == b'E').then_some(code)
}

/// Guards against a repeat that is sent after members have forgotten the first attempt, so that the write
/// runs twice; against a refusal, after which the client would repeat the write itself; and against a failure
/// where the write may safely be sent again.
#[rstest]
#[case::group_deduplicates_briefly("dedup", "cell", WINDOW_MS, Some("58000"))]
#[case::all_members_deduplicate_briefly("dedup", "all", WINDOW_MS, Some("53300"))]
#[case::window_shorter_than_an_attempt("dedup", "cell", 20, Some("58000"))]
#[case::not_idempotent("fragile", "cell", 60_000, Some("58000"))]
#[case::group_deduplicates_for_long("dedup", "cell", 60_000, None)]
#[case::idempotent("retryable", "cell", 0, None)]
fn a_write_that_may_have_run_is_repeated_only_if_safe(
    #[case] repeat_rule: &str,
    #[case] group: &str,
    #[case] window_ms: u64,
    #[case] expected_code: Option<&str>,
) {
    let primary = Primary::start();
    let folder = tempfile::tempdir().expect("temporary directory");
    let port = free_port();
    let class = |name: &str, repeat_rule: &str| {
        format!(
            r#"{{"Name":"{name}","TargetUs":1000000,"LateValue":0.5,"Repeat":"{repeat_rule}","Group":"{group}","MemorySpanUs":{},"Worth":1.0}}"#,
            window_ms * 1000
        )
    };
    let process = Process::start_with_config(folder.path(), port, &[("m1", &primary.address)], |config| {
        let (classes_start, classes_end) = (
            config.find("\"Classes\":").expect("the classes"),
            config.find("\"Report\":").expect("the report settings"),
        );
        let classes =
            [class("any", "retryable"), class("own", "retryable"), class("put", repeat_rule)].join(",");
        let classes = format!("\"Classes\":[{classes}],");
        let config = format!("{}{classes}{}", &config[..classes_start], &config[classes_end..]);
        config.replace(r#","mutate"]"#, "]").replace("[0,0,0,0]", "[0,0,0]")
    });
    process.wait_until_ready();
    let mut client = TcpStream::connect(("127.0.0.1", port)).expect("the process listens");
    client.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    let text = "/* id=1,c=put,d=3000,cluster=2,k=v1 */ SELECT 1";
    client.write_all(&[startup(), query(text)].concat()).expect("write to the socket");
    read_response(&mut client).expect("startup response");
    assert!(primary.next_statement().contains("id=1,"));
    thread::sleep(Duration::from_millis(SECOND_CONNECTION_MS));
    primary.open_gate();
    assert_eq!(read_error_code(&mut client).as_deref(), expected_code);
    // The next statement shows whether the first one was sent again.
    if expected_code.is_none() {
        assert!(primary.next_statement().contains("id=1,"));
    }
    client.write_all(&query("/* id=2,c=any,d=3000,cluster=2 */ SELECT 2")).expect("write to the socket");
    assert_eq!(read_error_code(&mut client), None);
    assert!(primary.next_statement().contains("id=2,"), "the write was sent again");
}
