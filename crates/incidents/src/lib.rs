//! Finds incidents in the records of proxies, without any other input.
//!
//! - [`evidence`]: what the records of several proxies show, by bins of time; unknown values are absent.
//! - [`gather`]: reads the evidence from stores.
//! - [`find()`]: decides, without I/O, what happened: the kind, start and end of each incident, the affected
//!   members and groups, what was reported and what is inferred, and which rejections and late answers are
//!   attributed to it.

pub mod evidence;
mod explanation;
mod find;
pub mod gather;

pub use evidence::{Evidence, Micros};
pub use find::{find, Confidence, Incident, Kind};
