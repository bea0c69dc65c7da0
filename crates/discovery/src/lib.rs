//! Service discovery without I/O. Decides which answers to accept, how stale the endpoint list is, when to
//! poll next, and until when requests may still be sent to an endpoint.
//!
//! The caller passes in answers and the current time, and receives the next poll and the accepted changes.
//! The `routing` crate decides which endpoint serves a request; it receives accepted changes only.
//!
//! - [`PollSchedule`]: the time limits of polls, derived from the settings.
//! - [`EndpointTracker`]: the accepted endpoint list, suspect answers and the next poll.
//!
//! ```
//! use wharfplank_discovery::{EndpointTracker, PollKind, PollSchedule};
//! use wharfplank_protocol::endpoint_list::{parse, EndpointList};
//!
//! let mut tracker = EndpointTracker::new(PollSchedule::new(1_000_000), &EndpointList::default(), 0);
//! assert_eq!(tracker.next_poll(0).kind, PollKind::FullList);
//! let body = br#"{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]}"#;
//! let event = tracker.on_response(10_000, parse(body).unwrap());
//! assert_eq!(event.update.unwrap().endpoints.len(), 1);
//! assert_eq!(tracker.next_poll(10_000).kind, PollKind::Watch { version: 7 });
//! ```

mod event;
mod request;
mod schedule;
mod tracker;

pub use event::{SendDeadline, Staleness, SuspectReason, WatchEvent};
pub use request::{HedgedPoll, PollKind, PollRequest};
pub use schedule::{HedgeLimits, PollSchedule, SharedDiscovery};
pub use tracker::EndpointTracker;
