//! A client's connection, and the words of its requests.

use crate::member_model::CLASSES;
use async_io::Async;
use futures_lite::AsyncReadExt;
use std::net::TcpStream;
use wharfplank_protocol::member_response::{ResponseEvent, ResponseKind, ResponseReader};

/// A connection to a proxy.
pub(super) struct Connection {
    pub(super) stream: Async<TcpStream>,
    pub(super) client: ResponseReader,
}

impl Connection {
    pub(super) async fn answer(&mut self) -> Option<ResponseKind> {
        loop {
            match self.client.advance(false) {
                Ok(Some(ResponseEvent::Complete(answer))) => return Some(answer.kind),
                Ok(Some(ResponseEvent::StreamStarted { .. } | ResponseEvent::StreamChunk(_))) => continue,
                Ok(None) => {}
                Err(_) => return None,
            }
            match self.stream.read(self.client.buffer.spare()).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.client.buffer.commit(count),
            }
        }
    }
}

pub(super) fn statement(number: u64, class: usize, group: usize, wrote: Option<i64>) -> String {
    let class = &CLASSES[class];
    let after = wrote.map_or(String::new(), |ms| format!(",after={ms}"));
    let (name, wait, key) = (class.name, class.timeout / 1000, number % 997);
    let head = format!("/* id={number:x},c={name},d={wait},cluster={group}{after} */");
    match name {
        "write" => {
            format!("{head} INSERT INTO entries (ref, payload) VALUES ('{key:x}', '\\x9f') RETURNING payload")
        }
        _ => format!("{head} SELECT payload FROM entries WHERE ref = '{key:x}'"),
    }
}
