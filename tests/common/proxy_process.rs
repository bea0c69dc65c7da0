//! Runs proxy processes with fake members and sends them requests and admin commands.
#![allow(dead_code)]

mod fake_member;
mod messages;
mod ports;
mod process_state;

// Each test file uses some of these.
#[allow(unused_imports)]
pub use fake_member::{start_member, start_member_with_role, start_observed_member};
#[allow(unused_imports)]
pub use messages::{query, read_response, startup};
pub use ports::free_port;

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than any step takes; only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of lines of a process's log that a failing test prints.
const PRINTED_LOG_LINES: usize = 100;

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

    /// Waits until the log of the process has a line with this text.
    pub fn wait_for_log(&self, text: &str) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !std::fs::read_to_string(&self.log).is_ok_and(|log| log.contains(text)) {
            assert!(Instant::now() < deadline, "the log has no line with {text:?}");
            thread::sleep(Duration::from_millis(10));
        }
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
