//! The terminal console: shows the facts of the report, live while proxies run or for an earlier time span.
//!
//! - [`state`]: the time span and filters of the view, and the actions of keys, without I/O.
//! - [`screen`]: the layout, for terminals of at least 80x24.
//! - [`run()`]: the event loop, which connects the terminal, the keys and the stores.

pub mod run;
pub mod screen;
pub mod state;

pub use run::run;
