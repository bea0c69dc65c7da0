//! Service discovery: the endpoint list of the stand-in members over HTTP, with long polls.

use super::StandIns;
use crate::clock::now;
use crate::member_model::{Member, Micros};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The longest time that a poll may wait for a change, in milliseconds.
const MAX_POLL_WAIT_MS: u64 = 60_000;
/// The interval at which a waiting poll checks for a change.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const MICROS_PER_MS: u64 = 1000;

impl StandIns {
    /// Starts a service discovery agent and returns its address.
    ///
    /// # Errors
    ///
    /// If a socket can't be bound.
    pub fn start_discovery(self: &Rc<Self>) -> std::io::Result<SocketAddr> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        self.executor.spawn(Rc::clone(self).accept_polls(listener)).detach();
        Ok(address)
    }

    /// Returns the complete endpoint list in the form of service discovery.
    pub fn endpoint_list(&self) -> Value {
        let model = self.model.borrow();
        let addresses = self.addresses.borrow();
        let members = model.members.iter().zip(addresses.iter());
        let endpoints: Vec<Value> = members.map(|(member, address)| endpoint(member, *address)).collect();
        json!({"seq": self.list_version.get(), "whole": true, "hosts": endpoints})
    }

    async fn accept_polls(self: Rc<Self>, listener: Async<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            let stand_ins = Rc::clone(&self);
            let serve = async move {
                // A broken connection affects only its client.
                let _ = stand_ins.serve_polls(stream).await;
            };
            self.executor.spawn(serve).detach();
        }
    }

    async fn serve_polls(&self, mut stream: Async<TcpStream>) -> std::io::Result<()> {
        while let Some(head) = read_request_head(&mut stream).await? {
            let body = self.answer_poll(&head).await.to_string();
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(response.as_bytes()).await?;
            future::yield_now().await;
        }
        Ok(())
    }

    /// Returns the answer to a poll: the endpoint list, or that nothing has changed since the version in the
    /// poll.
    async fn answer_poll(&self, head: &str) -> Value {
        let Some(known_version) = query_number(head, "index") else { return self.endpoint_list() };
        let wait_ms = query_number(head, "wait").unwrap_or(0).min(MAX_POLL_WAIT_MS);
        let deadline = now() + (wait_ms * MICROS_PER_MS) as Micros;
        while self.list_version.get() <= known_version && now() < deadline {
            Timer::after(CHANGE_CHECK_INTERVAL).await;
        }
        if self.list_version.get() <= known_version {
            return json!({"seq": self.list_version.get(), "whole": false, "hosts": []});
        }
        self.endpoint_list()
    }
}

fn endpoint(member: &Member, address: SocketAddr) -> Value {
    json!({
        "host": member.name,
        "dial": address.to_string(),
        "site": member.zone,
        "class": "m4",
        "block": member.group,
        "health": if member.is_draining { "leaving" } else { "active" },
        "share": 1.0,
        "born_ms": member.started_at / 1000,
        "role": member.role(),
    })
}

/// Reads the head of an HTTP request; none at the end of the connection.
async fn read_request_head(stream: &mut Async<TcpStream>) -> std::io::Result<Option<String>> {
    let mut head = Vec::new();
    let mut bytes = [0; 1024];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut bytes).await? {
            0 => return Ok(None),
            count => head.extend_from_slice(&bytes[..count]),
        }
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}

/// Returns the number that a query parameter of a request has.
fn query_number(head: &str, name: &str) -> Option<u64> {
    let (_, value) = head.split_once(&format!("{name}="))?;
    let digits: String = value.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
