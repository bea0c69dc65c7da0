//! What the records tell: the same facts for people, as one HTML file, and for programs, as JSON.
//!
//! - [`facts`]: the facts, with their version.
//! - [`html`]: the file; it loads nothing and needs no script.
//! - [`plot`]: its pictures; lines differ by marks and not by colour alone, and what is unknown is a break.

pub mod facts;
pub mod html;
pub mod plot;

pub use facts::Facts;
