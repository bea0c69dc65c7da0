//! wharfplank: a proxy that routes payroll database reads and writes over replicated groups.
//!
//! The layers depend downwards only: `program` on `transport`, `transport` on `membership`, `protocol` and
//! `routing`; `membership` takes its words for a list from `protocol`, and those two depend on nothing else. `docs/architecture.md` follows a request through them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod membership;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
