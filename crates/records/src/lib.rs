//! Typed records of the proxy's decisions and observations, and the store that holds them.
//!
//! - [`record`]: the record types; [`outcome`]: the outcomes of requests.
//! - [`recorder`]: a bounded queue that never blocks the serving thread, and the thread that empties it.
//! - [`store`]: one `SQLite` file per proxy, written in atomic flushes, with retention.
//! - [`reader`]: reads the stores of several proxies while they are written; missing records are reported as
//!   gaps.

pub mod outcome;
pub mod reader;
pub mod record;
pub mod recorder;
pub mod store;
mod writer;

pub use outcome::{FailureReason, Outcome};
pub use record::{MemberState, Micros, Record, Staleness, TimedRecord};
pub use recorder::{Recorder, RecorderConfig};
