//! The protocols of the proxy as state machines that turn bytes into messages. They have no access to sockets
//! or clocks and make no routing decisions.
//!
//! - [`client_session`]: the server side of the PostgreSQL protocol, for connections from clients.
//! - [`pipeline`]: the order of responses on one client connection.
//! - [`request_comment`]: the comment at the start of a statement, which describes the request.
//! - [`member_request`], [`member_response`]: the client side of the PostgreSQL protocol, for connections to
//!   members.
//! - [`row`]: checks of the messages that a member's response consists of.
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
