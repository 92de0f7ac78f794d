//! Stand-ins for the systems around sillpin. They serve tests, the demo and measurements, and are
//! not shipped.
//!
//! - [`platform`]: key-value service and box list, with outages, delays and lost responses,
//! - [`engine`]: model engines with continuous batching and a limited prefix cache,
//! - [`store`]: stores for KV cache blocks,
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

/// HTTP response of a stand-in.
pub type Response = hyper::Response<Body>;

/// Returns a response with status 200 and `doc` as JSON.
pub fn ok<T: Serialize>(doc: &T) -> Response {
    json_response(StatusCode::OK, doc)
}

/// Returns a response with the given status and JSON `null` as its body.
pub fn status(status: StatusCode) -> Response {
    json_response(status, &())
}

/// Prints the address on which a stand-in listens, as one line; the process that started it waits for this line.
pub fn announce(name: &str, addr: std::net::SocketAddr) {
    println!("listening {name} {addr}");
}
