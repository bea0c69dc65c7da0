// Case 3: a planned restart (SIGTERM) while clients take long values slowly and send ahead. The proxy takes a connection
// for one at rest although its answer is still on the way, closes it, and the next command, which crosses the close,
// destroys that answer.
#[path = "../common/lib.rs"]
mod lib;

use lib::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The lengths of the long values ('up to 4 MiB'): 1 MiB, and so much more for each further client, 2.5 MiB at most.
const VALUE_BYTES: usize = 1024 * 1024;
const STEP_BYTES: usize = 128 * 1024;
const SHORT_BYTES: usize = 100;
const CLIENTS: usize = 12;
/// The time that a client takes to read its long value, at a steady pace ('peers take seconds to read').
const READ_S: f64 = 6.0;
/// SIGTERM comes this long after the start, and each client's second command 0.6 s after that: 'clients keep using the
/// ones they have for as long as those stay open'.
const SIGTERM_S: f64 = 1.0;
const SECOND_S: f64 = 1.6;

fn main() {
    let paths = Paths::from_arguments();
    let record = Record::create(&paths.case);
    let given: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut entries = Vec::new();
    for (number, primary) in [(0, true), (1, false), (2, false)] {
        let name = format!("s-{number}");
        let role = if primary { "primary" } else { "replica" };
        let load: Load = Some(Arc::new(move || {
            format!("x0={:.3},x1={},rif=0,busy=0.1", now_ms() as f64 / 1000.0, u8::from(primary))
        }));
        let (given, record, member) = (Arc::clone(&given), record.clone(), name.clone());
        let handler: Handler = Arc::new(move |text, stream| {
            let id = field(text, "id").unwrap_or("").to_string();
            record.line(&format!("member {member}: runs {id}"));
            stream.write_all(&served(&value_for(&id, length_of(&id)), "SELECT 1", role, now_ms()))?;
            given.lock().unwrap().push(id.clone());
            record.line(&format!("member {member}: gave all of {id}"));
            Ok(())
        });
        entries.push(Entry {
            host: name,
            address: start_member(load, handler),
            zone: "midrand".into(),
            group: 2,
            health: "active",
            primary,
            born_ms: 0,
        });
    }
    let discovery = Discovery::start(41, entries);
    let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let text = config(listen, discovery.address, &discovery.list(), true);
    let mut proxy = Proxy::start(&paths, "n0", &text, listen);
    if !proxy.wait_ready(Duration::from_secs(20)) {
        record.line("the proxy did not become ready");
        std::process::exit(2);
    }
    record.line("the proxy is ready");

    let begun = Instant::now();
    let results: Arc<Mutex<Vec<(String, Result<(), String>)>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let (results, record) = (Arc::clone(&results), record.clone());
        threads.push(thread::spawn(move || {
            let first = format!("1c3{number:013x}");
            let second = format!("2c3{number:013x}");
            let result = take(listen, &first, &second, begun, &record);
            match &result {
                Ok(()) => record.line(&format!("client {number}: {first} whole")),
                Err(what) => record.line(&format!("client {number}: {first} {what}")),
            }
            results.lock().unwrap().push((first, result));
        }));
    }
    thread::sleep((begun + Duration::from_secs_f64(SIGTERM_S)).saturating_duration_since(Instant::now()));
    if trouble() {
        record.line("SIGTERM to the proxy");
        send_signal(&proxy.child, SIGTERM);
        let code = proxy.wait_exit(Duration::from_secs(30));
        record.line(&format!("the proxy ended with {code:?}; no SIGKILL was sent"));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let given = given.lock().unwrap();
    let results = results.lock().unwrap();
    let mut lost = 0;
    for (id, result) in results.iter() {
        if let (Err(what), true) = (result, given.contains(id)) {
            lost += 1;
            record.line(&format!("LOST {id}: its member gave all of it; {what}"));
        }
    }
    record.line(&format!("{lost} of {} lost", results.len()));
    println!("{lost} lost of {}", results.len());
    drop(proxy);
    std::process::exit(i32::from(lost > 0));
}

fn length_of(id: &str) -> usize {
    if id.starts_with('1') {
        VALUE_BYTES + STEP_BYTES * usize::from_str_radix(&id[3..], 16).unwrap_or(0)
    } else {
        SHORT_BYTES
    }
}

/// What a client gets for this request: the row, its end and ReadyForQuery.
fn expected(id: &str) -> Vec<u8> {
    let mut out = row_description();
    out.extend(data_row(&value_for(id, length_of(id))));
    out.extend(message(b'C', b"SELECT 1\0"));
    out.extend(ready());
    out
}

/// Asks for the long value, reads it so that it takes [`READ_S`], and sends the second command at [`SECOND_S`] on the
/// same connection. Returns whether the whole answer to the first came.
fn take(address: SocketAddr, first: &str, second: &str, begun: Instant, record: &Record) -> Result<(), String> {
    let mut client = Client::connect(address).map_err(|error| format!("could not connect: {error}"))?;
    let statement = |id: &str| {
        query(&format!(
            "/* id={id},c=run-report,d=15000,cluster=2 */ SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655'"
        ))
    };
    client.stream.write_all(&statement(first)).map_err(|error| format!("could not send: {error}"))?;
    record.line(&format!("client: sent {first}"));
    let mut ahead = client.stream.try_clone().map_err(|error| error.to_string())?;
    let later = thread::spawn({
        let (record, second, bytes) = (record.clone(), second.to_string(), statement(second));
        move || {
            thread::sleep((begun + Duration::from_secs_f64(SECOND_S)).saturating_duration_since(Instant::now()));
            match ahead.write_all(&bytes) {
                Ok(()) => record.line(&format!("client: sent {second} on the same connection")),
                Err(error) => record.line(&format!("client: could not send {second}: {error}")),
            }
        }
    });
    let _ = client.stream.set_read_timeout(Some(Duration::from_secs(20)));
    let wanted = expected(first);
    let mut got = Vec::with_capacity(wanted.len());
    let started = Instant::now();
    let mut piece = vec![0; 8192];
    while got.len() < wanted.len() {
        let end = (wanted.len() - got.len()).min(piece.len());
        match client.stream.read(&mut piece[..end]) {
            Ok(0) => return Err(format!("its connection ended after {} of {} bytes", got.len(), wanted.len())),
            Ok(count) => got.extend_from_slice(&piece[..count]),
            Err(error) => {
                return Err(format!("its connection failed after {} of {} bytes: {error}", got.len(), wanted.len()))
            }
        }
        let due = started + Duration::from_secs_f64(READ_S * got.len() as f64 / wanted.len() as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    // The second command is not judged: where it crosses a close, a client sends it once more.
    let _ = later.join();
    if got == wanted {
        Ok(())
    } else {
        Err("got something else".into())
    }
}
