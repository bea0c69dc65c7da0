// Case 3: a planned restart (SIGTERM) while clients take long values at their own pace. The process ends by itself as
// soon as members have given all, with the last part of the values still in its own memory.
#[path = "../common/lib.rs"]
mod lib;

use lib::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The length of the longest value ('up to 4 MiB'). The last values differ by this step.
const VALUE_BYTES: usize = 3 * 1024 * 1024;
const STEP_BYTES: usize = 110_000;
/// The values that each client asks for on one connection: two at once, and one at [`THIRD_S`].
const VALUES: usize = 3;
/// The proxies, each with one client.
const PROXIES: usize = 24;
/// The pace at which clients read: 'peers take seconds to read', here 5 s for each value. The first bytes of each come
/// within the 15 s of the class.
const BYTES_PER_S: f64 = 650_000.0;
/// SIGTERM comes after this time, and each client's third request 0.9 s after that: 'clients send on every connection
/// that stays open'.
const SIGTERM_S: f64 = 0.5;
const THIRD_S: f64 = SIGTERM_S + 0.9;

/// The length of the value of this request: the last digit of an id tells which of its client's it is.
fn length_of(id: &str) -> usize {
    if id.ends_with('2') {
        VALUE_BYTES - STEP_BYTES * number_of(id)
    } else {
        VALUE_BYTES
    }
}

/// The number of the client.
fn number_of(id: &str) -> usize {
    usize::from_str_radix(&id[5..11], 16).unwrap_or(0)
}

