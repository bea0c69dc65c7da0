// Case 1: the links between one data centre and the others are cut. The primary of a group whose values are long is
// given up, says so in each answer, and goes on getting reads as if it were the primary.
#[path = "../common/lib.rs"]
mod lib;

use lib::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The length of a value ('up to 4 MiB').
const VALUE_BYTES: usize = 100 * 1024;
/// The bound of `lookup`, and the slack of every limit on sockets.
const BOUND_MS: i64 = 200;
const SLACK_MS: i64 = 50;
/// 'what an answer tells counts as known 100 ms after it was written'.
const KNOWN_AFTER_MS: i64 = 100;
/// The cut: '7.3 to 19 s'.
const CUT_MS: u64 = 9_000;
/// A cut-off primary is given up after '1.2 to 2.8 s', a replica takes over '1.2 to 3.6 s later', and the list shows
/// it '2.7 to 4.8 s late'.
const GIVEN_UP_MS: u64 = 2_000;
const TAKES_OVER_MS: u64 = 2_000;
const LISTED_MS: u64 = 3_500;
/// The new primary commits a write of the clients in its own data centre this often.
const COMMIT_EVERY_MS: u64 = 300;

/// The role of a member, and the position at which it stands if it is no primary and gets no log.
struct State {
    primary: bool,
    stands_at: Option<i64>,
}

/// What the old primary was asked and told.
struct Sent {
    at: i64,
    id: String,
    class: String,
    /// Its position then; `None` while it is the primary.
    position: Option<i64>,
    /// When its answer was written.
    answered: i64,
}

