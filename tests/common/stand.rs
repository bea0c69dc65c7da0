//! Runs proxy processes with fake members and sends them requests and admin commands.
#![allow(dead_code)]

mod ports;
mod process_state;

pub use ports::free_port;

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Far longer than any step takes; only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of lines of a process's log that a failing test prints.
const PRINTED_LOG_LINES: usize = 100;

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// Reads messages up to and with `ReadyForQuery` and returns their tags; `None` if the connection ends first.
/// The error that ended it is printed, which a failing test shows.
pub fn read_response(stream: &mut impl Read) -> Option<String> {
    let mut tags = String::new();
    while !tags.ends_with('Z') {
        match read_message_tag(stream) {
            Ok(tag) => tags.push(tag),
            Err(error) => {
                eprintln!("response ended after the messages {tags:?}: {error} ({:?})", error.kind());
                return None;
            }
        }
    }
    Some(tags)
}

/// Reads one message and returns its tag.
fn read_message_tag(stream: &mut impl Read) -> io::Result<char> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    stream.read_exact(&mut vec![0; length - 4])?;
    Ok(char::from(head[0]))
}

/// Starts a fake primary; returns its address and the count of the statements that it received.
pub fn start_member() -> (String, Arc<AtomicUsize>) {
    start_member_with_role("primary")
}

/// Starts a fake member that answers as each statement asks (by default with a row), and counts the
/// statements.
pub fn start_member_with_role(role: &'static str) -> (String, Arc<AtomicUsize>) {
    let statement_count = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&statement_count);
    let observe = move |_: &str| {
        count.fetch_add(1, Ordering::Relaxed);
    };
    (start_observed_member(role, observe), statement_count)
}

/// Starts a fake member that passes each statement to `observe` before it answers; returns its address.
pub fn start_observed_member(role: &'static str, observe: impl Fn(&str) + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("local address").to_string();
    let observe = Arc::new(observe);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let observe = Arc::clone(&observe);
            thread::spawn(move || serve_connection(stream, role, &*observe));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, role: &str, observe: &dyn Fn(&str)) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
    let ready = [message(b'S', format!("role\0{role}\0").as_bytes()), message(b'Z', b"I")].concat();
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat()).ok()?;
    let row_description = b"\0\x01payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    let parts =
        [message(b'T', row_description), message(b'D', b"\0\x01\0\0\0\x01v"), message(b'C', b"SELECT 1\0")];
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head).ok()?;
        let mut text = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
        stream.read_exact(&mut text).ok()?;
        if text == b"\0" {
            stream.write_all(&[message(b'I', b""), message(b'Z', b"I")].concat()).ok()?;
            continue;
        }
        let text = String::from_utf8_lossy(&text);
        if !text.starts_with("SHOW") {
            observe(&text);
        }
        let error = |code: &str| message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
        match text.split_once("SELECT ").map_or("", |(_, requested)| requested.trim_end_matches('\0')) {
            "error" => stream.write_all(&[error("XX000"), ready.clone()].concat()).ok()?,
            "full" => stream.write_all(&[error("53300"), ready.clone()].concat()).ok()?,
            "miss" => stream.write_all(&[error("72000"), ready.clone()].concat()).ok()?,
            "reset" => return None,
            // No row, with the current position.
            requested if requested.starts_with("nothing") => {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis());
                let position = message(b'S', format!("applied_ms\0{now}\0").as_bytes());
                let empty_result = [parts[0].clone(), message(b'C', b"SELECT 0\0"), position].concat();
                stream.write_all(&[empty_result, ready.clone()].concat()).ok()?;
            }
            // No answer until the proxy closes the connection.
            "silence" => return stream.read_exact(&mut [0]).ok(),
            _ => stream.write_all(&[parts.concat(), ready.clone()].concat()).ok()?,
        }
    }
}

/// A proxy process, which is killed when dropped. If the test has failed, its log is printed then.
pub struct Process {
    pub child: Child,
    pub admin: String,
    config: PathBuf,
    log: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        if thread::panicking() {
            let text = std::fs::read_to_string(&self.log).unwrap_or_else(|error| error.to_string());
            let lines: Vec<&str> = text.lines().collect();
            let last = &lines[lines.len().saturating_sub(PRINTED_LOG_LINES)..];
            eprintln!("log of process {}:\n{}", self.child.id(), last.join("\n"));
        }
    }
}

impl Process {
    /// Starts a process on a port, with an admin address of its own and `folder` as `$TMPDIR`.
    pub fn start(folder: &Path, port: u16, members: &[(&str, &str)]) -> Process {
        Self::start_with_config(folder, port, members, |config| config)
    }

    /// Like [`Process::start`], with the configuration changed by `change`.
    pub fn start_with_config(
        folder: &Path,
        port: u16,
        members: &[(&str, &str)],
        change: impl FnOnce(String) -> String,
    ) -> Process {
        Self::start_with_settings(folder, port, members, change, None)
    }

