//! The one clock: Unix time read once at the start, and monotonic time since.

use crate::routing::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Turns the system's clocks into [`Micros`] of Unix time that never go back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the time of day, for the only time.
    pub fn start() -> Self {
        let start = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as Micros);
        Clock { unix, start }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}
