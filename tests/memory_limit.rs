//! Private memory of a process whose clients read long values slowly and write slowly.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{free_port, query, start_member, startup, Process};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: usize = 32;
/// With the writers, a third of the descriptors that a proxy has.
const READERS: usize = 195;
const WRITERS: usize = 140;
const DESCRIPTORS: &str = "1024";
const LONG_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// The pace of a reader, in bytes per second.
const READ_PACE: f64 = 300_000.0;
const WRITTEN_BYTES: usize = 128 * 1024;
const WRITE_PIECE_BYTES: usize = 8 * 1024;
const WRITE_PIECE_INTERVAL: Duration = Duration::from_millis(110);
/// Memory is most in use from the fourth second on.
const DURATION: Duration = Duration::from_secs(7);

/// A client that has asked for two long values and reads them slowly.
struct Reader {
    stream: TcpStream,
    taken: usize,
}

impl Reader {
    fn new(port: u16, number: usize) -> Reader {
        let mut stream = TcpStream::connect(("127.0.0.1", port)).expect("the process listens");
        set_socket_recv_buffer_size(&stream, 64 * 1024).expect("set the receive buffer");
        let value = |n: usize| {
            let comment = format!("id=read-{number}-{n},c=any,d=900000,cluster={}", 1 + (number + n) % 3);
            query(&format!("/* {comment} */ SELECT long {LONG_VALUE_BYTES}"))
        };
        stream.write_all(&[startup(), value(0), value(1)].concat()).expect("write to the socket");
        stream.set_nonblocking(true).expect("set non-blocking mode");
        Reader { stream, taken: 0 }
    }

    /// Reads what the pace allows, as far as it has arrived.
    fn read_up_to(&mut self, allowed: usize, buffer: &mut [u8]) {
        while self.taken < allowed {
            let count = buffer.len().min(allowed - self.taken);
            match self.stream.read(&mut buffer[..count]) {
                Ok(taken @ 1..) => self.taken += taken,
                _ => return,
            }
        }
    }
}

/// Writes a large statement in small pieces, again and again.
fn write_slowly(port: u16, number: usize, until: Instant) {
    let value = "f".repeat(WRITTEN_BYTES);
    let mut n = 0;
    while Instant::now() < until {
        let comment = format!("id=write-{number}-{n},c=put,d=2000,cluster={}", 1 + number % 3);
        let request = [startup(), query(&format!("/* {comment} */ SELECT '{value}'"))].concat();
        if let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) {
            for piece in request.chunks(WRITE_PIECE_BYTES) {
                if stream.write_all(piece).is_err() {
                    break;
                }
                thread::sleep(WRITE_PIECE_INTERVAL);
            }
        }
        n += 1;
    }
}

/// Private memory of a process in kB: neither its program file nor buffers of the system count.
fn private_kb(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("RssAnon")).expect("its private memory");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Guards against a process that its platform kills for memory: chunks of streamed values, output that waits
/// for slow clients and large requests that arrive slowly, all at once.
#[test]
fn slow_clients_do_not_drive_a_process_past_its_memory_limit() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let members: Vec<(String, String)> = (1..=3).map(|n| (format!("m{n}"), start_member().0)).collect();
    let members: Vec<(&str, &str)> = members.iter().map(|(name, dial)| (&**name, &**dial)).collect();
    let port = free_port();
    let process = Process::start_with_config(folder.path(), port, &members, |config| {
        let config = (1..=3).fold(config, |config, group| {
            config.replacen("\"block\":2,", &format!("\"block\": {group},"), 1)
        });
        config
            .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
            .replace("\"sockets\":256", &format!("\"sockets\":{DESCRIPTORS}"))
    });
    process.wait_until_ready();
    let since = Instant::now();
    for number in 0..WRITERS {
        thread::spawn(move || write_slowly(port, number, since + DURATION));
    }
    let mut readers: Vec<Reader> = (0..READERS).map(|number| Reader::new(port, number)).collect();
    let mut buffer = vec![0; 16 * 1024];
    let mut most = 0;
    while since.elapsed() < DURATION {
        let allowed = (since.elapsed().as_secs_f64() * READ_PACE) as usize;
        readers.iter_mut().for_each(|reader| reader.read_up_to(allowed, &mut buffer));
        most = most.max(private_kb(process.child.id()));
        thread::sleep(Duration::from_millis(20));
    }
    let taken: usize = readers.iter().map(|reader| reader.taken).sum();
    println!("most private memory {most} kB, {taken} bytes taken");
    assert!(taken > READERS * READ_PACE as usize, "the readers got {taken} bytes");
    assert!(most < MEMORY_MB * 1024, "{most} kB of private memory");
}
