//! The proxies of a run: processes of the program under test, each with its configuration, settings and log, started,
//! paused, resumed and killed by their process ids, and always ended when the run ends.

use crate::schedule::ZONES;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use wharfplank_lab::fleet::CLASSES;
use wharfplank_shared_state::{hash_name, MemberStatus, SharedState, SharedStateConfig};

/// What a proxy's log said that the rig must know at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Clients can connect there.
    Listens(SocketAddr),
    /// It takes datagrams of peers, of budgets or of releases there.
    Peers(SocketAddr),
}

/// What a proxy is told.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Where its files go.
    pub directory: PathBuf,
    /// Its number.
    pub number: usize,
    /// Its discovery.
    pub discovery: SocketAddr,
    /// The list as last known.
    pub known: Value,
    /// Where the others send to it, and its seeds; `None`: it talks to no peer.
    pub peers: Option<(SocketAddrV4, Vec<SocketAddrV4>)>,
    /// Proxies of the run: the platform's `Balancers`.
    pub proxies: usize,
    /// Further elements of its settings.
    pub more: String,
    /// Bytes a second for the replicated state, and what this proxy's clock of the talk is ahead.
    pub replica_bytes: u64,
    /// See `replica_bytes`.
    pub skew_ms: i64,
}

impl Plan {
    /// The zone of proxy `number`.
    pub fn zone(number: usize) -> &'static str {
        ZONES[number % ZONES.len()]
    }

    fn file(&self, end: &str) -> PathBuf {
        self.directory.join(format!("n{}.{end}", self.number))
    }

    /// The log of proxy `number` in a directory.
    pub fn log(directory: &Path, number: usize) -> PathBuf {
        directory.join(format!("n{number}.log"))
    }

    /// Puts a snapshot an hour old in the place of the proxy's own: every member of the stand-ins suspected and far
    /// ahead, as none of them is.
    pub fn age_snapshot(&self, now: i64) -> std::io::Result<()> {
        let hour = 3_600_000_000;
        let mut old = SharedState::new(0, SharedStateConfig::default(), 0, now - hour);
        for name in self.known.get("hosts").and_then(Value::as_array).into_iter().flatten() {
            let name = name.get("host").and_then(Value::as_str).unwrap_or_default();
            let member = hash_name(name);
            old.record_member_status(now - hour, member, MemberStatus::Suspected);
            old.record_position(now - hour, member, 0, now + hour);
        }
        std::fs::write(self.file("replica"), old.snapshot(now - hour))
    }

    /// Writes its configuration and settings.
    fn write(&self) -> std::io::Result<()> {
        let classes: Vec<Value> = CLASSES
            .iter()
            .map(|c| {
                let repeat = if c.name == "write" { "fragile" } else { "retryable" };
                json!({"Name": c.name, "TargetUs": c.aim, "DeadlineUs": c.wait, "Repeat": repeat, "Worth": c.worth,
                       "LateValue": c.late})
            })
            .collect();
        let config = json!({
            "name": format!("n{}", self.number), "listen": "127.0.0.1:0", "discovery": self.discovery.to_string(),
            "seed": format!("{:016x}", 0x51ed + self.number), "known": self.known,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "Az": Plan::zone(self.number), "Balancers": self.proxies,
                "Allowed": {"ConnectTimeoutUs": 250_000, "KeepaliveUs": 15_000_000, "MaxAttempts": 8,
                            "MaxRetryAfterUs": 2_000_000, "MayCancel": true, "MayProbe": true, "RetryAfter": true},
                "Classes": classes, "Report": {"Columns": ["x0", "x1", "inflight", "util"]},
                "Rules": {"StopSendingWithinUs": 1_000_000, "ColdFrom": wharfplank_lab::fleet::COLD_FROM,
                          "ColdUs": wharfplank_lab::fleet::COLD_SPAN, "FallMultiple": wharfplank_lab::fleet::FALL_MULTIPLE,
                          "OverloadForUs": wharfplank_lab::fleet::FALL_SPAN},
                "Specifics": {"Consistency": ["lag_bound", "causal", "eventual", "mutate"],
                              "MaxAgeUs": [200_000, 0, 0, 0], "SessionMarks": "brought", "WhenBehind": "none"}}});
        std::fs::write(self.file("json"), config.to_string())?;
        let peers = self.peers.as_ref().map_or_else(String::new, |(advertise, seeds)| {
            let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
            format!(
                "  <peers listen=\"127.0.0.1:0\" advertise=\"{advertise}\" seeds=\"{}\" expected=\"{}\" \
                 clock-skew-ms=\"{}\"/>\n  <replica bytes-per-second=\"{}\" snapshot=\"{}\"/>\n",
                seeds.join(" "),
                self.proxies,
                self.skew_ms,
                self.replica_bytes,
                self.file("replica").display()
            )
        });
        let settings = format!(
            "<wharfplank>\n  <log format=\"json\" level=\"debug\"/>\n{peers}{}</wharfplank>\n",
            self.more
        );
        std::fs::write(self.file("xml"), settings)
    }
}

