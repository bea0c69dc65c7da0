//! The link between the two processes: the reply to a request, and the messages that follow.

use super::descriptor::{send_listener, BUSY};
use super::{HandoverEvent, Inherited, MAX_LINE_BYTES, WRITE_TIMEOUT};
use crate::socket::stream::Connection;
use crate::{with_deadline, ProxyEvent};
use async_channel::{bounded, Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::io::BufReader;
use futures_lite::{future, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Instant;
use wharfplank_admin::{HandoverMessage, HandoverState};

/// The maximum number of messages that wait to be written; beyond that the other process is considered
/// disconnected.
const MAX_QUEUED_MESSAGES: usize = 256;

/// The sending side of the link to the other process. Dropping it closes the link.
#[derive(Debug)]
pub struct HandoverLink {
    outgoing: Sender<HandoverMessage>,
}

impl HandoverLink {
    /// Accepts a request: sends the listening socket and the state to the new process, and then exchanges
    /// messages with it.
    pub fn accept(
        executor: &Rc<LocalExecutor<'static>>,
        stream: Async<UnixStream>,
        listener: Rc<Async<TcpListener>>,
        state: &HandoverState,
        events: Sender<ProxyEvent>,
    ) -> HandoverLink {
        let (outgoing, queued) = bounded(MAX_QUEUED_MESSAGES);
        let state_line = to_line(state);
        let task = async move {
            let mut stream = Connection::from(stream);
            let reply = send_reply(&mut stream, &listener, &state_line);
            match with_deadline(Instant::now() + WRITE_TIMEOUT, reply).await {
                Some(Ok(())) => exchange_messages(BufReader::new(stream), queued, events).await,
                Some(Err(_)) | None => report(&events, HandoverEvent::Disconnected).await,
            }
        };
        executor.spawn(task).detach();
        HandoverLink { outgoing }
    }

    /// Sends a message. Returns false if the message cannot be queued; the link is then closed, since the
    /// state of the two processes would diverge.
    pub fn send(&self, message: HandoverMessage) -> bool {
        let is_queued = self.outgoing.try_send(message).is_ok();
        if !is_queued {
            self.outgoing.close();
        }
        is_queued
    }
}

impl Inherited {
    /// Starts to exchange messages with the running process.
    pub fn into_link(
        self,
        executor: &Rc<LocalExecutor<'static>>,
        events: Sender<ProxyEvent>,
    ) -> HandoverLink {
        let (outgoing, queued) = bounded(MAX_QUEUED_MESSAGES);
        executor.spawn(exchange_messages(self.stream, queued, events)).detach();
        HandoverLink { outgoing }
    }
}

/// Rejects a request because another process is already taking over.
pub async fn reject(stream: Async<UnixStream>) {
    let mut stream = Connection::from(stream);
    // If this fails, the requesting process times out.
    with_deadline(Instant::now() + WRITE_TIMEOUT, stream.write_all(&[BUSY])).await;
}

async fn send_reply(
    stream: &mut Connection<UnixStream>,
    listener: &Async<TcpListener>,
    state_line: &[u8],
) -> io::Result<()> {
    stream.as_async().write_with(|stream| send_listener(stream, listener)).await?;
    stream.write_all(state_line).await
}

/// Exchanges messages until either side closes the link.
async fn exchange_messages(
    stream: BufReader<Connection<UnixStream>>,
    queued: Receiver<HandoverMessage>,
    events: Sender<ProxyEvent>,
) {
    let writer = stream.get_ref().get_ref().try_clone().and_then(Connection::new);
    future::or(receive_messages(stream, &events), send_messages(writer, queued)).await;
    report(&events, HandoverEvent::Disconnected).await;
}

/// Receives messages. An unreadable message closes the link, since the state of the two processes would
/// diverge.
async fn receive_messages(mut stream: BufReader<Connection<UnixStream>>, events: &Sender<ProxyEvent>) {
    let mut line = String::new();
    while let Ok(1..) = (&mut stream).take(MAX_LINE_BYTES).read_line(&mut line).await {
        let Ok(message) = serde_json::from_str(&line) else { return };
        line.clear();
        let event = ProxyEvent::Handover(HandoverEvent::Message(message));
        if events.send(event).await.is_err() {
            return;
        }
    }
}

async fn send_messages(writer: io::Result<Connection<UnixStream>>, queued: Receiver<HandoverMessage>) {
    let Ok(mut writer) = writer else { return };
    while let Ok(message) = queued.recv().await {
        let line = to_line(&message);
        let written = with_deadline(Instant::now() + WRITE_TIMEOUT, writer.write_all(&line)).await;
        if !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}

async fn report(events: &Sender<ProxyEvent>, event: HandoverEvent) {
    // If the channel is closed, this process is about to exit.
    let _ = events.send(ProxyEvent::Handover(event)).await;
}

fn to_line(value: &impl serde::Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line
}
