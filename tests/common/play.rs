//! Plays a recorded exchange against the program: a text file of lines `who > bytes` (sent to the program),
//! `who < bytes` (what it must say next) and a few commands. `docs/architecture.md` has the forms.

mod bytes;
mod party;

use bytes::{expect, plain};
use party::{Manner, Party};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything takes: only a failing test meets it.
const PATIENCE: Duration = Duration::from_secs(60);

struct Program {
    child: Child,
    log: Receiver<String>,
    listen: String,
    /// Where operators call, where the configuration says so.
    admin: Option<String>,
    config: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Program {
    fn start(config: &str, discovery: &str) -> Program {
        let name = format!("wharfplank-{}-{:?}", std::process::id(), thread::current().id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config).expect("the configuration is written");
        let variables = [("BALANCER_CONFIG", path.as_os_str()), ("BALANCER_DISCOVERY", discovery.as_ref())];
        let mut child = command().envs(variables).spawn().expect("the program starts");
        let stderr = BufReader::new(child.stderr.take().expect("its standard error"));
        let (sender, log) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok()));
        let started: String = log.recv_timeout(PATIENCE).expect("a line that says where it listens");
        let listen = started.strip_prefix("started listen=").expect(&started).to_string();
        let admin = config.contains("\"mgmt\"").then(|| {
            let line = log.recv_timeout(PATIENCE).expect("a line that says where operators call");
            line.strip_prefix("admin_started listen=").expect(&line).to_string()
        });
        Program { child, log, listen, admin, config: path }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().is_ok_and(|s| s.success()));
    }

    /// It stands still, as one does whose machine gives it no time.
    fn stop(&self) {
        self.signal("-STOP");
        let state = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&state).is_ok_and(|state| state.contains(") T ")) {
            thread::yield_now();
        }
    }

    fn logs(&self, wanted: &str) {
        let end = Instant::now() + PATIENCE;
        let mut others = Vec::new();
        while let Ok(line) = self.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if wanted.split(' ').all(|part| line.split(' ').any(|p| p == part)) {
                return;
            }
            others.push(line);
        }
        panic!("the log has no line with {wanted} but\n{}", others.join("\n"));
    }
}

/// The program, with none of this process's settings.
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

/// `3 * text` stands for the text three times, each with its number in place of `#`.
fn repeat(text: &str) -> String {
    let times = text.split_once(" * ").and_then(|(n, text)| Some((n.parse().ok()?, text)));
    times.map_or(text.to_string(), |(n, text): (usize, _)| {
        (0..n).map(|i| text.replace('#', &i.to_string())).collect()
    })
}

