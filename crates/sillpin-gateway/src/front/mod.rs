//! The request path: what a caller sends, one or more sendings to targets, one answer.
//!
//! - [`shared`]: what all requests use,
//! - [`admit`]: route, organisation and body of a request,
//! - [`body_room`]: memory for bodies under way,
//! - [`drive`]: sendings until there is an answer,
//! - [`placing`]: pool, target and parts of one sending,
//! - [`attempt`]: one sending and how it ended,
//! - [`relay`]: streams, passed on event by event,
//! - [`silence`]: when a target's silence is a reason to leave it,
//! - [`events`]: whole events out of a stream's bytes,
//! - [`answers`]: answers that the box makes itself,
//! - [`handler`]: the listener's handlers.

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
