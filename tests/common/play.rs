//! Plays a recorded exchange against the proxy: a text file with lines `who > bytes` (sent to the proxy),
//! `who < bytes` (expected from it next) and a few commands. `docs/architecture.md` describes the format.

mod bytes;
mod scripted_server;

use bytes::{expect_bytes, parse_literal};
use scripted_server::{AcceptMode, ScriptedServer};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than any step takes; only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

struct ProxyProcess {
    child: Child,
    log: Receiver<String>,
    listen: String,
    /// The admin address, if the configuration has one.
    admin: Option<String>,
    config: PathBuf,
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl ProxyProcess {
    fn start(config: &str, discovery: &str) -> ProxyProcess {
        let name = format!("wharfplank-{}-{:?}", std::process::id(), thread::current().id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config).expect("write the configuration");
        let variables = [("BALANCER_CONFIG", path.as_os_str()), ("BALANCER_DISCOVERY", discovery.as_ref())];
        let mut child = command().envs(variables).spawn().expect("the proxy starts");
        let stderr = BufReader::new(child.stderr.take().expect("its standard error"));
        let (sender, log) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok()));
        let started: String = log.recv_timeout(TEST_TIMEOUT).expect("a log line with the listen address");
        let listen = started.strip_prefix("started listen=").expect(&started).to_string();
        let admin = config.contains("\"mgmt\"").then(|| {
            let line = log.recv_timeout(TEST_TIMEOUT).expect("a log line with the admin address");
            line.strip_prefix("admin_started listen=").expect(&line).to_string()
        });
        ProxyProcess { child, log, listen, admin, config: path }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().is_ok_and(|s| s.success()));
    }

    /// Stops the process, as if it got no CPU time.
    fn suspend(&self) {
        self.signal("-STOP");
        let state = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&state).is_ok_and(|state| state.contains(") T ")) {
            thread::yield_now();
        }
    }

    fn expect_log(&self, expected: &str) {
        let end = Instant::now() + TEST_TIMEOUT;
        let mut others = Vec::new();
        while let Ok(line) = self.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if expected.split(' ').all(|part| line.split(' ').any(|p| p == part)) {
                return;
            }
            others.push(line);
        }
        panic!("no log line with {expected}; lines:\n{}", others.join("\n"));
    }
}