/// Plays one file.
pub fn play(script: &str) {
    let lines = || script.lines().map(str::trim_end).filter(|l| !l.is_empty() && !l.starts_with('#'));
    let of = |word: &'static str| lines().filter_map(move |l| l.strip_prefix(word));
    let mut parties: HashMap<String, Party> = HashMap::new();
    for discovery in ["d", "e"] {
        parties.insert(discovery.to_string(), Party::start(false, Manner::default()));
    }
    for member in of("member ") {
        let (name, rest) = member.split_once(' ').unwrap_or((member, ""));
        let has = |manner| rest.contains(manner);
        let manner = Manner { held: has("held"), stale: has("stale"), gated: has("gated") };
        parties.insert(name.to_string(), Party::start(true, manner));
    }
    let addresses: Vec<(String, String)> =
        parties.iter().map(|(name, p)| (format!("${name}"), p.address.clone())).collect();
    let fill = |text: &str| addresses.iter().fold(text.to_string(), |t, (n, a)| t.replace(n.as_str(), a));
    let hosts: Vec<String> = of("member ")
        .map(|m| {
            let name = m.split(' ').next().expect("a name");
            let role = if m.contains("primary") { "primary" } else { "replica" };
            fill(&format!(
                r#"{{"host":"{name}","dial":"${name}","site":"a","block":2,"health":"active","born_ms":0,"role":"{role}"}}"#
            ))
        })
        .collect();
    let attempts = of("attempts ").next().unwrap_or("4");
    let config = include_str!("../exchanges/config.json")
        .replace("$discovery", &parties["d"].address)
        .replace("$attempts", attempts)
        .replace("$sockets", of("sockets ").next().unwrap_or("256"))
        .replace("$hosts", &hosts.join(","));
    let probed = if lines().any(|l| l == "unprobed") { "false" } else { "true" };
    let config = config.replace("\"MayProbe\":true", &format!("\"MayProbe\":{probed}"));
    // Settings beside those of the file, or in their place.
    let config =
        of("settings ").fold(config, |config, text| config.replace(r#""Balancers":1,"#, &format!("{text},")));
    // Operators are the connections o1, o2 and so on.
    let operated = lines().any(|l| l.starts_with('o') && l.contains(" > "));
    let config = if operated { config.replacen('{', r#"{"mgmt":"127.0.0.1:0","#, 1) } else { config };
    let mut program = Program::start(&config, &parties["d"].address);
    let mut clients: HashMap<String, TcpStream> = HashMap::new();
    let mut keys: HashMap<String, Vec<u8>> = HashMap::new();
    for line in lines() {
        let (who, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (verb, text) = rest.split_once(' ').unwrap_or((rest, ""));
        let text = named(repeat(&fill(text)), &keys);
        match (who, verb) {
            ("member" | "attempts" | "sockets" | "unprobed" | "settings", _) => {}
            ("log", _) => program.logs(&fill(rest)),
            ("wait", ms) => thread::sleep(Duration::from_millis(ms.parse().expect("milliseconds"))),
            ("term", _) => program.signal("-TERM"),
            ("stop", _) => program.stop(),
            ("goes", "on") => program.signal("-CONT"),
            ("hup", cut) => {
                let length = if cut == "cut" { config.len() / 2 } else { config.len() };
                let moved = config.replace(&parties["d"].address, &parties["e"].address);
                std::fs::write(&program.config, &moved[..length]).expect("the configuration is written");
                program.signal("-HUP");
            }
            ("exit", code) => {
                let status = program.child.wait().expect("the program ends");
                assert_eq!(status.code().map(|c| c.to_string()).as_deref(), Some(code), "exit code");
            }
            (name, verb) if parties.contains_key(name) => {
                let party = parties.get_mut(name).expect("it is there");
                match verb {
                    "<" if text == "EOF" => party.sees_the_end(name),
                    "<" => party.hears(name, &text),
                    ">" => party.says(plain(&text)),
                    "opens" => party.open(),
                    "silent" => {
                        let asked =
                            party.messages.try_recv().map(|(_, asked)| asked.escape_ascii().to_string());
                        assert!(asked.is_err(), "{name} was asked {asked:?}");
                    }
                    "accepted" => {
                        let most: usize = text.parse().expect("a number");
                        let accepted = party.accepted.load(Ordering::Relaxed);
                        assert!(accepted <= most, "{line}: {accepted} connections");
                    }
                    "closes" => {
                        party.last.take().expect("it was asked").shutdown(Shutdown::Both).expect("open");
                    }
                    // A reset, whoever else holds the connection.
                    "resets" => {
                        let last = party.last.take().expect("it was asked");
                        rustix::net::connect_unspec(last).expect("open");
                    }
                    _ => panic!("{line}: unknown verb"),
                }
            }
            ("keys", _) => differ(rest.split(' ').map(|name| &keys[name]).collect()),
            (name, verb) => {
                let to = program.admin.as_ref().filter(|_| name.starts_with('o')).unwrap_or(&program.listen);
                let stream = clients.entry(name.to_string()).or_insert_with(|| connect(to));
                match verb {
                    ">" => stream.write_all(&plain(&text)).expect("taken"),
                    "<" if text == "EOF" => assert_eq!(stream.read(&mut [0]).ok(), Some(0), "{line}"),
                    "<" => {
                        let got = expect(name, stream, &text);
                        keys.extend(key(&got).map(|key| (name.to_string(), key)));
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

/// The process number and the secret that a greeting names.
fn key(got: &[u8]) -> Option<Vec<u8>> {
    let at = got.windows(5).position(|five| five == b"K\0\0\0\x0c")?;
    got.get(at + 5..at + 13).map(<[u8]>::to_vec)
}

/// Fills in `$key_c1`, what cancels the requests of `c1`, and `$wrong_c1`, the same with another secret.
fn named(text: String, keys: &HashMap<String, Vec<u8>>) -> String {
    let hex = |key: &[u8]| key.iter().map(|byte| format!("\\x{byte:02x}")).collect::<String>();
    keys.iter().fold(text, |text, (name, key)| {
        let wrong = [&key[..7], &[key[7] ^ 1]].concat();
        text.replace(&format!("$key_{name}"), &hex(key)).replace(&format!("$wrong_{name}"), &hex(&wrong))
    })
}

/// Each key has a number and a secret, and no two have either in common.
fn differ(keys: Vec<&Vec<u8>>) {
    for (i, key) in keys.iter().enumerate() {
        let (number, secret) = key.split_at(4);
        assert!(number != [0; 4] && secret != [0; 4], "{key:?} is no key");
        let others = &keys[..i];
        assert!(others.iter().all(|o| o[..4] != *number && o[4..] != *secret), "{key:?} among {others:?}");
    }
}

fn connect(listen: &str) -> TcpStream {
    let stream = TcpStream::connect(listen).expect("the program listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream.set_nodelay(true).expect("no delay");
    stream
}
