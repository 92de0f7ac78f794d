//! HTTP client, server and body types for sillpin's programs, based on `hyper`.
//!
//! - [`body`]: a body type without dynamic dispatch,
//! - [`client`]: a client with a connection pool, whose errors state whether the request may have been received,
//! - [`connections`]: a bound on the open connections of a server,
//! - [`evictable`]: bodies whose memory can be taken back while their reader is slow,
//! - [`lines`]: readers of lines and of JSON documents from a streamed body,
//! - [`reads`]: bounds on what a peer can make the reader of its connection do,
//! - [`response_head`]: what must be true of the head of a response,
//! - [`server`]: a server that finishes open requests when stopped.

mod arrival;
pub mod body;
pub mod client;
pub mod connections;
mod connector;
pub mod evictable;
mod guarded;
pub mod lines;
pub mod reads;
pub mod response_head;
pub mod server;

pub use body::{Body, BodySender, ReadError, read_limited};
pub use client::{CallError, Client, Sent};
pub use connections::Connections;
pub use evictable::{EvictableBody, EvictionHandle};
pub use lines::{JsonLines, Lines};
pub use reads::IncomingBody;
pub use server::Server;

use hyper::{Response, StatusCode, header};
use serde::Serialize;

/// Media type of JSON.
pub const JSON_MEDIA_TYPE: &str = "application/json";

/// Returns a response with a JSON document.
pub fn json_response<T: Serialize>(status: StatusCode, doc: &T) -> Response<Body> {
    let text = serde_json::to_vec(doc).unwrap_or_default();
    let mut resp = Response::new(Body::full(text));
    *resp.status_mut() = status;
    let media_type = header::HeaderValue::from_static(JSON_MEDIA_TYPE);
    resp.headers_mut().insert(header::CONTENT_TYPE, media_type);
    resp
}

/// Returns a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut resp = Response::new(Body::empty());
    *resp.status_mut() = status;
    resp
}
