//! Describes a running process from `/proc`, for a test that waited in vain for its end.

use std::fmt::Write;
use std::fs;
use std::path::Path;

/// Returns the state, wait channel and current system call of each thread, and the open sockets.
pub fn describe(process: u32) -> String {
    let directory = format!("/proc/{process}");
    let mut text = String::new();
    for thread in entries(&format!("{directory}/task")) {
        let read = |file: &str| read_line(&Path::new(&thread).join(file));
        let (name, wait_channel, system_call) = (read("comm"), read("wchan"), read("syscall"));
        let _ = writeln!(
            text,
            "  thread {name}: {}, waits in {wait_channel}, system call {system_call}",
            state(&thread)
        );
    }
    let descriptors = entries(&format!("{directory}/fd"));
    let targets = descriptors.iter().filter_map(|descriptor| fs::read_link(descriptor).ok());
    let sockets = targets.filter(|target| target.to_string_lossy().starts_with("socket:")).count();
    let _ = writeln!(text, "  {} descriptors, {sockets} of them sockets", descriptors.len());
    text
}

/// Returns the paths in a directory; none if it cannot be read.
fn entries(directory: &str) -> Vec<String> {
    let read = fs::read_dir(directory).into_iter().flatten().flatten();
    read.map(|entry| entry.path().display().to_string()).collect()
}

fn read_line(path: &Path) -> String {
    fs::read_to_string(path).map_or_else(|error| error.to_string(), |text| text.trim().to_string())
}

/// Returns the scheduling state of a thread.
fn state(thread: &str) -> String {
    let status = fs::read_to_string(Path::new(thread).join("status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("State:"));
    line.map_or_else(|| "state unknown".to_string(), |state| state.trim().to_string())
}
