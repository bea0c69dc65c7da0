//! Routing decisions: chooses the member of a replicated group that serves each request. Reads go to the
//! closest replica whose cached log position is fresh enough, writes to the primary.
//!
//! A [`Router`] does no I/O and reads no clock. Its caller passes it each [`Event`] with the current time and
//! carries out the [`Action`]s that it appends. The same events at the same times give the same actions.
//!
//! ```
//! use wharfplank_routing::{
//!     Action, Class, ClassId, Consistency, Idempotency, Endpoint, Event, GroupId, HostId, EndpointStatus, Request,
//!     RequestId, Router, Settings, StaleReadPolicy,
//! };
//!
//! let settings = Settings {
//!     seed: 7,
//!     routers: 3,
//!     classes: vec![Class {
//!         consistency: Consistency::Any,
//!         idempotency: Idempotency::Idempotent,
//!         latency_objective: 300_000,
//!         priority_weight: 1.0,
//!         late_weight: 0.0,
//!     }],
//!     max_attempts: 4,
//!     may_cancel: true,
//!     may_probe: true,
//!     must_subscribe: false,
//!     max_retry_after: 1_000_000,
//!     slow_start_from: 0.2,
//!     slow_start_span: 10_000_000,
//!     overload_multiple: 3.0,
//!     overload_span: 1_000_000,
//!     stale_reads: StaleReadPolicy::Reject,
//!     removal_is_advisory: false,
//!     sessions_carry_tokens: true,
//! };
//! let mut router = Router::new(settings);
//! let mut actions = Vec::new();
//! let member = |host, primary| Endpoint {
//!     host: HostId(host),
//!     group: GroupId(1),
//!     status: EndpointStatus::Up,
//!     primary,
//!     started_at: None,
//!     local: true,
//!     zone: 0,
//! };
//! let now = 1_000_000;
//! router.handle(now, Event::EndpointList(vec![member(10, true), member(11, false)]), &mut actions);
//! let request = Request {
//!     id: RequestId([b'a'; 36]),
//!     class: ClassId(0),
//!     group: GroupId(1),
//!     session: None,
//!     deadline: now + 500_000,
//!     last_write_age: None,
//!     may_have_run: false,
//! };
//! router.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { host: HostId(11), .. })));
//! ```

mod api;
mod policy;
pub mod settings;

pub use api::*;
pub use policy::Router;
