//! The protocols that the proxy speaks, as state machines: bytes go in, messages come out. Nothing here knows a
//! socket, a clock or a routing decision.
//!
//! - [`client_session`]: the server side of PostgreSQL, which client connections speak to.
//! - [`pipeline`]: the order of responses on one client connection.
//! - [`request_comment`]: what the comment at the front of a statement says of the request.
//! - [`member_request`], [`member_response`]: the client side of PostgreSQL, spoken to members.
//! - [`load_report`]: the load reports of members.
//! - [`http`], [`endpoint_list`]: service discovery.
//! - [`read_buffer`], [`framing`]: the buffer of a connection and the framing of PostgreSQL messages in it.

pub mod client_session;
pub mod endpoint_list;
pub mod framing;
pub mod http;
pub mod load_report;
pub mod member_request;
pub mod member_response;
pub mod pipeline;
pub mod read_buffer;
pub mod request_comment;
pub mod row;
