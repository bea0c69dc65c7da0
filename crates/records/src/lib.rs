//! What the program decided and observed, as typed records, and the store that holds them.
//!
//! - [`record`]: the records; [`outcome`]: how requests are answered.
//! - [`recorder`]: the bounded queue of the serving thread, which never waits, and the thread behind it.
//! - [`store`]: one SQLite file for each proxy, written in complete flushes, with retention.
//! - [`reader`]: stores of several proxies, read while they are written; what is not known is reported as a gap.

pub mod outcome;
pub mod reader;
pub mod record;
pub mod recorder;
pub mod store;
mod writer;

pub use outcome::{FailureReason, Outcome};
pub use record::{MemberState, Micros, Record, Staleness, TimedRecord};
pub use recorder::{Recorder, RecorderConfig};
