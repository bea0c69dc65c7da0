// Shared parts of the cases: stand-ins for clients, members and discovery, and the start of a proxy with the
// command of the deploy file. Standard library only.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn prctl(option: i32, a: usize, b: usize, c: usize, d: usize) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn send_signal(child: &Child, signal: i32) {
    unsafe { kill(child.id() as i32, signal) };
}

pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(case: &Path) -> Record {
        let file = File::create(case.join("record.txt")).expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
        let _ = file.flush();
    }
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

// ---------------------------------------------------------------------------------------------- messages

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    message(b'Q', &body)
}

pub fn startup() -> Vec<u8> {
    let mut body = 196_608u32.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0web\0database\0orders\0\0");
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn row_description() -> Vec<u8> {
    let mut body = 1u16.to_be_bytes().to_vec();
    body.extend_from_slice(b"payload\0");
    body.extend_from_slice(&0u32.to_be_bytes());
    body.extend_from_slice(&0u16.to_be_bytes());
    body.extend_from_slice(&17u32.to_be_bytes());
    body.extend_from_slice(&(-1i16).to_be_bytes());
    body.extend_from_slice(&(-1i32).to_be_bytes());
    body.extend_from_slice(&1u16.to_be_bytes());
    message(b'T', &body)
}

pub fn data_row(value: &[u8]) -> Vec<u8> {
    let mut body = 1u16.to_be_bytes().to_vec();
    body.extend_from_slice(&(value.len() as u32).to_be_bytes());
    body.extend_from_slice(value);
    message(b'D', &body)
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// The whole answer of a member that served a request.
pub fn served(value: &[u8], tag: &str, role: &str, position_ms: i64) -> Vec<u8> {
    let mut out = row_description();
    out.extend(data_row(value));
    out.extend(message(b'C', format!("{tag}\0").as_bytes()));
    out.extend(parameter("role", role));
    out.extend(parameter("applied_ms", &position_ms.to_string()));
    out.extend(ready());
    out
}

/// A field of the comment of a statement.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split("*/").next()?.trim().trim_start_matches("/*");
    comment.split(',').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key.trim() == name).then(|| value.trim())
    })
}

/// Reads one message: its tag and its body.
pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// A value of this length that belongs to this request id alone.
pub fn value_for(id: &str, length: usize) -> Vec<u8> {
    let mut state = id.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    let mut out = Vec::with_capacity(length + 8);
    while out.len() < length {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        out.extend_from_slice(&state.to_be_bytes());
    }
    out.truncate(length);
    out
}

// ------------------------------------------------------------------------------------------------ members

/// What a member does with a query that is neither empty nor a probe; it writes the answer itself.
pub type Handler = Arc<dyn Fn(&str, &mut TcpStream) -> io::Result<()> + Send + Sync>;

/// Starts a member on a free port.
pub fn start_member(load: Load, handler: Handler) -> SocketAddr {
    start_member_behind(Gate::default(), load, handler)
}

/// Answers `SHOW load`; `None` where probes are not allowed.
pub type Load = Option<Arc<dyn Fn() -> String + Send + Sync>>;

/// While it is shut, a member is cut off: open connections stay open and silent, and new ones never come up.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    pub fn shut(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn open(&self) {
        self.0.store(false, Ordering::SeqCst);
    }

    fn pass(&self) {
        while self.0.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Like [`start_member`], for a member that can be cut off.
pub fn start_member_behind(gate: Gate, load: Load, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let (gate, load, handler) = (gate.clone(), load.clone(), Arc::clone(&handler));
            thread::spawn(move || {
                let _ = serve_member(stream, gate, load, handler);
            });
        }
    });
    address
}

fn serve_member(mut stream: TcpStream, gate: Gate, load: Load, handler: Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut body)?;
    let mut greeting = message(b'R', &[0; 4]);
    greeting.extend(parameter("server_version", "15.0"));
    greeting.extend(message(b'K', &[0; 8]));
    greeting.extend(ready());
    gate.pass();
    stream.write_all(&greeting)?;
    loop {
        let (tag, body) = read_message(&mut stream)?;
        gate.pass();
        if tag != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
        let trimmed = text.trim().trim_end_matches(';').trim();
        if trimmed.is_empty() {
            let mut out = message(b'I', b"");
            out.extend(ready());
            stream.write_all(&out)?;
        } else if trimmed.eq_ignore_ascii_case("show load") {
            let mut out = Vec::new();
            match &load {
                None => out.extend(error("42501", "not allowed")),
                Some(load) => {
                    out.extend(row_description());
                    out.extend(data_row(load().as_bytes()));
                    out.extend(message(b'C', b"SHOW\0"));
                }
            }
            out.extend(ready());
            stream.write_all(&out)?;
        } else {
            handler(&text, &mut stream)?;
        }
    }
}

// -------------------------------------------------------------------------------------------------- network

/// The network between the proxy and one member: passes all bytes on, until [`Relay::cut_answers`] is called for a
/// connection. From then on that connection is silent, and it is reset after `silent_for`.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    cut: Arc<Mutex<HashSet<u16>>>,
}

