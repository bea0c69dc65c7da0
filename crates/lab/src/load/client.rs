//! How clients send their requests: over idle connections where there are some, with one retry of failed
//! writes.

use super::connection::Connection;
use super::{ClientOutcome, Load};
use async_io::Timer;
use futures_lite::future;
use std::time::Duration;
use wharfplank_protocol::member_response::ResponseKind;

/// The most idle connections to one proxy that are kept for further requests.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// The time for which a client waits for the answer to a retried write.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);

/// The rule by which clients retry a write that was answered as failed: the very same statement, once, at
/// another proxy. A client that received no answer does not retry, since it can't know what a crashed proxy
/// had forwarded.
#[derive(Clone, Debug, Default)]
pub struct WriteRetries {
    /// The delay before the retry.
    pub delay: Duration,
    /// The proxies that the clients of each proxy reach; no retries while empty.
    pub reachable_proxies: Vec<Vec<usize>>,
}

impl WriteRetries {
    /// Returns the proxy at which a client of `proxy` retries the request with this number.
    fn proxy_for(&self, proxy: usize, number: u64) -> Option<usize> {
        let reachable = self.reachable_proxies.get(proxy)?;
        let others: Vec<usize> = reachable.iter().copied().filter(|other| *other != proxy).collect();
        others.get(number as usize % others.len().max(1)).copied()
    }
}

impl Load {
    /// Sends a request and waits for the answer until the timer fires.
    pub(super) async fn send_until(&self, proxy: usize, text: &str, timeout: Timer) -> ClientOutcome {
        let timed_out = async {
            timeout.await;
            ClientOutcome::TimedOut
        };
        future::or(self.send(proxy, text), timed_out).await
    }

    /// Retries a write that failed, if its client reaches another proxy.
    pub(super) async fn retry_write(&self, proxy: usize, number: u64, text: &str) {
        let delay = self.write_retries.borrow().delay;
        Timer::after(delay).await;
        let other = self.write_retries.borrow().proxy_for(proxy, number);
        let Some(other) = other else { return };
        let outcome = self.send_until(other, text, Timer::after(RETRY_TIMEOUT)).await;
        self.retry_outcomes.borrow_mut().push(outcome);
    }

    async fn send(&self, proxy: usize, text: &str) -> ClientOutcome {
        let idle = self.idle_connections[proxy].borrow_mut().pop();
        if let Some(mut connection) = idle {
            if let Some(response) = connection.query(text).await {
                self.release(proxy, connection);
                return outcome_of(response);
            }
            // A proxy may close an idle connection just as a request is sent: that is sent once more.
            self.idle_connections[proxy].borrow_mut().clear();
        }
        let Some(mut connection) = self.connect(proxy).await else { return ClientOutcome::Unreachable };
        match connection.query(text).await {
            Some(response) => {
                self.release(proxy, connection);
                outcome_of(response)
            }
            None => ClientOutcome::ConnectionLost,
        }
    }

    async fn connect(&self, proxy: usize) -> Option<Connection> {
        let address = self.proxy_addresses[proxy].get()?;
        Connection::open(address).await
    }

    /// Keeps a connection for further requests, if there is room.
    fn release(&self, proxy: usize, connection: Connection) {
        let mut idle = self.idle_connections[proxy].borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Returns whether a proxy answers an empty query, which it does once it can serve.
    pub async fn is_ready(&self, proxy: usize) -> bool {
        let Some(mut connection) = self.connect(proxy).await else { return false };
        connection.query("").await == Some(ResponseKind::Done)
    }

    /// Forgets the address of a proxy that has ended, and its idle connections.
    pub fn remove_proxy(&self, proxy: usize) {
        self.proxy_addresses[proxy].set(None);
        self.idle_connections[proxy].borrow_mut().clear();
    }
}

fn outcome_of(response: ResponseKind) -> ClientOutcome {
    match response {
        ResponseKind::Row => ClientOutcome::Served,
        ResponseKind::Overloaded | ResponseKind::NotReady => ClientOutcome::Rejected,
        _ => ClientOutcome::Failed,
    }
}
