//! Signals that ask the process to end.

use super::Event;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// Tells of each SIGTERM and SIGINT.
pub async fn watch(events: Sender<Event>) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    while signals.next().await.is_some() {
        if events.send(Event::Terminate).await.is_err() {
            break;
        }
    }
    Ok(())
}
