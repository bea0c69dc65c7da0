//! wharfplank: a proxy that routes payroll database reads and writes over replicated groups.
//!
//! The layers depend downwards only: `program` on `transport`, `transport` on `protocol` and `routing`,
//! and neither of those on anything but itself. `docs/architecture.md` follows a request through them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
