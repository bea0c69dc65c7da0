//! The log on standard error: one line at the start, and one for each ended connection.

use crate::membership::Doubt;
use crate::transport::Ended;
use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, SyncSender};

/// Lines that may wait to be written; further ones are counted and dropped.
const LINES: usize = 1024;

/// Writes lines from a thread of its own: whoever reads standard error slowly must not stall serving.
pub struct Log {
    lines: SyncSender<String>,
    dropped: Cell<u64>,
}

impl Log {
    /// Starts the writer.
    pub fn start() -> std::io::Result<Self> {
        let (lines, received) = sync_channel::<String>(LINES);
        let write = move || {
            for line in received {
                // There is nobody left to tell of an error here.
                let _ = std::io::stderr().write_all(line.as_bytes());
            }
        };
        std::thread::Builder::new().name("log".to_string()).stack_size(64 * 1024).spawn(write)?;
        Ok(Log { lines, dropped: Cell::new(0) })
    }

    /// Notes that clients can connect.
    pub fn started(&self, listen: SocketAddr) {
        self.line(format!("started listen={listen}"));
    }

    /// Notes that the configuration was read anew.
    pub fn reloaded(&self, discovery: SocketAddr) {
        self.line(format!("reloaded discovery={discovery}"));
    }

    /// Notes that a new configuration cannot be used: the old one stays.
    pub fn kept(&self, what: &str) {
        self.line(format!("reload_failed kept=old what={what:?}"));
    }

    /// Notes how old the list of members is, or that an answer of discovery is not believed as it is, and how many
    /// members it would take out of use.
    pub fn list(&self, age: Option<&str>, doubt: Option<Doubt>, lacks: usize) {
        let doubt = doubt.map_or("-", |doubt| match doubt {
            Doubt::Back => "back",
            Doubt::Short => "short",
        });
        self.line(format!("list age={} doubt={doubt} lacks={lacks}", age.unwrap_or("-")));
    }

    /// Notes an ended connection.
    pub fn ended(&self, e: &Ended<'_>) {
        let name = if e.name.is_empty() { "-" } else { e.name };
        self.line(format!(
            "ended side={} peer={} name={} reason={} requests={} age_ms={}",
            e.side,
            e.peer,
            name,
            e.reason,
            e.requests,
            e.since.elapsed().as_millis()
        ));
    }

    fn line(&self, mut line: String) {
        let dropped = self.dropped.get();
        if dropped > 0 {
            line.push_str(&format!(" lines_dropped={dropped}"));
        }
        line.push('\n');
        match self.lines.try_send(line) {
            Ok(()) => self.dropped.set(0),
            Err(_) => self.dropped.set(dropped + 1),
        }
    }
}
