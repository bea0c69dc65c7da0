//! The relays of the rig: every datagram between two proxies and every byte between a proxy and a member passes
//! through one, which loses, duplicates, delays, reorders or holds it as the faults in force say.

mod links;
mod mesh;

pub use links::{Links, Way};
pub use mesh::{Carried, Mesh, Wire};
