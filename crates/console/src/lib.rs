//! The terminal console: what the report tells, live beside running proxies and backwards through their records.
//!
//! - [`state`]: what is shown and what a key does, without I/O.
//! - [`screen`]: how it looks, in any terminal from 80x24 on.
//! - [`run()`]: the terminal, the keys and the stores.

pub mod run;
pub mod screen;
pub mod state;

pub use run::run;