impl Relay {
    pub fn start(member: SocketAddr, silent_for: Duration) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay { address: listener.local_addr().unwrap(), cut: Arc::default() };
        let cut = Arc::clone(&relay.cut);
        thread::spawn(move || {
            for near in listener.incoming() {
                let Ok(near) = near else { continue };
                let Ok(far) = TcpStream::connect(member) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let port = far.local_addr().map_or(0, |address| address.port());
                let (near_out, far_in) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                thread::spawn(move || pass(near, far));
                let cut = Arc::clone(&cut);
                thread::spawn(move || pass_answers(far_in, near_out, &cut, port, silent_for));
            }
        });
        relay
    }

    /// Makes the connection silent that the member sees as coming from this port.
    pub fn cut_answers(&self, port: u16) {
        self.cut.lock().unwrap().insert(port);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = vec![0; 65_536];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

fn pass_answers(mut from: TcpStream, to: TcpStream, cut: &Mutex<HashSet<u16>>, port: u16, silent_for: Duration) {
    let mut bytes = vec![0; 65_536];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        if cut.lock().unwrap().contains(&port) {
            thread::sleep(silent_for);
            reset(&to);
            return;
        }
        if (&to).write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Resets a connection: closes it without lingering (SOL_SOCKET, SO_LINGER).
fn reset(stream: &TcpStream) {
    let linger = [1i32, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
    let _ = stream.shutdown(Shutdown::Both);
}

// ---------------------------------------------------------------------------------------------- discovery

/// The list of members, as discovery tells it.
#[derive(Clone)]
pub struct Entry {
    pub host: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u64,
    pub health: &'static str,
    pub primary: bool,
    pub born_ms: i64,
}

impl Entry {
    pub fn json(&self) -> String {
        let role = if self.primary { "primary" } else { "replica" };
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"std-4","block":{},"health":"{}","share":1.0,"born_ms":{},"role":"{role}"}}"#,
            self.host, self.address, self.zone, self.group, self.health, self.born_ms
        )
    }
}

pub fn list_json(version: u64, entries: &[Entry]) -> String {
    let hosts: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"seq":{version},"whole":true,"hosts":[{}]}}"#, hosts.join(","))
}

#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<(u64, Vec<Entry>)>, Condvar)>,
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(version: u64, entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = Discovery { state: Arc::new((Mutex::new((version, entries)), Condvar::new())), address };
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let discovery = shared.clone();
                thread::spawn(move || {
                    let _ = discovery.serve(stream);
                });
            }
        });
        discovery
    }

    /// Changes the list and tells all watches.
    pub fn change(&self, edit: impl FnOnce(&mut Vec<Entry>)) {
        let mut state = self.state.0.lock().unwrap();
        edit(&mut state.1);
        state.0 += 1;
        self.state.1.notify_all();
    }

    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.0, &state.1)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            while !buffer.windows(4).any(|part| part == b"\r\n\r\n") {
                let count = stream.read(&mut chunk)?;
                if count == 0 {
                    return Ok(());
                }
                buffer.extend_from_slice(&chunk[..count]);
            }
            let end = buffer.windows(4).position(|part| part == b"\r\n\r\n").unwrap() + 4;
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end);
            let target = head.split(' ').nth(1).unwrap_or("").to_string();
            let body = self.answer(&target);
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(text.as_bytes())?;
        }
    }

    fn answer(&self, target: &str) -> String {
        let values: HashMap<&str, &str> = target
            .split_once('?')
            .map_or("", |(_, query)| query)
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let mut state = self.state.0.lock().unwrap();
        let Some(index) = values.get("index").and_then(|text| text.parse::<u64>().ok()) else {
            return list_json(state.0, &state.1);
        };
        let wait = values.get("wait").and_then(|text| text.parse().ok()).unwrap_or(0u64).min(60_000);
        let until = Instant::now() + Duration::from_millis(wait);
        while state.0 <= index {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return format!(r#"{{"seq":{},"whole":false,"hosts":[]}}"#, state.0);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        list_json(state.0, &state.1)
    }
}

// -------------------------------------------------------------------------------------------------- proxy

pub struct Paths {
    pub root: PathBuf,
    pub case: PathBuf,
    pub temporary: PathBuf,
}

impl Paths {
    /// The arguments of every case: the root of the repository and the folder of the case.
    pub fn from_arguments() -> Paths {
        let mut arguments = std::env::args().skip(1);
        let root = PathBuf::from(arguments.next().expect("the root"));
        let case = PathBuf::from(arguments.next().expect("the folder of the case"));
        let temporary = PathBuf::from(arguments.next().expect("a temporary folder"));
        Paths { root, case, temporary }
    }
}

/// The `run` command of the deploy file.
fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.trim_start().starts_with("run")).expect("run");
    line.split('"').nth(1).expect("a command").to_string()
}

