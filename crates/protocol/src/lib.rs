//! State machines that are fed bytes. They know no socket and no clock.

mod ask;
pub mod buffer;
pub mod client;
pub mod comment;
pub mod endpoint_list;
pub mod http;
pub mod pipeline;
mod report;
mod row;
pub mod server;
