//! Incident reports from records: the same facts as one HTML file for people and as JSON for programs.
//!
//! - [`facts`]: the facts, with the version of their JSON form.
//! - [`html`]: the HTML file; it loads no other resources and needs no script.
//! - [`plot`]: its plots; lines differ by markers and not by colour alone, and unknown values are breaks in a
//!   line.

mod error;
pub mod facts;
pub mod html;
pub mod plot;

pub use error::{PlotError, RenderError};
pub use facts::Facts;
