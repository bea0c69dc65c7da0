//! Fake members that answer as each statement asks.

use super::messages::message;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

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

/// The size of the pieces in which a long value is written.
static PIECE: [u8; 64 * 1024] = [b'v'; 64 * 1024];

/// Writes a row with one value of this many bytes.
fn write_row(stream: &mut TcpStream, length: usize) -> std::io::Result<()> {
    let message_length = (4 + 2 + 4 + length) as u32;
    let header =
        [&b"D"[..], &message_length.to_be_bytes(), b"\0\x01", &(length as u32).to_be_bytes()].concat();
    stream.write_all(&header)?;
    let mut remaining = length;
    while remaining > 0 {
        let count = remaining.min(PIECE.len());
        stream.write_all(&PIECE[..count])?;
        remaining -= count;
    }
    Ok(())
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
            // A row of this many bytes.
            requested if requested.starts_with("long ") => {
                let length = requested.split(' ').nth(1).and_then(|length| length.parse().ok());
                let length = length.expect("the length of a value");
                stream.write_all(&parts[0]).ok()?;
                write_row(&mut stream, length).ok()?;
                stream.write_all(&[parts[2].clone(), ready.clone()].concat()).ok()?;
            }
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
