//! The request path: admission, one or more attempts at targets, one response.
//!
//! - [`shared`]: state shared by all requests,
//! - [`admit`]: route, organisation and body of a request,
//! - [`body_room`]: memory for request bodies,
//! - [`drive`]: attempts until there is a response,
//! - [`placing`]: selection of pool, target and prompt plan for an attempt,
//! - [`attempt`]: one attempt and its outcome,
//! - [`relay`]: relaying of event streams,
//! - [`silence`]: when to abandon a target that sends nothing,
//! - [`events`]: splitting a stream into complete events,
//! - [`answers`]: responses that the box creates itself,
//! - [`handler`]: the listeners' handlers.

pub mod admit;
pub mod answers;
pub mod attempt;
pub mod body_room;
pub mod drive;
pub mod events;
pub mod handler;
pub mod placing;
pub mod relay;
pub mod shared;
pub mod silence;

pub use handler::Front;
pub use shared::Shared;
