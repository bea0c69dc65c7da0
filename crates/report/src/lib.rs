//! Reports on records: the same facts for people, as one HTML file, and for programs, as JSON.
//!
//! - [`facts`]: the facts, with the version of their JSON form.
//! - [`html`]: the HTML file; it loads nothing and needs no script.
//! - [`plot`]: its plots; lines differ by markers and not by colour alone, and what is unknown is a break.

mod error;
pub mod facts;
pub mod html;
pub mod plot;

pub use error::{PlotError, RenderError};
pub use facts::Facts;
