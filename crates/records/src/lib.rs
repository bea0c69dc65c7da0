//! What the program decided and saw, as typed records, and the store that keeps them.
//!
//! - [`record`]: the records. None holds a client's key or a statement.
//! - [`store`]: one SQLite file for each proxy, written in whole flushes; [`store::Store`] appends and retires.
//! - [`recorder`]: the bounded queue and the thread behind it; serving never waits for it.
//! - [`reader`]: files of several proxies read beside their writers, with what is unknown said as a gap.
//!
//! Times are microseconds of Unix time.

pub mod reader;
pub mod record;
pub mod recorder;
pub mod store;

pub use record::{Micros, Outcome, Record, Seen};
pub use recorder::Recorder;
