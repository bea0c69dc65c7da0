//! The one clock: Unix time read once at the start, and monotonic time since.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wharfplank_routing::Micros;

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
        self.at(Instant::now())
    }

    /// An instant after the start as time.
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// The instant of a time; the start for one before it.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.unix).max(0) as u64)
    }
}