fn main() {
    let paths = Paths::from_arguments();
    let record = Record::create(&paths.case);

    // Members: one primary and two replicas. Each answers from memory as fast as its connection takes it.
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
            let result = stream.write_all(&served(&value_for(&id, length_of(&id)), "SELECT 1", role, now_ms()));
            match &result {
                Ok(()) => {
                    given.lock().unwrap().push(id.clone());
                    record.line(&format!("member {member}: gave all of {id}"));
                }
                Err(error) => record.line(&format!("member {member}: could not give {id}: {error}")),
            }
            result
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
    let mut proxies = Vec::new();
    for number in 0..PROXIES {
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let text = config(listen, discovery.address, &discovery.list(), true);
        proxies.push(Proxy::start(&paths, &format!("n{number}"), &text, listen));
    }
    if !proxies.iter().all(|proxy| proxy.wait_ready(Duration::from_secs(20))) {
        record.line("a proxy did not become ready");
        std::process::exit(2);
    }
    record.line("the proxies are ready");

    // Each client asks for three long values on one connection and takes them at a steady pace.
    let begun = Instant::now();
    let results: Arc<Mutex<Vec<(String, Result<(), String>)>>> = Arc::default();
    let mut threads = Vec::new();
    for (number, proxy) in proxies.iter().enumerate() {
        let (results, record, listen) = (Arc::clone(&results), record.clone(), proxy.address);
        threads.push(thread::spawn(move || {
            let ids: Vec<String> = (0..VALUES).map(|value| format!("c1a5e{number:06x}{value:05x}")).collect();
            for (id, result) in ids.iter().zip(take_slowly(listen, &ids, begun, &record)) {
                match &result {
                    Ok(()) => record.line(&format!("client {number}: {id} whole")),
                    Err(what) => record.line(&format!("client {number}: {id} {what}")),
                }
                results.lock().unwrap().push((id.clone(), result));
            }
        }));
    }

    thread::sleep((begun + Duration::from_secs_f64(SIGTERM_S)).saturating_duration_since(Instant::now()));
    if trouble() {
        record.line("SIGTERM to the proxies");
        let signalled = Instant::now();
        for proxy in &proxies {
            send_signal(&proxy.child, SIGTERM);
        }
        let mut running: Vec<usize> = (0..PROXIES).collect();
        while !running.is_empty() && signalled.elapsed() < Duration::from_secs(40) {
            running.retain(|number| match proxies[*number].wait_exit(Duration::from_millis(5)) {
                None => true,
                Some(code) => {
                    let after = signalled.elapsed().as_secs_f64();
                    record.line(&format!("proxy n{number} ended with {code}, {after:.3} s after SIGTERM; no SIGKILL was sent"));
                    false
                }
            });
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let results = results.lock().unwrap();
    let given = given.lock().unwrap();
    let mut lost = 0;
    for (id, result) in results.iter() {
        if let Err(what) = result {
            if given.contains(id) {
                lost += 1;
                record.line(&format!("LOST {id}: the member gave all of it; the client {what}"));
            } else {
                record.line(&format!("not judged {id}: its member did not give all of it; the client {what}"));
            }
        }
    }
    record.line(&format!("{} of {} long values whole, {lost} lost", results.iter().filter(|r| r.1.is_ok()).count(), results.len()));
    println!("{lost} lost of {}", results.len());
    drop(proxies);
    std::process::exit(i32::from(lost > 0));
}

/// Asks for the values of these ids on one connection, the third at [`THIRD_S`], and reads the
/// answers at a steady pace. Returns for each whether all of it came.
fn take_slowly(address: SocketAddr, ids: &[String], begun: Instant, record: &Record) -> Vec<Result<(), String>> {
    let mut expected = Vec::new();
    let mut ends = Vec::new();
    for id in ids {
        let whole = served(&value_for(id, length_of(id)), "SELECT 1", "primary", 0);
        // What a client gets: the row, its end and ReadyForQuery, without the member's parameters.
        let parameters = parameter("role", "primary").len() + parameter("applied_ms", "0").len();
        expected.extend_from_slice(&whole[..whole.len() - ready().len() - parameters]);
        expected.extend(ready());
        ends.push(expected.len());
    }
    let (got, end) = read_slowly(address, ids, begun, expected.len(), record);
    let outcome = |&to: &usize| match () {
        () if got.len() < to => Err(format!("{end} after {} of {to} bytes of its connection", got.len())),
        () if got[..to] != expected[..to] => Err("got something else".to_string()),
        () => Ok(()),
    };
    ends.iter().map(outcome).collect()
}

/// Sends the requests, and returns what came and how it ended.
fn read_slowly(
    address: SocketAddr,
    ids: &[String],
    begun: Instant,
    total: usize,
    record: &Record,
) -> (Vec<u8>, String) {
    let mut got = Vec::with_capacity(total);
    let mut client = match Client::connect(address) {
        Ok(client) => client,
        Err(error) => return (got, format!("could not connect: {error}")),
    };
    let statement = |id: &String| {
        query(&format!(
            "/* id={id},c=run-report,d=15000,cluster=2 */ SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655'"
        ))
    };
    let at_once = [statement(&ids[0]), statement(&ids[1])].concat();
    if let Err(error) = client.stream.write_all(&at_once) {
        return (got, format!("could not send: {error}"));
    }
    record.line(&format!("client: sent {} and {}", ids[0], ids[1]));
    let (mut ahead, third, bytes) = (client.stream.try_clone().unwrap(), ids[2].clone(), statement(&ids[2]));
    let later = record.clone();
    thread::spawn(move || {
        thread::sleep((begun + Duration::from_secs_f64(THIRD_S)).saturating_duration_since(Instant::now()));
        match ahead.write_all(&bytes) {
            Ok(()) => later.line(&format!("client: sent {third} on the same connection")),
            Err(error) => later.line(&format!("client: could not send {third}: {error}")),
        }
    });
    let _ = client.stream.set_read_timeout(Some(Duration::from_secs(20)));
    let started = Instant::now();
    let mut piece = vec![0; 8192];
    while got.len() < total {
        match client.stream.read(&mut piece) {
            Ok(0) => return (got, "its connection ended".into()),
            Ok(count) => got.extend_from_slice(&piece[..count]),
            Err(error) => return (got, format!("its connection failed ({error})")),
        }
        let due = started + Duration::from_secs_f64(got.len() as f64 / BYTES_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    (got, String::new())
}
