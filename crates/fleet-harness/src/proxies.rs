//! The proxies of a run: processes of the program under test, each with its own configuration, settings and
//! log. They are started, paused, resumed and killed by their process ids, and always end with the run.

use crate::schedule::ZONES;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use wharfplank_lab::member_model::CLASSES;
use wharfplank_shared_state::{hash_name, MemberStatus, SharedState, SharedStateConfig};

/// An address that a proxy has logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoggedAddress {
    /// The address for client connections.
    Tcp(SocketAddr),
    /// The address for datagrams of gossip, budgets or rollouts.
    Udp(SocketAddr),
}

/// The configuration of a proxy process.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// The executable.
    pub program: PathBuf,
    /// The directory for its files.
    pub directory: PathBuf,
    /// Its number in the run.
    pub number: usize,
    /// The address of its discovery agent.
    pub discovery: SocketAddr,
    /// The endpoint list that it starts with.
    pub known_endpoints: Value,
    /// The address that it advertises to its peers, and its seeds; `None` if it takes no part in gossip.
    pub peers: Option<(SocketAddrV4, Vec<SocketAddrV4>)>,
    /// The number of proxies of the run, which is the setting `Balancers`.
    pub proxies: usize,
    /// Additional XML elements for its settings.
    pub extra_settings: String,
    /// The byte rate for replicated state, and the offset of this proxy's gossip clock.
    pub replica_bytes: u64,
    /// See `replica_bytes`.
    pub skew_ms: i64,
}

impl ProxyConfig {
    /// Returns the zone of proxy `number`.
    pub fn zone(number: usize) -> &'static str {
        ZONES[number % ZONES.len()]
    }

    fn file_path(&self, suffix: &str) -> PathBuf {
        self.directory.join(format!("n{}.{suffix}", self.number))
    }

    /// Returns the path of the log of proxy `number` in a directory.
    pub fn log_path(directory: &Path, number: usize) -> PathBuf {
        directory.join(format!("n{number}.log"))
    }

    /// Replaces the proxy's snapshot of replicated state by one that is an hour old and wrong: in it every
    /// stand-in member is suspected and far ahead in the log.
    pub fn write_outdated_snapshot(&self, now: i64) -> std::io::Result<()> {
        let hour = 3_600_000_000;
        let mut outdated = SharedState::new(0, SharedStateConfig::default(), 0, now - hour);
        for name in self.known_endpoints.get("hosts").and_then(Value::as_array).into_iter().flatten() {
            let name = name.get("host").and_then(Value::as_str).unwrap_or_default();
            let member = hash_name(name);
            outdated.record_member_status(now - hour, member, MemberStatus::Suspected);
            outdated.record_position(now - hour, member, 0, now + hour);
        }
        std::fs::write(self.file_path("replica"), outdated.snapshot(now - hour))
    }

    /// Writes the configuration and settings files.
    fn write(&self) -> std::io::Result<()> {
        let classes: Vec<Value> = CLASSES
            .iter()
            .map(|c| {
                let repeat = if c.name == "write" { "fragile" } else { "retryable" };
                json!({"Name": c.name, "TargetUs": c.latency_objective, "DeadlineUs": c.timeout, "Repeat": repeat, "Worth": c.weight,
                       "LateValue": c.late_fraction})
            })
            .collect();
        let config = json!({
            "name": format!("n{}", self.number), "listen": "127.0.0.1:0", "discovery": self.discovery.to_string(),
            "seed": format!("{:016x}", 0x51ed + self.number), "known": self.known_endpoints,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "Az": ProxyConfig::zone(self.number), "Balancers": self.proxies,
                "Allowed": {"ConnectTimeoutUs": 250_000, "KeepaliveUs": 15_000_000, "MaxAttempts": 8,
                            "MaxRetryAfterUs": 2_000_000, "MayCancel": true, "MayProbe": true, "RetryAfter": true},
                "Classes": classes, "Report": {"Columns": ["x0", "x1", "inflight", "util"]},
                "Rules": {"StopSendingWithinUs": 1_000_000, "ColdFrom": wharfplank_lab::member_model::WARM_UP_FLOOR,
                          "ColdUs": wharfplank_lab::member_model::WARM_UP_TIME, "FallMultiple": wharfplank_lab::member_model::COLLAPSE_MULTIPLE,
                          "OverloadForUs": wharfplank_lab::member_model::COLLAPSE_WINDOW},
                "Specifics": {"Consistency": ["lag_bound", "causal", "eventual", "mutate"],
                              "MaxAgeUs": [200_000, 0, 0, 0], "SessionMarks": "brought", "WhenBehind": "none"}}});
        std::fs::write(self.file_path("json"), config.to_string())?;
        let peers = self.peers.as_ref().map_or_else(String::new, |(advertise, seeds)| {
            let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
            format!(
                "  <peers listen=\"127.0.0.1:0\" advertise=\"{advertise}\" seeds=\"{}\" expected=\"{}\" \
                 clock-skew-ms=\"{}\"/>\n  <replica bytes-per-second=\"{}\" snapshot=\"{}\"/>\n",
                seeds.join(" "),
                self.proxies,
                self.skew_ms,
                self.replica_bytes,
                self.file_path("replica").display()
            )
        });
        let settings = format!(
            "<wharfplank>\n  <log format=\"json\" level=\"debug\"/>\n{peers}{}</wharfplank>\n",
            self.extra_settings
        );
        std::fs::write(self.file_path("xml"), settings)
    }
}

