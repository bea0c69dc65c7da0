//! Signals: the ones that ask the process to end, and the one that asks it to read its configuration anew.

use super::ProxyEvent;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// Takes the signals over. Until then SIGHUP ends the process, so this comes before all else.
pub fn register() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Tells of each signal.
pub async fn forward(mut signals: Signals, events: Sender<ProxyEvent>) {
    while let Some(Ok(signal)) = signals.next().await {
        let event =
            if signal == Signal::Hup { ProxyEvent::ReloadRequested } else { ProxyEvent::ShutdownRequested };
        if events.send(event).await.is_err() {
            break;
        }
    }
}
