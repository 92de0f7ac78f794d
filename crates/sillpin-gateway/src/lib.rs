//! The request path of a box whose routes, organisations and targets are published by a platform.
//!
//! One process per box serves callers and maintains its view of the fleet. All decisions are made here, on typed
//! values. The platform's formats of requests, keys and settings are hidden behind the traits of [`dialect`] and
//! [`control`], which an adapter implements.
//!
//! - [`backoff`]: pauses after failed calls of the platform's store,
//! - [`config`]: routes, pools, cache stores and organisations as operators publish them,
//! - [`dialect`]: contents of requests and responses,
//! - [`control`]: calls of engines and cache stores outside the request path,
//! - [`suspend_clock`]: detection of time in which the box was suspended,
//! - [`fleet_state`]: the box's view of the fleet, with revision, source and age,
//! - [`fatal`]: requests that crash the targets that run them,
//! - [`placement`]: selection of a target for a request,
//! - [`cache_stores`]: directory of the parts that cache stores hold, and which to free,
//! - [`weights`]: loading of new weights on engines, by an elected leader,
//! - [`releases`]: gradual releases of new versions of targets,
//! - [`streams`]: which version of targets' software began a stream,
//! - [`peers`]: communication between boxes,
//! - [`forward`]: requests that a box without paths to targets sends to another box,
//! - [`front`]: listeners, life cycle of a request, streams,
//! - [`reload`]: settings that change while the box runs,
//! - [`ops`]: assembly of a box.

pub mod backoff;
pub mod budget;
pub mod cache_stores;
pub mod config;
pub mod control;
pub mod dialect;
pub mod fatal;
pub mod fleet_state;
pub mod forward;
pub mod front;
pub mod metrics;
pub mod ops;
pub mod peers;
pub mod placement;
pub mod pool;
pub mod releases;
pub mod reload;
pub mod settings;
pub mod streams;
pub mod suspend_clock;
pub mod tasks;
pub mod weights;
