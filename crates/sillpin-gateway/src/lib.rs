//! The request path of a box whose routes, organisations and targets are published by a platform.
//!
//! One process a box serves callers and keeps what it must know of the fleet. Every decision is made
//! here, from typed values. How the platform spells requests, keys and settings is hidden behind
//! the traits of [`dialect`] and [`control`], which an adapter implements.
//!
//! - [`config`]: routes, pools, stores and organisations as operators publish them,
//! - [`dialect`]: what a request says, and what is said to a target,
//! - [`control`]: calls of targets and stores outside the request path,
//! - [`awake`]: time in which the box was suspended,
//! - [`beliefs`]: what the box knows of the fleet, with revision, source and age,
//! - [`fatal`]: requests that end the targets that run them,
//! - [`place`]: which target takes a request,
//! - [`cache_stores`]: which parts of prompts the stores hold, and what to free,
//! - [`weights`]: the leased holder that brings engines to new weights,
//! - [`peers`]: what boxes tell each other,
//! - [`front`]: the listener, one request's life, streams,
//! - [`reload`]: settings that change while the box runs,
//! - [`ops`]: all of it put together.

pub mod awake;
pub mod beliefs;
pub mod budget;
pub mod cache_stores;
pub mod config;
pub mod control;
pub mod dialect;
pub mod fatal;
pub mod front;
pub mod metrics;
pub mod ops;
pub mod peers;
pub mod place;
pub mod pool;
pub mod reload;
pub mod settings;
pub mod weights;
