//! The door for operators: a second listener, one line a connection.
//!
//! Its few places are its own, and a caller who says nothing keeps one only until another comes: whatever clients and
//! members hold, a call finds one.

use super::with_deadline;
use async_channel::{bounded, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::{Event as Bell, EventListener};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_admin::{Command, CommandError, CommandReader};

/// Callers at one time.
pub const PLACES: usize = 16;
/// What a caller may take for its line.
const LINE_WAIT: Duration = Duration::from_secs(6);
/// What the broker may take for an answer; one is due within 1 s.
const ANSWER_WAIT: Duration = Duration::from_millis(900);
/// What a caller may take to read its answer, and to close after it.
const WRITE_WAIT: Duration = Duration::from_secs(1);
/// Pause where no descriptor was left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// An operator's command on its way to the broker, with the way back for its answer.
#[derive(Debug)]
pub struct AdminCall {
    /// The command.
    pub command: Command,
    answer: Sender<String>,
}

impl AdminCall {
    /// Answers it. A caller who has gone meanwhile hears nothing.
    pub fn answer(&self, text: String) {
        let _ = self.answer.try_send(text);
    }
}

/// The callers.
pub struct Admin {
    executor: Rc<LocalExecutor<'static>>,
    broker: Sender<AdminCall>,
    open: Cell<usize>,
    numbers: Cell<u64>,
    /// Those whose line has not ended, by age.
    silent: RefCell<BTreeMap<u64, Rc<Bell>>>,
    /// Rung when a place is free.
    free: Bell,
}

impl Admin {
    /// Nobody has called yet; calls go to `broker`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, broker: Sender<AdminCall>) -> Rc<Self> {
        let (open, numbers, silent, free) = Default::default();
        Rc::new(Admin { executor, broker, open, numbers, silent, free })
    }

    /// Takes callers for good.
    pub async fn listen(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream).await,
                Err(_) => drop(Timer::after(ACCEPT_PAUSE).await),
            }
        }
    }

    /// Gives a caller a place: the one who has been silent longest makes room.
    async fn admit(self: &Rc<Self>, stream: Async<TcpStream>) {
        while self.open.get() >= PLACES {
            let free = self.free.listen();
            let oldest = self.silent.borrow_mut().pop_first();
            if let Some((_, bell)) = oldest {
                bell.notify(usize::MAX);
            }
            free.await;
        }
        let number = self.numbers.replace(self.numbers.get() + 1);
        self.open.set(self.open.get() + 1);
        // Known as silent before its task first runs: many may come before that, and one of them must make room.
        let bell = Rc::new(Bell::new());
        let evicted = bell.listen();
        self.silent.borrow_mut().insert(number, bell);
        let admin = Rc::clone(self);
        let task = async move {
            admin.serve(number, stream, evicted).await;
            admin.open.set(admin.open.get() - 1);
            admin.free.notify(usize::MAX);
        };
        self.executor.spawn(task).detach();
    }

    async fn serve(&self, number: u64, mut stream: Async<TcpStream>, evicted: EventListener) {
        let _ = stream.get_ref().set_nodelay(true);
        let evicted = async {
            evicted.await;
            None
        };
        let line = future::or(read(&mut stream), evicted);
        let line = with_deadline(Instant::now() + LINE_WAIT, line).await.flatten();
        self.silent.borrow_mut().remove(&number);
        let Some(line) = line else { return };
        let text = match line {
            Ok(command) => self.ask(command).await,
            Err(error) => format!("fail {error}\n"),
        };
        let rest = async {
            stream.write_all(text.as_bytes()).await.ok()?;
            stream.get_ref().shutdown(Shutdown::Write).ok()?;
            // One closed over unread bytes is reset, and the answer would be lost with it.
            let mut sink = [0; 256];
            while matches!(stream.read(&mut sink).await, Ok(1..)) {}
            Some(())
        };
        with_deadline(Instant::now() + WRITE_WAIT, rest).await;
    }

    async fn ask(&self, command: Command) -> String {
        let (answer, answered) = bounded(1);
        let work = async {
            self.broker.send(AdminCall { command, answer }).await.ok()?;
            answered.recv().await.ok()
        };
        let text = with_deadline(Instant::now() + ANSWER_WAIT, work).await.flatten();
        text.unwrap_or_else(|| "fail not answered in time\n".to_string())
    }
}

/// The caller's line; `None` where the caller left without a word.
async fn read(stream: &mut Async<TcpStream>) -> Option<Result<Command, CommandError>> {
    let (mut reader, mut piece) = (CommandReader::default(), [0; 256]);
    let mut heard = false;
    loop {
        match stream.read(&mut piece).await {
            Ok(0) if heard => return Some(Err(CommandError::UnterminatedLine)),
            Ok(0) | Err(_) => return None,
            Ok(count) => {
                heard = true;
                if let Some(command) = reader.feed(&piece[..count]) {
                    return Some(command);
                }
            }
        }
    }
}
