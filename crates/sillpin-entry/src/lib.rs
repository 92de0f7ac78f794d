//! The request path of a box: callers' HTTP in, one decision, HTTP out to a target, the answer
//! streamed back.
//!
//! - [`front`]: routes, keys, limits and documents of the callers' side,
//! - [`place`]: the task that decides which engine takes a request, and whose request goes next,
//! - [`runs`]: carries a request out: claims, attempts, resumption, continuation,
//! - [`services`]: passes calls on to plain services,
//! - [`keeper_link`]: what the keeper of this box tells; the entry goes on without it,
//! - [`arms`]: what each arm of a rollout measures, and its guard,
//! - [`metrics`]: the instruments.

pub mod app;
pub mod arms;
pub mod front;
pub mod keeper_link;
pub mod metrics;
pub mod ops;
pub mod place;
pub mod runs;
pub mod services;
pub mod settings;
pub mod snapshot;
