//! Processes that listen on port 0 do not take over from one another.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

struct RunningProcess(Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process on any free port, with an admin address; returns its listen address.
fn start(folder: &std::path::Path, name: &str) -> (RunningProcess, String) {
    let config = include_str!("exchanges/config.json")
        .replace("$discovery", "127.0.0.1:1")
        .replace("$attempts", "4")
        .replace("$sockets", "256")
        .replace("$hosts", "")
        .replacen('{', r#"{"mgmt":"127.0.0.1:0","#, 1);
    let path = folder.join(name);
    std::fs::write(&path, config).expect("write the file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_wharfplank"));
    for name in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_MGMT"] {
        command.env_remove(name);
    }
    command.env("BALANCER_CONFIG", &path).env("TMPDIR", folder);
    let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the proxy starts");
    let mut line = String::new();
    let stderr = child.stderr.take().expect("its standard error");
    BufReader::new(stderr).read_line(&mut line).expect("a log line");
    let listen = line.trim_end().strip_prefix("started listen=").expect(&line).to_string();
    (RunningProcess(child), listen)
}

/// Guards against a process that takes over the socket and the member list of an unrelated one: both are
/// configured with port 0, and therefore looked for their predecessor at the same handover socket.
#[test]
fn processes_on_port_0_do_not_replace_each_other() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let (_first, one) = start(folder.path(), "one.json");
    let (_second, other) = start(folder.path(), "other.json");
    assert_ne!(one, other, "the processes share a listening socket");
}
