//! What the list of members is worth: how old it is, which answer of discovery to believe, when to ask again, and
//! until when a member may be sent something. It does no I/O: answers and the time go in, the next call and what
//! is believed come out. Which member serves a request is `routing`'s call, which hears only of what is believed.
//!
//! - [`Pace`]: the times that a call may take, derived from the settings' figures.
//! - [`Desk`]: the list that is believed, the doubts about the newest answer, and the next call.
//!
//! ```
//! use wharfplank_discovery::{Ask, Desk, Pace};
//! use wharfplank_protocol::endpoint_list::{parse, EndpointList};
//!
//! let mut desk = Desk::new(Pace::new(1_000_000), &EndpointList::default(), 0);
//! assert_eq!(desk.next(0).ask, Ask::Whole);
//! let list = br#"{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]}"#;
//! let heard = desk.heard(10_000, parse(list).unwrap());
//! assert_eq!(heard.list.unwrap().endpoints.len(), 1);
//! assert_eq!(desk.next(10_000).ask, Ask::Watch { seq: 7 });
//! ```

mod call;
mod desk;
mod news;
mod pace;

pub use call::{Ask, Call};
pub use desk::Desk;
pub use news::{Age, Doubt, News};
pub use pace::{Pace, Shared};
