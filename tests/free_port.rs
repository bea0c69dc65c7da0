//! The ports that tests give to the processes that they start.

#[path = "common/ports.rs"]
mod ports;

use ports::free_port;
use std::collections::BTreeSet;
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

const PORTS: usize = 5_000;
/// The number of threads that start other processes meanwhile.
const STARTERS: usize = 4;

/// Guards against a port that still listens in a child process which another thread has forked and which has
/// not yet executed its program: a client's connection to it was accepted and reset, and the process that was
/// to get the port found it in use.
#[test]
fn a_free_port_is_free_while_other_threads_start_processes() {
    let stop = AtomicBool::new(false);
    let (accepted, in_use) = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let status = Command::new("true").status();
                    assert!(status.is_ok_and(|status| status.success()));
                }
            });
        }
        let counts = count_taken_ports();
        stop.store(true, Ordering::Relaxed);
        counts
    });
    assert_eq!((accepted, in_use), (0, 0), "ports that accepted a connection, and ports that were in use");
}

/// Returns how many of [`PORTS`] free ports accepted a connection, and how many could not be listened on.
fn count_taken_ports() -> (usize, usize) {
    let mut counts = (0, 0);
    for _ in 0..PORTS {
        let address = ("127.0.0.1", free_port());
        counts.0 += usize::from(TcpStream::connect(address).is_ok());
        counts.1 += usize::from(TcpListener::bind(address).is_err());
    }
    counts
}

/// Guards against a port that is handed out twice in one test program: a client that waits for a process at its
/// port was accepted, and dropped, by a process of another test. The ports are not in use when the next one is
/// asked for, as that of a process that has not started yet.
#[test]
fn a_port_is_handed_out_once() {
    /// More than the ports of one block.
    const PORTS_OF_A_TEST_PROGRAM: usize = 450;
    let ports: BTreeSet<u16> = (0..PORTS_OF_A_TEST_PROGRAM).map(|_| free_port()).collect();
    assert_eq!(ports.len(), PORTS_OF_A_TEST_PROGRAM);
}
