//! One proxy's process.

use super::Place;
use crate::clock::now;
use crate::member_model::Micros;
use async_io::Timer;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// How long a proxy may take to start, and to end on SIGTERM.
const START_MOST: Duration = Duration::from_secs(20);
const END_MOST: Duration = Duration::from_secs(8);

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub struct Used {
    /// CPU seconds of all threads, and of the first alone, which serves.
    pub cpu: f64,
    /// See `cpu`.
    pub serving: f64,
    /// MB of memory.
    pub memory: f64,
}

/// One proxy's process; it ends with its value.
pub(super) struct Proxy {
    child: Child,
    listens: Receiver<SocketAddr>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Proxy {
    pub(super) fn start(place: &Place, number: usize) -> Result<Proxy, String> {
        let of = |end: &str| place.directory.join(format!("n{number}.{end}"));
        let mut command = Command::new(place.program(number));
        command.arg("serve").env("BALANCER_CONFIG", of("json")).stdin(Stdio::null()).stderr(Stdio::piped());
        for name in ["BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_NAME"] {
            command.env_remove(name);
        }
        if place.has_settings(number) {
            command.arg("--settings").arg(of("xml"));
        }
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", place.program(number).display()))?;
        let lines = BufReader::new(child.stderr.take().ok_or("no standard error")?);
        let log = std::fs::OpenOptions::new().create(true).append(true).open(of("log"));
        let mut log = log.map_err(|e| format!("{}: {e}", of("log").display()))?;
        let (sender, listens) = channel();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let address = line.strip_prefix("started listen=").and_then(|a| a.parse().ok());
                address.map(|address| sender.send(address));
                let _ = writeln!(log, "{line}");
            }
        });
        Ok(Proxy { child, listens })
    }

    pub(super) async fn listens(&mut self) -> Result<SocketAddr, String> {
        let end = now() + START_MOST.as_micros() as Micros;
        loop {
            if let Ok(address) = self.listens.try_recv() {
                return Ok(address);
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("a proxy ended at its start: {status}"));
            }
            if now() > end {
                return Err("a proxy does not start".to_string());
            }
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// What it has used so far, where the system tells.
    pub(super) fn used(&self) -> Option<Used> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kib: f64 = rss.trim().trim_end_matches(" kB").parse().ok()?;
        let id = self.child.id();
        let cpu = seconds(&format!("/proc/{id}/stat"))?;
        // The first thread has the number of the process.
        let serving = seconds(&format!("/proc/{id}/task/{id}/stat"))?;
        Some(Used { cpu, serving, memory: kib / 1024.0 })
    }

    /// Asks it to end (SIGTERM).
    pub(super) fn ask_to_end(&self) -> Result<(), String> {
        let id = self.child.id().to_string();
        let asked = Command::new("kill").args(["-TERM", &id]).status();
        asked.map(drop).map_err(|e| format!("kill: {e}"))
    }

    /// Waits for its end, after [`Proxy::ask_to_end`].
    pub(super) async fn ended(mut self) -> Result<(), String> {
        let end = now() + END_MOST.as_micros() as Micros;
        while now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return if status.success() { Ok(()) } else { Err(format!("a proxy ended with {status}")) };
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        Err("a proxy did not end on SIGTERM".to_string())
    }
}

/// The CPU seconds that such a file tells.
fn seconds(path: &str) -> Option<f64> {
    let stat = std::fs::read_to_string(path).ok()?;
    let rest: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    // utime and stime, in hundredths of a second.
    Some((rest.get(11)?.parse::<f64>().ok()? + rest.get(12)?.parse::<f64>().ok()?) / 100.0)
}