/// Returns the command of the proxy, without the settings in this process's environment.
pub fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wharfplank"));
    let variables =
        ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_CONFIG", "BALANCER_MGMT"];
    for name in variables {
        command.env_remove(name);
    }
    command.stdin(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Expands `3 * text` to three copies of the text, each with its number in place of `#`.
fn expand_repetition(text: &str) -> String {
    let times = text.split_once(" * ").and_then(|(n, text)| Some((n.parse().ok()?, text)));
    times.map_or(text.to_string(), |(n, text): (usize, _)| {
        (0..n).map(|i| text.replace('#', &i.to_string())).collect()
    })
}

/// Plays the text of one exchange.
pub fn play(script: &str) {
    let lines = || script.lines().map(str::trim_end).filter(|l| !l.is_empty() && !l.starts_with('#'));
    let values_of = |word: &'static str| lines().filter_map(move |l| l.strip_prefix(word));
    let mut servers: HashMap<String, ScriptedServer> = HashMap::new();
    for discovery in ["d", "e"] {
        servers.insert(discovery.to_string(), ScriptedServer::start(false, AcceptMode::default()));
    }
    for member in values_of("member ") {
        let (name, rest) = member.split_once(' ').unwrap_or((member, ""));
        let has = |option| rest.contains(option);
        let mode = AcceptMode { held: has("held"), stale: has("stale"), gated: has("gated") };
        servers.insert(name.to_string(), ScriptedServer::start(true, mode));
    }
    let addresses: Vec<(String, String)> =
        servers.iter().map(|(name, p)| (format!("${name}"), p.address.clone())).collect();
    let fill_addresses =
        |text: &str| addresses.iter().fold(text.to_string(), |t, (n, a)| t.replace(n.as_str(), a));
    let hosts: Vec<String> = values_of("member ")
        .map(|m| {
            let name = m.split(' ').next().expect("a name");
            let role = if m.contains("primary") { "primary" } else { "replica" };
            fill_addresses(&format!(
                r#"{{"host":"{name}","dial":"${name}","site":"a","block":2,"health":"active","born_ms":0,"role":"{role}"}}"#
            ))
        })
        .collect();
    let attempts = values_of("attempts ").next().unwrap_or("4");
    let config = include_str!("../exchanges/config.json")
        .replace("$discovery", &servers["d"].address)
        .replace("$attempts", attempts)
        .replace("$sockets", values_of("sockets ").next().unwrap_or("256"))
        .replace("$hosts", &hosts.join(","));
    let may_probe = if lines().any(|l| l == "unprobed") { "false" } else { "true" };
    let config = config.replace("\"MayProbe\":true", &format!("\"MayProbe\":{may_probe}"));
    // Adds settings to those of the configuration file, or replaces them.
    let config = values_of("settings ")
        .fold(config, |config, text| config.replace(r#""Balancers":1,"#, &format!("{text},")));
    // The connections o1, o2 and so on are those of operators.
    let has_operators = lines().any(|l| l.starts_with('o') && l.contains(" > "));
    let config = if has_operators { config.replacen('{', r#"{"mgmt":"127.0.0.1:0","#, 1) } else { config };
    let mut program = ProxyProcess::start(&config, &servers["d"].address);
    let mut clients: HashMap<String, TcpStream> = HashMap::new();
    let mut keys: HashMap<String, Vec<u8>> = HashMap::new();
    for line in lines() {
        let (who, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (verb, text) = rest.split_once(' ').unwrap_or((rest, ""));
        let text = fill_keys(expand_repetition(&fill_addresses(text)), &keys);
        match (who, verb) {
            ("member" | "attempts" | "sockets" | "unprobed" | "settings", _) => {}
            ("log", _) => program.expect_log(&fill_addresses(rest)),
            ("wait", ms) => thread::sleep(Duration::from_millis(ms.parse().expect("milliseconds"))),
            ("term", _) => program.signal("-TERM"),
            ("stop", _) => program.suspend(),
            ("goes", "on") => program.signal("-CONT"),
            ("hup", cut) => {
                let length = if cut == "cut" { config.len() / 2 } else { config.len() };
                let moved = config.replace(&servers["d"].address, &servers["e"].address);
                std::fs::write(&program.config, &moved[..length]).expect("write the configuration");
                program.signal("-HUP");
            }
            ("exit", code) => {
                let status = program.child.wait().expect("the proxy exits");
                assert_eq!(status.code().map(|c| c.to_string()).as_deref(), Some(code), "exit code");
            }
            (name, verb) if servers.contains_key(name) => {
                let server = servers.get_mut(name).expect("a known server");
                match verb {
                    "<" if text == "EOF" => server.expect_close(name),
                    "<" => server.expect_message(name, &text),
                    ">" => server.write_bytes(parse_literal(&text)),
                    "opens" => server.open_gate(),
                    "silent" => {
                        let message =
                            server.messages.try_recv().map(|(_, data)| data.escape_ascii().to_string());
                        assert!(message.is_err(), "{name} received {message:?}");
                    }
                    "accepted" => {
                        let limit: usize = text.parse().expect("a number");
                        let accepted = server.accepted.load(Ordering::Relaxed);
                        assert!(accepted <= limit, "{line}: {accepted} connections");
                    }
                    "closes" => {
                        server
                            .last_connection
                            .take()
                            .expect("a request came before")
                            .shutdown(Shutdown::Both)
                            .expect("open");
                    }
                    // Resets the connection, even if it has other handles.
                    "resets" => {
                        let last = server.last_connection.take().expect("a request came before");
                        rustix::net::connect_unspec(last).expect("open");
                    }
                    _ => panic!("{line}: unknown verb"),
                }
            }
            ("keys", _) => assert_keys_differ(rest.split(' ').map(|name| &keys[name]).collect()),
            (name, verb) => {
                let to = program.admin.as_ref().filter(|_| name.starts_with('o')).unwrap_or(&program.listen);
                let stream = clients.entry(name.to_string()).or_insert_with(|| connect(to));
                match verb {
                    ">" => stream.write_all(&parse_literal(&text)).expect("write to the socket"),
                    "<" if text == "EOF" => assert_eq!(stream.read(&mut [0]).ok(), Some(0), "{line}"),
                    "<" => {
                        let got = expect_bytes(name, stream, &text);
                        keys.extend(cancel_key(&got).map(|key| (name.to_string(), key)));
                    }
                    "closes" => drop(clients.remove(name)),
                    "shuts" => stream.shutdown(Shutdown::Write).expect("open"),
                    "resets" => rustix::net::connect_unspec(stream).expect("open"),
                    _ => panic!("{line}: unknown verb"),
                }
            }
        }
    }
}

/// Returns the process number and the secret from the `BackendKeyData` message of a greeting.
fn cancel_key(got: &[u8]) -> Option<Vec<u8>> {
    let at = got.windows(5).position(|five| five == b"K\0\0\0\x0c")?;
    got.get(at + 5..at + 13).map(<[u8]>::to_vec)
}

/// Replaces `$key_c1` by the key that cancels the requests of `c1`, and `$wrong_c1` by one with a wrong
/// secret.
fn fill_keys(text: String, keys: &HashMap<String, Vec<u8>>) -> String {
    let hex = |key: &[u8]| key.iter().map(|byte| format!("\\x{byte:02x}")).collect::<String>();
    keys.iter().fold(text, |text, (name, key)| {
        let wrong = [&key[..7], &[key[7] ^ 1]].concat();
        text.replace(&format!("$key_{name}"), &hex(key)).replace(&format!("$wrong_{name}"), &hex(&wrong))
    })
}

/// Asserts that each key has a number and a secret that no other key has.
fn assert_keys_differ(keys: Vec<&Vec<u8>>) {
    for (i, key) in keys.iter().enumerate() {
        let (number, secret) = key.split_at(4);
        assert!(number != [0; 4] && secret != [0; 4], "{key:?} is not a key");
        let others = &keys[..i];
        assert!(others.iter().all(|o| o[..4] != *number && o[4..] != *secret), "{key:?} among {others:?}");
    }
}

fn connect(listen: &str) -> TcpStream {
    let stream = TcpStream::connect(listen).expect("the proxy listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    stream.set_nodelay(true).expect("set TCP_NODELAY");
    stream
}
