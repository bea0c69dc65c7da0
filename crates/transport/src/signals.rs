//! The signals that request a shutdown or a reload of the configuration.
//!
//! The signal handlers set flags and wake the forwarding task through a pipe. The flags record the received
//! signals: if the write to the pipe fails, the task finds the flag at its next regular check.

use crate::ProxyEvent;
use async_channel::{SendError, Sender};
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The interval at which the flags are checked without a wake-up. A shutdown that starts this much later
/// still completes in time.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The receiver of the process's signals.
pub struct SignalReceiver {
    is_shutdown_requested: Arc<AtomicBool>,
    is_reload_requested: Arc<AtomicBool>,
    wakeups: Signals,
}

/// Registers the signal handlers. Until then SIGHUP terminates the process, so this must be called first.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn register() -> io::Result<SignalReceiver> {
    let is_shutdown_requested = Arc::new(AtomicBool::new(false));
    let is_reload_requested = Arc::new(AtomicBool::new(false));
    // Handlers run in the order of their registration, so that a flag is set before the wake-up.
    flag::register(SIGTERM, Arc::clone(&is_shutdown_requested))?;
    flag::register(SIGINT, Arc::clone(&is_shutdown_requested))?;
    flag::register(SIGHUP, Arc::clone(&is_reload_requested))?;
    let wakeups = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    Ok(SignalReceiver { is_shutdown_requested, is_reload_requested, wakeups })
}

/// Sends an event for each signal, until the receiver of the events is dropped. Identical signals that arrive
/// at about the same time are combined into one event.
pub async fn forward(mut receiver: SignalReceiver, events: Sender<ProxyEvent>) {
    while receiver.send_requested(&events).await.is_ok() {
        receiver.wait().await;
    }
}

impl SignalReceiver {
    /// Sends the events of the signals that have been received.
    async fn send_requested(&self, events: &Sender<ProxyEvent>) -> Result<(), SendError<ProxyEvent>> {
        if self.is_reload_requested.swap(false, Ordering::SeqCst) {
            events.send(ProxyEvent::ReloadRequested).await?;
        }
        if self.is_shutdown_requested.swap(false, Ordering::SeqCst) {
            events.send(ProxyEvent::ShutdownRequested).await?;
        }
        Ok(())
    }

    /// Waits for a wake-up or for the next regular check of the flags.
    async fn wait(&mut self) {
        let checked = async {
            Timer::after(FLAG_CHECK_INTERVAL).await;
        };
        let woken = async {
            // If the pipe cannot be read, there is no wake-up, and the regular checks find the flags.
            if !matches!(self.wakeups.next().await, Some(Ok(_))) {
                future::pending::<()>().await;
            }
        };
        future::or(woken, checked).await;
    }
}
