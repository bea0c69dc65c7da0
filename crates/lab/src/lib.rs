//! The laboratory: what the program is tried against on one machine, on loopback addresses, with a seed.
//!
//! - [`timeline`]: a scripted run, read from XML that is checked against `timeline.xsd`.
//! - [`member_model`]: the stand-in members as a model without I/O: log shipping, one apply thread, cores and a queue.
//! - [`stand_ins`]: the model behind real sockets, and service discovery.
//! - [`clock`]: the clock of a run.
//! - [`load`]: an open-loop load; a late sender's delay counts.
//! - [`trials`]: a synthetic day of records, and kills of a recording process.
//! - [`run`]: starts the real program as processes, plays a timeline, and says what the load saw.
//! - [`tally`]: what many proxies did together, added up from their logs.

pub mod clock;
pub mod load;
pub mod member_model;
pub mod run;
pub mod stand_ins;
pub mod tally;
pub mod timeline;
pub mod trials;
