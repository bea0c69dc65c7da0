//! A client's connection, and the words of its requests.

use crate::fleet::CLASSES;
use async_io::Async;
use futures_lite::AsyncReadExt;
use std::net::TcpStream;
use wharfplank_protocol::client::{Client, Step, Verdict};

/// A connection to a proxy.
pub(super) struct Connection {
    pub(super) stream: Async<TcpStream>,
    pub(super) client: Client,
}

impl Connection {
    pub(super) async fn answer(&mut self) -> Option<Verdict> {
        loop {
            match self.client.advance(false) {
                Ok(Some(Step::Whole(answer))) => return Some(answer.verdict),
                Ok(Some(Step::Begun(..) | Step::Piece(_))) => continue,
                Ok(None) => {}
                Err(_) => return None,
            }
            match self.stream.read(self.client.buffer.space()).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.client.buffer.filled(count),
            }
        }
    }
}

pub(super) fn statement(number: u64, class: usize, group: usize, wrote: Option<i64>) -> String {
    let class = &CLASSES[class];
    let after = wrote.map_or(String::new(), |ms| format!(",after={ms}"));
    let (name, wait, key) = (class.name, class.wait / 1000, number % 997);
    let head = format!("/* id={number:x},c={name},d={wait},cluster={group}{after} */");
    match name {
        "write" => {
            format!("{head} INSERT INTO entries (ref, payload) VALUES ('{key:x}', '\\x9f') RETURNING payload")
        }
        _ => format!("{head} SELECT payload FROM entries WHERE ref = '{key:x}'"),
    }
}
