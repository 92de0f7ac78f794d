//! The request path of a box: receives HTTP requests from callers, chooses a target for each,
//! forwards the request over HTTP and streams the response back.
//!
//! - [`front`]: routes, API keys, limits and documents of the interface for callers,
//! - [`placement`]: the task that chooses an engine for each request and orders waiting requests,
//! - [`runs`]: executes a model request: claims, attempts, resumption, continuation,
//! - [`services`]: forwards calls to plain services,
//! - [`keeper_link`]: the connection to the keeper of this box; the entry also works without it,
//! - [`arms`]: measurements of the arms of a rollout, and the guard,
//! - [`metrics`]: the metrics of the entry.

pub mod app;
pub mod arms;
pub mod front;
pub mod keeper_link;
pub mod metrics;
pub mod ops;
pub mod placement;
pub mod runs;
pub mod services;
pub mod settings;
pub mod snapshot;
