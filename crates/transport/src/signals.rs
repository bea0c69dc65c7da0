//! Signals: the ones that ask the process to end, and the one that asks it to read its configuration anew.

use super::Event;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// Takes the signals over. Until then SIGHUP ends the process, so this comes before all else.
pub fn take() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Tells of each signal.
pub async fn watch(mut signals: Signals, events: Sender<Event>) {
    while let Some(Ok(signal)) = signals.next().await {
        let event = if signal == Signal::Hup { Event::Reload } else { Event::Terminate };
        if events.send(event).await.is_err() {
            break;
        }
    }
}
