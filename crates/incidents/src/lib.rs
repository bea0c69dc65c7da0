//! Incidents, from the records alone.
//!
//! - [`evidence`]: what the records of several proxies say, by bins of time, with what is unknown left out.
//! - [`find()`]: decides, without I/O, what happened: kind, start, end, who is touched, what was told and what is
//!   inferred, and which refusals and late answers fall to it.
//! - [`gather`]: reads evidence out of stores.

pub mod evidence;
mod find;
pub mod gather;
mod words;

pub use evidence::{Evidence, Micros};
pub use find::{find, Incident, Kind, Strength};
