//! The admin listener: a second port for operators, with one command per connection.
//!
//! Admin connections have their own slots, independent of client and member connections. A caller that has
//! not sent its command yet is evicted when another caller needs its slot, so that operators can always
//! connect.

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

/// The maximum number of concurrent connections.
pub const MAX_CONNECTIONS: usize = 16;
/// The time limit for a caller to send its command line.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// The time limit for the broker's answer. Callers are to be answered within 1 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// The time limit for a caller to read its answer and close the connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The size of the read buffer.
const READ_BYTES: usize = 256;

/// An operator's command for the broker, with the channel for its answer.
#[derive(Debug)]
pub struct AdminCall {
    /// The command.
    pub command: Command,
    answer: Sender<String>,
}

impl AdminCall {
    /// Answers the call. The answer is dropped if the caller has disconnected.
    pub fn answer(&self, text: String) {
        let _ = self.answer.try_send(text);
    }
}

/// The number of a connection; older connections have lower numbers.
type ConnectionId = u64;

/// The admin listener and its connections.
pub struct AdminListener {
    executor: Rc<LocalExecutor<'static>>,
    calls: Sender<AdminCall>,
    open_connections: Cell<usize>,
    next_id: Cell<ConnectionId>,
    /// The events that evict the connections whose command line is not complete yet.
    evictions: RefCell<BTreeMap<ConnectionId, Rc<Event>>>,
    slot_freed: Event,
}

impl AdminListener {
    /// Creates a listener that sends its calls to `calls`.
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

    /// Accepts connections until the future is dropped.
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

    /// Waits for a free slot and then serves the connection in a task.
    async fn admit(self: &Rc<Self>, stream: TcpConnection) {
        self.wait_for_slot().await;
        let id = self.next_id.replace(self.next_id.get() + 1);
        self.open_connections.set(self.open_connections.get() + 1);
        // Registered before the task first runs: many connections may be accepted before that, and one of
        // them must be evictable.
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

    /// Waits for a free slot, and evicts the oldest connection that has not completed its command line.
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
        // The option only affects latency, so errors are ignored.
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

/// Reads the caller's line; `None` if the caller disconnected without sending anything.
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

/// Writes the answer and waits until the caller closes the connection. Closing a connection that still has
/// unread bytes would reset it, and the answer would be lost.
async fn write_answer(stream: &mut TcpConnection, answer: &str) -> std::io::Result<()> {
    stream.write_all(answer.as_bytes()).await?;
    stream.get_ref().shutdown(Shutdown::Write)?;
    let mut ignored = [0; READ_BYTES];
    while matches!(stream.read(&mut ignored).await, Ok(1..)) {}
    Ok(())
}
