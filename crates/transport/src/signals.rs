//! The signals that ask the process to shut down or to reload its configuration.
//!
//! The signal handlers set flags, and wake the forwarding task through a pipe. The flags tell what was received: a write
//! to the pipe may fail, in which case the task finds the flag a little later.

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

/// How often the flags are looked at where no wake-up came. A shutdown that begins so much later still ends in time.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The signals of this process.
pub struct SignalReceiver {
    is_shutdown_requested: Arc<AtomicBool>,
    is_reload_requested: Arc<AtomicBool>,
    wakeups: Signals,
}

/// Registers for the signals. Until then SIGHUP ends the process, so this has to come first.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn register() -> io::Result<SignalReceiver> {
    let is_shutdown_requested = Arc::new(AtomicBool::new(false));
    let is_reload_requested = Arc::new(AtomicBool::new(false));
    // Handlers run in the order of their registration: a flag is set before the wake-up.
    flag::register(SIGTERM, Arc::clone(&is_shutdown_requested))?;
    flag::register(SIGINT, Arc::clone(&is_shutdown_requested))?;
    flag::register(SIGHUP, Arc::clone(&is_reload_requested))?;
    let wakeups = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    Ok(SignalReceiver { is_shutdown_requested, is_reload_requested, wakeups })
}

/// Sends an event for each signal, until nobody receives them any more. Equal signals that come at about the same time
/// count as one.
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

    /// Waits for a wake-up, or until the flags are to be looked at.
    async fn wait(&mut self) {
        let checked = async {
            Timer::after(FLAG_CHECK_INTERVAL).await;
        };
        let woken = async {
            // A pipe that cannot be read wakes nobody; the flags are looked at all the same.
            if !matches!(self.wakeups.next().await, Some(Ok(_))) {
                future::pending::<()>().await;
            }
        };
        future::or(woken, checked).await;
    }
}