    /// Like [`Process::start_with_config`], with further environment variables.
    pub fn start_with_environment(
        folder: &Path,
        port: u16,
        members: &[(&str, &str)],
        environment: &[(&str, &str)],
        change: impl FnOnce(String) -> String,
    ) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wharfplank"));
        command.envs(environment.iter().copied());
        Self::spawn(folder, port, members, change, command)
    }

    /// Like [`Process::start_with_config`], with a settings file.
    pub fn start_with_settings(
        folder: &Path,
        port: u16,
        members: &[(&str, &str)],
        change: impl FnOnce(String) -> String,
        settings: Option<&Path>,
    ) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wharfplank"));
        if let Some(settings) = settings {
            command.args(["serve", "--settings"]).arg(settings);
        }
        Self::spawn(folder, port, members, change, command)
    }

    /// Like [`Process::start_with_config`], with a limit of file descriptors in the system and in the
    /// configuration.
    pub fn start_with_descriptor_limit(
        folder: &Path,
        port: u16,
        members: &[(&str, &str)],
        change: impl FnOnce(String) -> String,
        descriptors: usize,
    ) -> Process {
        let mut command = Command::new("sh");
        command.args([
            "-c",
            "ulimit -n $0 && exec \"$1\"",
            &descriptors.to_string(),
            env!("CARGO_BIN_EXE_wharfplank"),
        ]);
        let sockets = format!("\"sockets\":{descriptors}");
        Self::spawn(folder, port, members, |c| change(c.replace("\"sockets\":256", &sockets)), command)
    }

    fn spawn(
        folder: &Path,
        port: u16,
        members: &[(&str, &str)],
        change: impl FnOnce(String) -> String,
        mut command: Command,
    ) -> Process {
        let hosts: Vec<String> = members
            .iter()
            .map(|(name, dial)| {
                format!(
                    r#"{{"host":"{name}","dial":"{dial}","site":"a","block":2,"health":"active","born_ms":0,"role":"primary"}}"#
                )
            })
            .collect();
        let unused_address = format!("127.0.0.1:{}", free_port());
        let admin = format!("127.0.0.1:{}", free_port());
        let config = include_str!("../exchanges/config.json")
            .replace("127.0.0.1:0", &format!("127.0.0.1:{port}"))
            .replace("$discovery", &unused_address)
            .replace("$attempts", "4")
            .replace("$sockets", "256")
            .replace("$hosts", &hosts.join(","))
            .replacen('{', &format!(r#"{{"mgmt":"{admin}","#), 1);
        let config = change(config);
        let path = folder.join(format!("{}.json", admin.replace(':', "-")));
        std::fs::write(&path, config).expect("write the file");
        for name in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_MGMT"] {
            command.env_remove(name);
        }
        command.env("BALANCER_CONFIG", &path).env("TMPDIR", folder);
        let log = path.with_extension("log");
        let error_output = File::create(&log).expect("create the log");
        let child = command.stdin(Stdio::null()).stderr(error_output).spawn().expect("the proxy starts");
        Process { child, admin, config: path, log }
    }

    /// Sends an admin command and returns the response; `None` if the process does not listen yet.
    pub fn admin_command(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect(&self.admin).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut text = String::new();
        BufReader::new(stream).read_line(&mut text).ok()?;
        Some(text.trim_end().to_string())
    }

    /// Waits until the process is ready to serve.
    pub fn wait_until_ready(&self) {
        for _ in 0..TEST_TIMEOUT.as_millis() / 10 {
            if self.admin_command("health").as_deref() == Some("ok ready") {
                return;
            }
            let state = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
            assert!(state.is_ok_and(|state| !state.contains(") Z ")), "the process has exited");
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the process did not become ready");
    }

    /// Waits for the process to exit; returns its exit code, or `None` if it did not exit in time or died by
    /// a signal. Which of the two it was is printed, with the state of a process that still runs.
    pub fn wait_for_exit(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().expect("query the exit status") {
                eprintln!("process {}: {status}", self.child.id());
                return status.code();
            }
            if Instant::now() >= deadline {
                let id = self.child.id();
                eprintln!("process {id} still runs after {limit:?}:\n{}", process_state::describe(id));
                return None;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().is_ok_and(|s| s.success()));
    }
}

/// Sends one request on a new connection and returns the message tags of its response.
pub fn request_once(port: u16, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    let text = format!("/* id={id},c=any,d=900000,cluster=2 */ SELECT 1");
    stream.write_all(&[startup(), query(&text)].concat()).ok()?;
    read_response(&mut stream)?;
    let tags = read_response(&mut stream);
    let _ = stream.shutdown(Shutdown::Both);
    tags
}
