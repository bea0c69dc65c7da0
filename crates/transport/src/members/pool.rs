//! The connections to one member that stand ready: how they are opened, handed out and put back.

use super::connection::{Connection, IDLE, IN_USE};
use super::{Member, OPENING_MOST, PAUSE, REST};
use crate::{within, Ended, Part};
use async_channel::bounded;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::member_request;
use wharfplank_protocol::member_response::{ProtocolError, ResponseEvent, ResponseKind, ResponseReader};

impl Member {
    pub(super) fn top_up(self: &Rc<Self>) {
        let now = Instant::now();
        let paused = self.pause_until.get().is_some_and(|until| now < until);
        let unwanted = paused || !self.wanted.get();
        let spare = if unwanted { 0 } else { self.demand.get().spares((self.shared.now)()) };
        let waiting = self.waiters.borrow().iter().filter(|w| !w.is_closed()).count();
        let soon = self.idle.borrow().len() + self.resting.get();
        let need = (waiting + spare).saturating_sub(soon).min(OPENING_MOST);
        while self.opening.get() < need
            && self.open.get() + self.opening.get() < self.shared.most_each
            && self.shared.open.get() < self.shared.most.get()
            && self.may_open()
        {
            self.open_one();
        }
    }

    pub(super) fn open_one(self: &Rc<Self>) {
        self.opening.set(self.opening.get() + 1);
        self.shared.open.set(self.shared.open.get() + 1);
        let member = Rc::clone(self);
        self.shared.executor.spawn(async move { member.open().await }).detach();
    }

    /// Opens one connection and hands it on; a failure is told to the attempt that waits longest.
    async fn open(self: Rc<Self>) {
        let (peer, since) = (self.address.get(), Instant::now());
        let opened = within(since + self.shared.connect_timeout, self.connect(peer)).await;
        self.opening.set(self.opening.get() - 1);
        match opened {
            Some(Ok(connection)) => {
                self.pause_until.set(None);
                self.put(connection);
            }
            failed => {
                let reason = if failed.is_some() { "connect_failed" } else { "connect_timeout" };
                self.closed();
                let (side, name, requests) = ("member", &*self.name, 0);
                (self.shared.ends)(&Ended { side, peer, name, reason, requests, since });
                self.pause_until.set(Some(Instant::now() + PAUSE));
                loop {
                    let waiter = self.waiters.borrow_mut().pop_front();
                    match waiter {
                        Some(waiter) if waiter.try_send(None).is_err() => {}
                        _ => break,
                    }
                }
                self.top_up();
            }
        }
    }

    /// Connects and greets.
    async fn connect(self: &Rc<Self>, peer: SocketAddr) -> Result<Connection, ProtocolError> {
        let mut stream = Async::<TcpStream>::connect(peer).await.map_err(|_| ProtocolError)?;
        let _ = stream.get_ref().set_nodelay(true);
        stream
            .write_all(&member_request::startup_message("web", "orders"))
            .await
            .map_err(|_| ProtocolError)?;
        let mut client = ResponseReader::default();
        client.accepts_no_row = self.shared.rowless;
        loop {
            match client.advance(false) {
                Ok(Some(ResponseEvent::Complete(answer))) if answer.kind == ResponseKind::Done => break,
                Ok(Some(_)) | Err(_) => return Err(ProtocolError),
                Ok(None) => {}
            }
            match stream.read(client.buffer.spare()).await {
                Ok(0) | Err(_) => return Err(ProtocolError),
                Ok(count) => client.buffer.commit(count),
            }
        }
        self.open.set(self.open.get() + 1);
        let (member, now) = (Rc::clone(self), Instant::now());
        let (since, used, requests, memory) = (now, now, 0, Part::of(&self.shared.memory));
        Ok(Connection { stream, client, peer, member, since, used, requests, memory, reason: IDLE })
    }

    pub(super) fn put(self: &Rc<Self>, mut connection: Connection) {
        if self.excess().0 > 0 {
            return connection.end("over_budget");
        }
        // It came up, or served, while the member moved: another may listen at the old address by now.
        if connection.peer != self.address.get() {
            connection.end("moved");
            return self.top_up();
        }
        loop {
            let waiter = self.waiters.borrow_mut().pop_front();
            let Some(waiter) = waiter else { break };
            match waiter.try_send(Some(connection)) {
                Ok(()) => return self.top_up(),
                Err(back) => match back.into_inner() {
                    Some(back) => connection = back,
                    None => return,
                },
            }
        }
        connection.reason = IDLE;
        connection.client.buffer.release_memory();
        if self.wanted.get() {
            self.idle.borrow_mut().push(connection);
        } else {
            connection.reason = "left";
        }
    }

    /// Listens to a connection for a moment after its answer, then hands it on.
    pub(super) fn rest(self: &Rc<Self>, connection: Connection) {
        self.resting.set(self.resting.get() + 1);
        let member = Rc::clone(self);
        let task = async move {
            if !connection.client.has_partial_response() {
                within(Instant::now() + REST, connection.stream.readable()).await;
            }
            member.resting.set(member.resting.get() - 1);
            if connection.quiet() {
                return member.put(connection);
            }
            let spoke = connection.client.has_partial_response()
                || matches!(connection.stream.get_ref().peek(&mut [0]), Ok(1..));
            connection.end(if spoke { "unasked" } else { "member_closed" });
            member.top_up();
        };
        self.shared.executor.spawn(task).detach();
    }

    /// A connection to send on; `None` when none could be had.
    pub(super) async fn take(self: &Rc<Self>) -> Option<Connection> {
        let mut demand = self.demand.get();
        demand.used((self.shared.now)());
        self.demand.set(demand);
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(mut connection) = idle else { break };
            if !connection.quiet() {
                connection.reason = "member_closed";
                continue;
            }
            let (used, idle) = (connection.used, connection.used.elapsed());
            // Pools are tended now and then, and a member may close sooner than the next time.
            if idle >= self.shared.idle_most {
                connection.end("retired");
                continue;
            }
            self.top_up();
            if idle < self.shared.check_after.get() {
                return Some(connection);
            }
            if !self.open_for_work() {
                connection.end("left");
                return None;
            }
            connection.reason = IN_USE;
            match connection.alive().await {
                Some(true) => return Some(connection),
                // What stood idle for longer is no better.
                Some(false) => {
                    connection.end("stale");
                    self.shared.died(idle);
                    self.close_idle("stale", |c| c.used <= used);
                }
                None => {
                    connection.end("silent");
                    self.close_idle("silent", |_| true);
                    return None;
                }
            }
        }
        let (sender, receiver) = bounded(1);
        self.waiters.borrow_mut().retain(|w| !w.is_closed());
        self.waiters.borrow_mut().push_back(sender);
        self.top_up();
        let connection = receiver.recv().await.ok().flatten()?;
        // A member may greet and end at once: what is written to it then may have run, for all that can be known.
        if !connection.quiet() {
            connection.end("member_closed");
            return None;
        }
        Some(connection)
    }
}
