//! A test bench for the program on one machine: stand-in members, service discovery and clients on loopback
//! addresses, with seeded random numbers.
//!
//! - [`timeline`]: a scripted run, read from XML and validated against `timeline.xsd`.
//! - [`member_model`]: the stand-in members as a model without I/O: log shipping, one apply thread, cores and
//!   a queue.
//! - [`stand_ins`]: the model behind real sockets, and service discovery.
//! - [`clock`]: the clock of a run.
//! - [`load`]: an open-loop load, whose latencies include the delay of a late sender.
//! - [`trials`]: synthetic record stores, and a durability test that kills a recording process.
//! - [`run`]: starts proxy processes, runs a timeline against them, and returns what clients and members
//!   observed.
//! - [`tally`]: event counts of many proxies, summed from their logs.

pub mod clock;
pub mod load;
pub mod member_model;
pub mod run;
pub mod stand_ins;
pub mod tally;
pub mod timeline;
pub mod trials;
