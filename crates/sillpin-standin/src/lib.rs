//! Stand-ins for the systems around sillpin. They serve tests, the demo and measurements, and are
//! not shipped.
//!
//! - [`platform`]: key-value service and box list, with outages, slowness and lost answers,
//! - [`engine`]: model engines with continuous batching and a limited prefix cache,
//! - [`store`]: store boxes,
//! - [`service`]: plain services that count executions,
//! - [`weights`]: rate-limited weight store,
//! - [`fault`]: a TCP proxy that injects faults.

pub mod engine;
pub mod fault;
pub mod platform;
pub mod query;
pub mod service;
pub mod store;
pub mod weights;

use hyper::StatusCode;
use serde::Serialize;
use sillpin_http::{Body, json_response};

/// An answer of a stand-in.
pub type Response = hyper::Response<Body>;

/// A 200 answer with a JSON document.
pub fn ok<T: Serialize>(doc: &T) -> Response {
    json_response(StatusCode::OK, doc)
}

/// An answer with a status and nothing else.
pub fn status(status: StatusCode) -> Response {
    json_response(status, &())
}

/// Prints where a stand-in listens, as one line that its starter waits for.
pub fn announce(name: &str, addr: std::net::SocketAddr) {
    println!("listening {name} {addr}");
}