/// A proxy process. It is killed when this is dropped.
pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Proxy {
    pub fn start(paths: &Paths, name: &str, config: &str, address: SocketAddr) -> Proxy {
        let file = paths.temporary.join(format!("{name}.json"));
        fs::write(&file, config).unwrap();
        let temporary = paths.temporary.join(format!("{name}.tmp"));
        let _ = fs::create_dir_all(&temporary);
        let log = File::create(paths.temporary.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        // The proxy ends with this process, however that ends (PR_SET_PDEATHSIG).
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as usize, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .arg("-c")
            .arg(run_command(&paths.root))
            .current_dir(&paths.root)
            .env("BALANCER_NAME", name)
            .env("BALANCER_CONFIG", &file)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the proxy");
        Proxy { child, address }
    }

    /// Waits until the proxy answers an empty query, as the front does.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.address) {
                let _ = client.stream.set_read_timeout(Some(Duration::from_secs(5)));
                if client.stream.write_all(&query("")).is_ok() {
                    while let Ok((tag, _)) = read_message(&mut client.stream) {
                        if tag == b'I' {
                            return true;
                        }
                    }
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Waits for the end of the process; returns its exit code.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<i32> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

// ------------------------------------------------------------------------------------------------- client

pub struct Client {
    pub stream: TcpStream,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused(String),
    Failed(String),
    /// The connection ended without a whole answer.
    Ended,
    /// No answer in time.
    TimedOut,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        Client::start(TcpStream::connect(address)?)
    }

    pub fn start(mut stream: TcpStream) -> io::Result<Client> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(&startup())?;
        while read_message(&mut stream)?.0 != b'Z' {}
        Ok(Client { stream })
    }

    /// Sends one statement and reads its answer.
    pub fn ask(&mut self, statement: &str, wait: Duration) -> Answer {
        if self.stream.write_all(&query(statement)).is_err() {
            return Answer::Ended;
        }
        let until = Instant::now() + wait;
        let mut answer = None;
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = self.stream.set_read_timeout(Some(left));
            match read_message(&mut self.stream) {
                Ok((b'D', body)) => answer = Some(Answer::Served(body[6..].to_vec())),
                Ok((b'E', body)) => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let code = text.split('\0').find_map(|part| part.strip_prefix('C')).unwrap_or("").to_string();
                    answer = Some(match code.as_str() {
                        "53300" | "57P03" => Answer::Refused(code),
                        _ => Answer::Failed(code),
                    });
                }
                Ok((b'Z', _)) => return answer.unwrap_or(Answer::Ended),
                Ok(_) => {}
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    return Answer::TimedOut;
                }
                Err(_) => return answer.unwrap_or(Answer::Ended),
            }
        }
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

// ----------------------------------------------------------------------------------------------- settings

/// The configuration of a proxy with the settings of the deployment `sasiba-gauteng`.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str, may_probe: bool) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{{
 "Az":"midrand","Balancers":3,"Layer":0,"SlotNo":0,"Discovery":"push","Family":"replicas","Kinds":["std-4"],
 "Zones":["midrand","isando","centurion"],"Stages":["pay-db"],"Tenants":[],"TickUs":5000,"WeightKind":"nominal",
 "CountedBy":"request","Clients":{{"MarksRetry":true}},
 "Allowed":{{"ConnectTimeoutUs":250000,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"KeepaliveUs":15000000,
  "MaxAttempts":8,"MaxOpen":20000,"MaxRetryAfterUs":2000000,"MayCancel":true,"MayProbe":{may_probe},
  "PeerMessages":false,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":8}},
 "Classes":[
  {{"Name":"lookup","DeadlineUs":1000000,"TargetUs":300000,"Repeat":"retryable","Group":"all","LateValue":0.2,
    "MemorySpanUs":5000000,"Streamed":false,"Worth":1.0}},
  {{"Name":"own-edit-read","DeadlineUs":750000,"TargetUs":300000,"Repeat":"retryable","Group":"all",
    "LateValue":0.0,"MemorySpanUs":5000000,"Streamed":false,"Worth":3.0}},
  {{"Name":"run-report","DeadlineUs":15000000,"TargetUs":7500000,"Repeat":"retryable","Group":"all",
    "LateValue":0.2,"MemorySpanUs":5000000,"Streamed":false,"Worth":4.0}},
  {{"Name":"pay-write","DeadlineUs":2000000,"TargetUs":1000000,"Repeat":"fragile","Group":"all","LateValue":0.3,
    "MemorySpanUs":5000000,"Streamed":false,"Worth":3.0}}],
 "Report":{{"Columns":["x0","x1","rif","busy"],"Via":"{via}"}},
 "Rules":{{"AnswerSlackUs":20000,"AskEveryUs":10000000,"ColdFrom":0.24,"ColdUs":15000000,"FallMultiple":3.0,
  "OverloadForUs":1500000,"StopSendingWithinUs":1000000}},
 "Specifics":{{"CatchUpWaitUs":0,"Consistency":["lag_bound","causal","eventual","mutate"],
  "MaxAgeUs":[200000,0,0,0],"OriginTimeUs":0,"ReportX0":"position_in_seconds_after_zero",
  "ReportX1":"1_from_a_primary","SessionMarks":"brought","ShowsRole":"trailing","Stamps":true,
  "Synchronous":false,"WhenBehind":"none"}}
}}}}"#,
        via = if may_probe { "probe" } else { "none" }
    )
}
