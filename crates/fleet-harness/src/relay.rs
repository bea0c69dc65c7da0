//! Relays for the traffic of a run. Every datagram between two proxies and every byte between a proxy and a
//! member passes through a relay, which loses, duplicates, delays, reorders or blocks it according to the
//! active faults.

mod links;
mod mesh;

pub use links::{Links, Route};
pub use mesh::{Mesh, NetworkConditions, SentTraffic};