/// One proxy's process: killed when it is dropped, so that none outlives the run.
pub struct Proxy {
    child: Child,
    /// What its log said that the rig must know.
    pub heard: Receiver<Heard>,
    /// Whether it is paused.
    pub paused: bool,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if self.paused {
            self.send(Signal::CONT);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Proxy {
    /// Writes the plan's files and starts the process; its log is appended to, so that a restart keeps the past.
    pub fn start(plan: &Plan) -> Result<Proxy, String> {
        plan.write().map_err(|e| format!("{}: {e}", plan.directory.display()))?;
        let mut command = Command::new(&plan.program);
        command.arg("serve").arg("--settings").arg(plan.file("xml"));
        command.env("BALANCER_CONFIG", plan.file("json")).stdin(Stdio::null()).stdout(Stdio::null());
        for name in ["BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_NAME"] {
            command.env_remove(name);
        }
        let mut child =
            command.stderr(Stdio::piped()).spawn().map_err(|e| format!("{}: {e}", plan.program.display()))?;
        let lines = BufReader::new(child.stderr.take().ok_or("no standard error")?);
        let log = std::fs::OpenOptions::new().create(true).append(true).open(plan.file("log"));
        let mut log = log.map_err(|e| format!("{}: {e}", plan.file("log").display()))?;
        let (sender, heard) = channel();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                if let Some(heard) = read(&line) {
                    let _ = sender.send(heard);
                }
                let _ = writeln!(log, "{line}");
            }
        });
        Ok(Proxy { child, heard, paused: false })
    }

    /// Stops its process until it is resumed.
    pub fn pause(&mut self) {
        if self.send(Signal::STOP) {
            self.paused = true;
        }
    }

    /// Lets its process go on.
    pub fn resume(&mut self) {
        if self.send(Signal::CONT) {
            self.paused = false;
        }
    }

    /// Whether a signal could be sent to its process.
    fn send(&self, signal: Signal) -> bool {
        kill_process(Pid::from_child(&self.child), signal).is_ok()
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Asks it to end (SIGTERM), and kills it if it has not after `most`.
    pub fn end(mut self, most: std::time::Duration) -> Result<(), String> {
        self.resume();
        self.send(Signal::TERM);
        let end = std::time::Instant::now() + most;
        while std::time::Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return if status.success() { Ok(()) } else { Err(format!("a proxy ended with {status}")) };
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        Err("a proxy did not end on SIGTERM".to_string())
    }
}

/// The addresses that a line of the log names.
fn read(line: &str) -> Option<Heard> {
    let value: Value = serde_json::from_str(line).ok()?;
    let address = |name: &str| value.get(name)?.as_str()?.parse().ok();
    match value.get("event")?.as_str()? {
        "started" => address("listen").map(Heard::Listens),
        "peers_started" | "budgets_started" | "release_started" => address("listen").map(Heard::Peers),
        _ => None,
    }
}