fn main() {
    let paths = Paths::from_arguments();
    let record = Record::create(&paths.case);
    let value_bytes: usize = std::env::var("VALUE_BYTES").map_or(VALUE_BYTES, |text| text.parse().unwrap());

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let far = Gate::default();
    let mut entries = Vec::new();
    let mut states = Vec::new();
    // s-0 is the primary, in the proxy's data centre; the replicas are in the other two.
    for (number, zone) in ["midrand", "isando", "centurion"].into_iter().enumerate() {
        let name = format!("s-{number}");
        let state = Arc::new(Mutex::new(State { primary: number == 0, stands_at: None }));
        let position = |state: &State| state.stands_at.unwrap_or_else(now_ms);
        let shown = Arc::clone(&state);
        let load: Load = Some(Arc::new(move || {
            let state = shown.lock().unwrap();
            format!("x0={:.3},x1={},rif=0,busy=0.1", position(&state) as f64 / 1000.0, u8::from(state.primary))
        }));
        let (record, sent, member, own) = (record.clone(), Arc::clone(&sent), name.clone(), Arc::clone(&state));
        let handler: Handler = Arc::new(move |text, stream| {
            let at = now_ms();
            let id = field(text, "id").unwrap_or("").to_string();
            let class = field(text, "c").unwrap_or("").to_string();
            // The time of the work.
            thread::sleep(Duration::from_millis(10));
            let (primary, stands_at) = {
                let state = own.lock().unwrap();
                (state.primary, state.stands_at)
            };
            let role = if primary { "primary" } else { "replica" };
            let applied = stands_at.unwrap_or_else(now_ms);
            let bytes = served(&value_for(&id, value_bytes), "SELECT 1", role, applied);
            let result = stream.write_all(&bytes);
            let age = at - applied;
            record.line(&format!("member {member}: ran {id} ({class}), answered as {role} applied_ms={applied} ({age} ms old when sent)"));
            if member == "s-0" {
                let position = stands_at.filter(|_| !primary);
                sent.lock().unwrap().push(Sent { at, id, class, position, answered: now_ms() });
            }
            result
        });
        let gate = if number == 0 { Gate::default() } else { far.clone() };
        entries.push(Entry {
            host: name,
            address: start_member_behind(gate, load, handler),
            zone: zone.into(),
            group: 2,
            health: "active",
            primary: number == 0,
            born_ms: 0,
        });
        states.push(state);
    }
    let discovery = Discovery::start(41, entries);
    let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let text = config(listen, discovery.address, &discovery.list(), true);
    let proxy = Proxy::start(&paths, "n0", &text, listen);
    if !proxy.wait_ready(Duration::from_secs(20)) {
        record.line("the proxy did not become ready");
        std::process::exit(2);
    }
    record.line("the proxy is ready");

    // The platform and the servers.
    let took_over: Arc<Mutex<Option<i64>>> = Arc::default();
    let commits: Arc<Mutex<Vec<i64>>> = Arc::default();
    let cut = thread::spawn({
        let (record, discovery, took_over) = (record.clone(), discovery.clone(), Arc::clone(&took_over));
        let commits = Arc::clone(&commits);
        move || {
            thread::sleep(Duration::from_millis(2_000));
            if !trouble() {
                thread::sleep(Duration::from_millis(CUT_MS));
                return;
            }
            far.shut();
            record.line("CUT: midrand is cut off from isando and centurion, for the log too");
            thread::sleep(Duration::from_millis(GIVEN_UP_MS));
            *states[0].lock().unwrap() = State { primary: false, stands_at: Some(now_ms()) };
            record.line("s-0 is given up: it is a replica that gets no log");
            thread::sleep(Duration::from_millis(TAKES_OVER_MS));
            *states[1].lock().unwrap() = State { primary: true, stands_at: None };
            *took_over.lock().unwrap() = Some(now_ms());
            let commits = Arc::clone(&commits);
            thread::spawn(move || loop {
                thread::sleep(Duration::from_millis(COMMIT_EVERY_MS));
                commits.lock().unwrap().push(now_ms());
            });
            record.line("s-1 is the primary");
            thread::sleep(Duration::from_millis(LISTED_MS));
            discovery.change(|entries| {
                entries[0].primary = false;
                entries[1].primary = true;
            });
            record.line("the list shows s-1 as the primary");
            thread::sleep(Duration::from_millis(CUT_MS - GIVEN_UP_MS - TAKES_OVER_MS - LISTED_MS));
            record.line("the cut ends");
        }
    });

    // Two application servers, which look something up every 200 ms.
    let mut clients = Vec::new();
    for number in 0..2u32 {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let mut connection: Option<Client> = None;
            for count in 0..50u32 {
                let id = format!("c2{number:02x}{count:012x}");
                let text = format!("/* id={id},c=lookup,d=1000,cluster=2 */ SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655'");
                if connection.is_none() {
                    connection = Client::connect(listen).ok();
                }
                let answer = connection.as_mut().map_or(Answer::Ended, |client| client.ask(&text, Duration::from_millis(1500)));
                let what = match &answer {
                    Answer::Served(value) if *value == value_for(&id, value_bytes) => "served".to_string(),
                    Answer::Served(_) => "served something else".to_string(),
                    other => format!("{other:?}"),
                };
                if matches!(answer, Answer::Ended | Answer::TimedOut) {
                    connection = None;
                }
                record.line(&format!("client {number}: {id} {what}"));
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    let _ = cut.join();

    // The rule: a read that is sent to a member which has told this proxy that it is a replica must not be older than
    // the bound. Until that is known, a send to a member that has been primary is excused. Nothing is committed
    // before s-1 takes over, so the data counts as of that moment at least.
    let sent = sent.lock().unwrap();
    let known_at = sent.iter().filter(|sent| sent.position.is_some()).map(|sent| sent.answered + KNOWN_AFTER_MS).min();
    let mut broken = 0;
    for sent in sent.iter().filter(|sent| sent.class == "lookup") {
        let (Some(position), Some(known_at)) = (sent.position, known_at) else { continue };
        let Some(took_over) = *took_over.lock().unwrap() else { continue };
        let position = position.max(took_over);
        if sent.at > known_at && sent.at - position > BOUND_MS + SLACK_MS {
            broken += 1;
            let missed = commits.lock().unwrap().iter().filter(|at| **at < sent.at - BOUND_MS - SLACK_MS).count();
            record.line(&format!(
                "STALE {}: sent {} ms after s-0's word that it is a replica counted as known, to data {} ms old; \
                 misses {missed} commits",
                sent.id,
                sent.at - known_at,
                sent.at - position
            ));
        }
    }
    record.line(&format!("{broken} stale reads"));
    println!("{broken} stale reads");
    drop(proxy);
    std::process::exit(i32::from(broken > 0));
}
