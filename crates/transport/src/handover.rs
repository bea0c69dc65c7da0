//! The Unix socket over which a process that replaces another gets the listening socket and what is known, and on which
//! the two tell each other [`HandoverMessage`]s until one ends. Messages are lines of JSON.

mod post;

pub use post::Post;

use super::{with_deadline, ProxyEvent};
use async_channel::{bounded, Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::io::BufReader;
use futures_lite::{future, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use rustix::net::{
    recvmsg, sendmsg, socket_with, sockopt, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage,
    RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketFlags, SocketType,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_admin::handover::PROTOCOL_VERSION;
use wharfplank_admin::{HandoverMessage, HandoverState};

/// The byte that carries the listening socket, and the one that says that another process replaces this one already.
const HERE: u8 = b'L';
const LATE: u8 = b'B';
/// The longest line: a state of some thousand members.
const LINE_MOST: u64 = 4 * 1024 * 1024;
/// What the older process may take for its whole answer, at the start of the younger.
const ASK_WAIT: Duration = Duration::from_millis(1_500);
const WRITE_WAIT: Duration = Duration::from_secs(1);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Messages that may wait to be written; the other process counts as lost past that.
const WORDS: usize = 256;

/// What is heard of the other process.
#[derive(Debug)]
pub enum Other {
    /// It asks to replace this one.
    Asks(Async<UnixStream>),
    /// It says something.
    Says(HandoverMessage),
    /// It is gone.
    Lost,
}

/// What the younger process begins with.
#[derive(Debug)]
pub struct Inherited {
    listener: TcpListener,
    /// What the older one knows.
    pub state: HandoverState,
    stream: BufReader<Async<UnixStream>>,
}

/// Where words for the other process go. The link ends when this is dropped.
#[derive(Debug)]
pub struct Link {
    words: Sender<HandoverMessage>,
}

impl Link {
    /// Tells the other process something; false where it takes no more. It counts as lost then: the two would differ.
    pub fn say(&self, word: HandoverMessage) -> bool {
        let taken = self.words.try_send(word).is_ok();
        if !taken {
            self.words.close();
        }
        taken
    }
}

/// A socket for clients to connect to. Where it is `shared`, another process may listen at the address already: one
/// that did not hand its own over.
pub fn bind(at: SocketAddr, shared: bool) -> io::Result<Async<TcpListener>> {
    if !shared {
        return TcpListener::bind(at).and_then(Async::new);
    }
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &at)?;
    rustix::net::listen(&socket, BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

/// The path of the socket of the proxy at an address, in `$TMPDIR`.
pub fn path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("wharfplank-{}-{}.sock", listen.ip(), listen.port()))
}

/// Asks the process at this address to be replaced. `Ok(None)` where there is none, or one that does not answer in the
/// way this one knows, or not whole within [`ASK_WAIT`]; an error where another replaces it already.
pub fn ask(path: &Path) -> io::Result<Option<Inherited>> {
    let Ok(stream) = UnixStream::connect(path) else { return Ok(None) };
    let inherited =
        async { with_deadline(Instant::now() + ASK_WAIT, inherit(Async::new(stream)?)).await.transpose() };
    match async_io::block_on(inherited) {
        Err(e) if e.kind() == io::ErrorKind::ResourceBusy => Err(e),
        other => Ok(other.ok().flatten()),
    }
}

async fn inherit(stream: Async<UnixStream>) -> io::Result<Inherited> {
    let rights = stream.read_with(take).await?;
    let listener = TcpListener::from(rights.ok_or(io::ErrorKind::InvalidData)?);
    // What comes behind the line stays in the reader, for the link.
    let (mut stream, mut line) = (BufReader::new(stream), String::new());
    (&mut stream).take(LINE_MOST).read_line(&mut line).await?;
    let state: HandoverState = serde_json::from_str(&line)?;
    if state.version != PROTOCOL_VERSION {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(Inherited { listener, state, stream })
}

/// Takes the first byte, and the listening socket that comes with it.
fn take(stream: &UnixStream) -> io::Result<Option<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    if byte[0] == LATE {
        return Err(io::Error::new(io::ErrorKind::ResourceBusy, "another process replaces it already"));
    }
    Ok(control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut rights) => rights.next(),
        _ => None,
    }))
}

impl Inherited {
    /// The socket that clients connect to.
    pub fn socket(&self) -> io::Result<TcpListener> {
        self.listener.try_clone()
    }

    /// Keeps up the link with the older process; what is left is the socket and the state.
    pub fn link(self, executor: &Rc<LocalExecutor<'static>>, events: Sender<ProxyEvent>) -> Link {
        let (link, words) = Link::new();
        executor.spawn(talk(self.stream, words, events)).detach();
        link
    }
}

impl Link {
    fn new() -> (Link, Receiver<HandoverMessage>) {
        let (words, written) = bounded(WORDS);
        (Link { words }, written)
    }

    /// Gives the younger process the listening socket and the state, and keeps up the link with it.
    pub fn give(
        executor: &Rc<LocalExecutor<'static>>,
        stream: Async<UnixStream>,
        listener: Rc<Async<TcpListener>>,
        state: &HandoverState,
        events: Sender<ProxyEvent>,
    ) -> Link {
        let (link, words) = Link::new();
        let line = line(state);
        let task = async move {
            let mut stream = stream;
            let given = async {
                stream.write_with(|stream| pass(stream, &listener)).await?;
                stream.write_all(&line).await
            };
            match with_deadline(Instant::now() + WRITE_WAIT, given).await {
                Some(Ok(())) => talk(BufReader::new(stream), words, events).await,
                _ => drop(events.send(ProxyEvent::Handover(Other::Lost)).await),
            }
        };
        executor.spawn(task).detach();
        link
    }
}

/// Tells a process that asks that another was first.
pub async fn turn_away(mut stream: Async<UnixStream>) {
    with_deadline(Instant::now() + WRITE_WAIT, stream.write_all(&[LATE])).await;
}

fn pass(stream: &UnixStream, listener: &Async<TcpListener>) -> io::Result<()> {
    let rights = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(&rights));
    sendmsg(stream, &[IoSlice::new(&[HERE])], &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

fn line(value: &impl serde::Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Carries words both ways until one side ends. A line that cannot be read ends the link: the two would differ.
async fn talk(
    stream: BufReader<Async<UnixStream>>,
    words: Receiver<HandoverMessage>,
    events: Sender<ProxyEvent>,
) {
    let writer = stream.get_ref().get_ref().try_clone().and_then(Async::new);
    let hear = async {
        let (mut stream, mut line) = (stream, String::new());
        while let Ok(1..) = (&mut stream).take(LINE_MOST).read_line(&mut line).await {
            let Ok(word) = serde_json::from_str(&line) else { break };
            line.clear();
            if events.send(ProxyEvent::Handover(Other::Says(word))).await.is_err() {
                break;
            }
        }
    };
    let say = async {
        let Ok(mut writer) = writer else { return };
        while let Ok(word) = words.recv().await {
            let done = with_deadline(Instant::now() + WRITE_WAIT, writer.write_all(&line(&word))).await;
            if !matches!(done, Some(Ok(()))) {
                return;
            }
        }
    };
    future::or(hear, say).await;
    let _ = events.send(ProxyEvent::Handover(Other::Lost)).await;
}
