//! The process of one proxy.

use super::RunSetup;
use crate::clock::now;
use crate::member_model::Micros;
use async_io::Timer;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// The maximum time from the start of a proxy until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum time that a proxy takes to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(8);

/// The resources that a process has used.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// The CPU time of all threads, in seconds.
    pub cpu_seconds: f64,
    /// The CPU time of the main thread, which serves requests, in seconds.
    pub serving_cpu_seconds: f64,
    /// The resident memory, in MiB.
    pub memory_mib: f64,
}

/// The process of a proxy. It is killed when the value is dropped.
pub(super) struct ProxyProcess {
    child: Child,
    listen_addresses: Receiver<SocketAddr>,
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ProxyProcess {
    pub(super) fn start(setup: &RunSetup, number: usize) -> Result<ProxyProcess, String> {
        let file = |extension: &str| setup.directory.join(format!("n{number}.{extension}"));
        let mut command = Command::new(setup.program(number));
        command.arg("serve").env("BALANCER_CONFIG", file("json")).stdin(Stdio::null()).stderr(Stdio::piped());
        for name in ["BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_NAME"] {
            command.env_remove(name);
        }
        if setup.has_settings(number) {
            command.arg("--settings").arg(file("xml"));
        }
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", setup.program(number).display()))?;
        let lines = BufReader::new(child.stderr.take().ok_or("the proxy process has no standard error")?);
        let log = std::fs::OpenOptions::new().create(true).append(true).open(file("log"));
        let mut log = log.map_err(|e| format!("{}: {e}", file("log").display()))?;
        let (sender, listen_addresses) = channel();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let address = line.strip_prefix("started listen=").and_then(|a| a.parse().ok());
                address.map(|address| sender.send(address));
                let _ = writeln!(log, "{line}");
            }
        });
        Ok(ProxyProcess { child, listen_addresses })
    }

    /// Waits until the proxy listens, and returns its address.
    pub(super) async fn wait_until_listening(&mut self) -> Result<SocketAddr, String> {
        let deadline = now() + START_TIMEOUT.as_micros() as Micros;
        loop {
            if let Ok(address) = self.listen_addresses.try_recv() {
                return Ok(address);
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("a proxy exited before it listened: {status}"));
            }
            if now() > deadline {
                return Err("a proxy did not listen within 20 s of its start".to_string());
            }
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Returns the resources that the process has used, or `None` if `/proc` does not provide them.
    pub(super) fn usage(&self) -> Option<ProcessUsage> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kib: f64 = resident.trim().trim_end_matches(" kB").parse().ok()?;
        let id = self.child.id();
        let process_cpu = cpu_seconds(&format!("/proc/{id}/stat"))?;
        // The id of the main thread is that of the process.
        let main_thread_cpu = cpu_seconds(&format!("/proc/{id}/task/{id}/stat"))?;
        Some(ProcessUsage {
            cpu_seconds: process_cpu,
            serving_cpu_seconds: main_thread_cpu,
            memory_mib: kib / 1024.0,
        })
    }

    /// Sends SIGTERM to the process.
    pub(super) fn terminate(&self) -> Result<(), String> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status();
        status.map(drop).map_err(|e| format!("kill: {e}"))
    }

    /// Waits for the exit of the process after [`ProxyProcess::terminate`]; it must be successful.
    pub(super) async fn wait_for_exit(mut self) -> Result<(), String> {
        let deadline = now() + EXIT_TIMEOUT.as_micros() as Micros;
        while now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return if status.success() {
                    Ok(())
                } else {
                    Err(format!("a proxy exited with {status} after SIGTERM"))
                };
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        Err("a proxy did not exit within 8 s of SIGTERM".to_string())
    }
}

/// Returns the CPU time in a `stat` file of `/proc`, in seconds.
fn cpu_seconds(path: &str) -> Option<f64> {
    let stat = std::fs::read_to_string(path).ok()?;
    let rest: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    // utime and stime, in clock ticks of 10 ms.
    Some((rest.get(11)?.parse::<f64>().ok()? + rest.get(12)?.parse::<f64>().ok()?) / 100.0)
}
