//! The signals that ask the process to shut down or to reload its configuration.

use crate::socket::transient::RESOURCE_RETRY_DELAY;
use crate::ProxyEvent;
use async_channel::Sender;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// Registers for the signals. Until then SIGHUP ends the process, so this has to come first.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn register() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Sends an event for each signal, until nobody receives them any more.
pub async fn forward(mut signals: Signals, events: Sender<ProxyEvent>) {
    while let Some(signal) = signals.next().await {
        let event = match signal {
            Ok(Signal::Hup) => ProxyEvent::ReloadRequested,
            Ok(_) => ProxyEvent::ShutdownRequested,
            Err(_) => {
                // The signal stays in the pipe: it is read again.
                Timer::after(RESOURCE_RETRY_DELAY).await;
                continue;
            }
        };
        if events.send(event).await.is_err() {
            break;
        }
    }
}
