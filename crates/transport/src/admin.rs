//! The admin listener: a second port for operators, with one command a connection.
//!
//! It has connection slots of its own, and a silent caller keeps one only until another caller needs it: whatever clients
//! and members hold, an operator's call gets a slot.

use super::with_deadline;
use crate::socket::open;
use crate::socket::stream::TcpConnection;
use async_channel::{bounded, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::{Event, EventListener};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_admin::{Command, CommandError, CommandReader};

/// The most connections at a time.
pub const MAX_CONNECTIONS: usize = 16;
/// The limit for a caller to send its line.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// The limit for the broker's answer, which is due within 1 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// The limit for a caller to read its answer and to close.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay after a failed accept, as when no descriptor was left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The size of one read.
const READ_BYTES: usize = 256;

/// An operator's command on its way to the broker, with the way back for its answer.
#[derive(Debug)]
pub struct AdminCall {
    /// The command.
    pub command: Command,
    answer: Sender<String>,
}

impl AdminCall {
    /// Answers the call. A caller who has disconnected does not get the answer.
    pub fn answer(&self, text: String) {
        let _ = self.answer.try_send(text);
    }
}

/// Identifies a connection; a lower number is an older connection.
type ConnectionId = u64;

/// The admin listener and its connections.
pub struct AdminListener {
    executor: Rc<LocalExecutor<'static>>,
    calls: Sender<AdminCall>,
    open_connections: Cell<usize>,
    next_id: Cell<ConnectionId>,
    /// Evicts a connection whose line is not complete yet.
    evictions: RefCell<BTreeMap<ConnectionId, Rc<Event>>>,
    slot_freed: Event,
}

impl AdminListener {
    /// A listener without connections that sends its calls to `calls`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, calls: Sender<AdminCall>) -> Rc<Self> {
        Rc::new(AdminListener {
            executor,
            calls,
            open_connections: Cell::default(),
            next_id: Cell::default(),
            evictions: RefCell::default(),
            slot_freed: Event::new(),
        })
    }

    /// Accepts connections until it is dropped.
    pub async fn accept_connections(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match open::accept(&listener).await {
                Ok((stream, _)) => self.admit(stream).await,
                Err(_) => {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a connection once it has a slot.
    async fn admit(self: &Rc<Self>, stream: TcpConnection) {
        self.wait_for_slot().await;
        let id = self.next_id.replace(self.next_id.get() + 1);
        self.open_connections.set(self.open_connections.get() + 1);
        // Registered before its task first runs: many connections may come before that, and one of them must yield.
        let eviction = Rc::new(Event::new());
        let evicted = eviction.listen();
        self.evictions.borrow_mut().insert(id, eviction);
        let admin = Rc::clone(self);
        let task = async move {
            admin.serve(id, stream, evicted).await;
            admin.open_connections.set(admin.open_connections.get() - 1);
            admin.slot_freed.notify(usize::MAX);
        };
        self.executor.spawn(task).detach();
    }

    /// Waits for a free slot; the connection that has been silent longest has to yield its own.
    async fn wait_for_slot(&self) {
        while self.open_connections.get() >= MAX_CONNECTIONS {
            let slot_freed = self.slot_freed.listen();
            let oldest = self.evictions.borrow_mut().pop_first();
            if let Some((_, eviction)) = oldest {
                eviction.notify(usize::MAX);
            }
            slot_freed.await;
        }
    }

    async fn serve(&self, id: ConnectionId, mut stream: TcpConnection, evicted: EventListener) {
        // Without the option answers are slower, and no less correct.
        let _ = stream.get_ref().set_nodelay(true);
        let evicted = async {
            evicted.await;
            None
        };
        let command = future::or(read_command(&mut stream), evicted);
        let command = with_deadline(Instant::now() + READ_TIMEOUT, command).await.flatten();
        self.evictions.borrow_mut().remove(&id);
        let answer = match command {
            Some(Ok(command)) => self.call(command).await,
            Some(Err(error)) => format!("fail {error}\n"),
            None => return,
        };
        with_deadline(Instant::now() + WRITE_TIMEOUT, write_answer(&mut stream, &answer)).await;
    }

    /// Passes a command to the broker and waits for the answer.
    async fn call(&self, command: Command) -> String {
        let (answer, answered) = bounded(1);
        let call = async {
            self.calls.send(AdminCall { command, answer }).await.ok()?;
            answered.recv().await.ok()
        };
        let text = with_deadline(Instant::now() + ANSWER_TIMEOUT, call).await.flatten();
        text.unwrap_or_else(|| "fail not answered in time\n".to_string())
    }
}

/// Reads the caller's line; `None` where the caller disconnected without sending anything.
async fn read_command(stream: &mut TcpConnection) -> Option<Result<Command, CommandError>> {
    let mut reader = CommandReader::default();
    let mut bytes = [0; READ_BYTES];
    let mut has_read = false;
    loop {
        match stream.read(&mut bytes).await {
            Ok(0) if has_read => return Some(Err(CommandError::UnterminatedLine)),
            Ok(0) | Err(_) => return None,
            Ok(count) => {
                has_read = true;
                if let Some(command) = reader.feed(&bytes[..count]) {
                    return Some(command);
                }
            }
        }
    }
}

/// Writes the answer and waits until the caller closes. Closing the connection over unread bytes would reset it, and the
/// answer would be lost.
async fn write_answer(stream: &mut TcpConnection, answer: &str) -> std::io::Result<()> {
    stream.write_all(answer.as_bytes()).await?;
    stream.get_ref().shutdown(Shutdown::Write)?;
    let mut ignored = [0; READ_BYTES];
    while matches!(stream.read(&mut ignored).await, Ok(1..)) {}
    Ok(())
}