/// A proxy process. It is killed on drop, so that none outlives the run.
pub struct Proxy {
    child: Child,
    /// The addresses that it has logged.
    pub logged_addresses: Receiver<LoggedAddress>,
    /// Whether it is paused.
    pub is_paused: bool,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if self.is_paused {
            self.send(Signal::CONT);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Proxy {
    /// Writes the configuration files and starts the process. The log is appended to, so that a restart keeps
    /// the earlier entries.
    pub fn start(proxy_config: &ProxyConfig) -> Result<Proxy, String> {
        proxy_config.write().map_err(|e| format!("{}: {e}", proxy_config.directory.display()))?;
        let mut command = Command::new(&proxy_config.program);
        command.arg("serve").arg("--settings").arg(proxy_config.file_path("xml"));
        command
            .env("BALANCER_CONFIG", proxy_config.file_path("json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        for name in ["BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_NAME"] {
            command.env_remove(name);
        }
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", proxy_config.program.display()))?;
        let lines = BufReader::new(child.stderr.take().ok_or("proxy process has no standard error pipe")?);
        let log = std::fs::OpenOptions::new().create(true).append(true).open(proxy_config.file_path("log"));
        let mut log = log.map_err(|e| format!("{}: {e}", proxy_config.file_path("log").display()))?;
        let (sender, logged_addresses) = channel();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                if let Some(logged) = parse_address(&line) {
                    let _ = sender.send(logged);
                }
                let _ = writeln!(log, "{line}");
            }
        });
        Ok(Proxy { child, logged_addresses, is_paused: false })
    }

    /// Suspends the process until it is resumed.
    pub fn pause(&mut self) {
        if self.send(Signal::STOP) {
            self.is_paused = true;
        }
    }

    /// Resumes the process.
    pub fn resume(&mut self) {
        if self.send(Signal::CONT) {
            self.is_paused = false;
        }
    }

    /// Sends a signal to the process and returns whether that succeeded.
    fn send(&self, signal: Signal) -> bool {
        kill_process(Pid::from_child(&self.child), signal).is_ok()
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Terminates the process with SIGTERM, and kills it if it has not exited after `time_limit`.
    pub fn shut_down(mut self, time_limit: std::time::Duration) -> Result<(), String> {
        self.resume();
        self.send(Signal::TERM);
        let deadline = std::time::Instant::now() + time_limit;
        while std::time::Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return if status.success() { Ok(()) } else { Err(format!("proxy exited with {status}")) };
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        Err("proxy did not exit on SIGTERM".to_string())
    }
}

/// Returns the address that a log line announces.
fn parse_address(line: &str) -> Option<LoggedAddress> {
    let value: Value = serde_json::from_str(line).ok()?;
    let address = |name: &str| value.get(name)?.as_str()?.parse().ok();
    match value.get("event")?.as_str()? {
        "started" => address("listen").map(LoggedAddress::Tcp),
        "peers_started" | "budgets_started" | "release_started" => address("listen").map(LoggedAddress::Udp),
        _ => None,
    }
}
