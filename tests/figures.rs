//! The counters of the admin interface, compared with the counts of clients and members.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{free_port, start_member_with_role, Process};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;

const CLIENTS: usize = 8;
const REQUESTS_PER_CLIENT: usize = 250;
/// The statements that ask the members for something other than a row: each with its interval. `silence` is
/// rare because it takes the whole time-out of its request.
const STATEMENTS: [(usize, &str); 5] =
    [(3, "error"), (5, "reset"), (7, "full"), (11, "miss"), (97, "silence")];

/// Reads a response and returns its outcome as the client sees it.
fn read_outcome(stream: &mut TcpStream) -> Option<&'static str> {
    let (mut tags, mut code) = (String::new(), String::new());
    while !tags.ends_with('Z') {
        let mut head = [0; 5];
        stream.read_exact(&mut head).ok()?;
        let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
        stream.read_exact(&mut body).ok()?;
        tags.push(char::from(head[0]));
        if head[0] == b'E' {
            let fields = String::from_utf8_lossy(&body).into_owned();
            code = fields.split('\0').find_map(|f| f.strip_prefix('C')).unwrap_or_default().to_string();
        }
    }
    Some(match (tags.as_str(), code.as_str()) {
        ("TDCZ", _) => "success",
        (_, "53300" | "57P03") => "overload",
        _ => "error",
    })
}

type OutcomeCounts = BTreeMap<(String, &'static str), u64>;

fn client(port: u16, number: usize) -> OutcomeCounts {
    let mut counts = OutcomeCounts::new();
    let mut open_connection: Option<TcpStream> = None;
    for i in 0..REQUESTS_PER_CLIENT {
        let mut stream = open_connection.take().unwrap_or_else(|| {
            let mut stream = TcpStream::connect(("127.0.0.1", port)).expect("the process listens");
            stream.set_read_timeout(Some(proxy_process::TEST_TIMEOUT)).expect("set the read timeout");
            stream.write_all(&proxy_process::startup()).expect("write to the socket");
            proxy_process::read_response(&mut stream).expect("startup response");
            stream
        });
        let class = if i % 4 == 0 { "put" } else { "any" };
        let statement =
            STATEMENTS.iter().find(|(every, _)| i % every == 1).map_or("row", |(_, statement)| statement);
        let text = format!("/* id={number}-{i},c={class},d=200,cluster=2 */ SELECT {statement}");
        stream.write_all(&proxy_process::query(&text)).expect("write to the socket");
        if let Some(outcome) = read_outcome(&mut stream) {
            *counts.entry((class.to_string(), outcome)).or_default() += 1;
            open_connection = Some(stream);
        }
    }
    counts
}

/// Starts a request to a member that does not answer, and returns its connection.
fn start_unanswered_request(port: u16, number: usize) -> TcpStream {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).expect("the process listens");
    let text = format!("/* id=leaver-{number},c=any,d=900000,cluster=2 */ SELECT silence");
    stream
        .write_all(&[proxy_process::startup(), proxy_process::query(&text)].concat())
        .expect("write to the socket");
    proxy_process::read_response(&mut stream).expect("startup response");
    stream
}

/// Guards against counters that are close but not equal: an answer counted twice or not at all, an attempt
/// counted although it was not written, or one written but not counted.
#[test]
fn counters_equal_the_counts_of_clients_and_members() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let ((primary, primary_statements), (replica, replica_statements)) =
        (start_member_with_role("primary"), start_member_with_role("replica"));
    let members = [("m1", primary.as_str()), ("m2", replica.as_str())];
    let port = free_port();
    let proxy = Process::start_with_config(folder.path(), port, &members, |config| {
        config.replace("900000000", "100000").replacen(r#""role":"primary"}]"#, r#""role":"replica"}]"#, 1)
    });
    proxy.wait_until_ready();
    let counters = || -> Value {
        let line = proxy.admin_command("counters").expect("a response");
        serde_json::from_str(&line).expect("JSON")
    };
    let replies = || {
        let response = counters();
        let count_of =
            |class: &str, outcome: &str| response["replies"][class][outcome].as_u64().expect("a count");
        let all = ["any", "put"]
            .map(|class| ["success", "overload", "error"].map(|outcome| count_of(class, outcome)));
        (all, response)
    };
    // Requests whose clients disconnect before an answer count under no outcome.
    let disconnecting: Vec<_> = (0..20).map(|n| start_unanswered_request(port, n)).collect();
    assert!(replies().1["concurrent"].as_u64() > Some(0), "no request in progress: {}", counters());
    drop(disconnecting);
    while counters()["concurrent"] != 0 {
        thread::sleep(std::time::Duration::from_millis(10));
    }
    assert_eq!(replies().0, [[0; 3]; 2]);
    let clients: Vec<_> = (0..CLIENTS).map(|n| thread::spawn(move || client(port, n))).collect();
    let mut seen = OutcomeCounts::new();
    for counts in clients {
        for (key, count) in counts.join().expect("the thread ends") {
            *seen.entry(key).or_default() += count;
        }
    }
    let expected = ["any", "put"].map(|class| {
        ["success", "overload", "error"]
            .map(|outcome| seen.get(&(class.to_string(), outcome)).copied().unwrap_or(0))
    });
    assert!(
        expected.iter().all(|ends| ends[0] > 0 && ends[1] > 0) && expected[1][2] > 0,
        "too few outcomes: {expected:?}"
    );
    assert_eq!(replies().0, expected);
    let final_counters = counters();
    let statements =
        (primary_statements.load(Ordering::Relaxed) + replica_statements.load(Ordering::Relaxed)) as u64;
    assert_eq!(final_counters["dispatches"].as_u64(), Some(statements), "attempts that were written in full");
}
