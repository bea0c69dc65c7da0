//! Processes that take any free port are proxies of their own, also beside each other.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts one on any free port, with a door; the address where it listens.
fn start(folder: &std::path::Path, name: &str) -> (Running, String) {
    let config = include_str!("exchanges/config.json")
        .replace("$discovery", "127.0.0.1:1")
        .replace("$attempts", "4")
        .replace("$sockets", "256")
        .replace("$hosts", "")
        .replacen('{', r#"{"mgmt":"127.0.0.1:0","#, 1);
    let path = folder.join(name);
    std::fs::write(&path, config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_wharfplank"));
    for name in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_MGMT"] {
        command.env_remove(name);
    }
    command.env("BALANCER_CONFIG", &path).env("TMPDIR", folder);
    let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().expect("it starts");
    let mut line = String::new();
    let stderr = child.stderr.take().expect("its standard error");
    BufReader::new(stderr).read_line(&mut line).expect("a line");
    let listen = line.trim_end().strip_prefix("started listen=").expect(&line).to_string();
    (Running(child), listen)
}

/// Guards against a process that takes over the socket and the list of another that has nothing to do with it: both
/// were told port 0, and so looked for the process before them in the same place.
#[test]
fn two_that_take_any_port_do_not_replace_each_other() {
    let folder = tempfile::tempdir().expect("a folder");
    let (_first, one) = start(folder.path(), "one.json");
    let (_second, other) = start(folder.path(), "other.json");
    assert_ne!(one, other, "each has a socket of its own");
}
