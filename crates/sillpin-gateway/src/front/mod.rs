//! The request path: admission, one or more attempts at targets, one response.
//!
//! - [`shared`]: state shared by all requests,
//! - [`admit`]: route, organisation and body of a request,
//! - [`body_memory`]: memory for bodies of requests and responses,
//! - [`service_times`]: how long requests of each route take,
//! - [`discard`]: the rest of a refused request's body,
//! - [`drain`]: which requests a box takes that is told to stop,
//! - [`dispatch`]: attempts until there is a response,
//! - [`progress`]: state of a request across its attempts,
//! - [`outcome`]: what the outcome of an attempt tells about its target,
//! - [`fair_admission`]: refusals where organisations compete for a pool,
//! - [`selection`]: selection of pool, target and prompt plan for an attempt,
//! - [`prepared`]: an attempt that is ready to be sent,
//! - [`stream_engines`]: engines for prompts of different kinds,
//! - [`stream_version`]: which targets may begin or continue a stream,
//! - [`overload`]: refusals of prompts that no target can start in time,
//! - [`attempt`]: one attempt,
//! - [`attempt_outcome`]: its outcome,
//! - [`target_wait`]: what is watched while a request waits for a target,
//! - [`search`]: asks other targets while a request waits at one that is doubted,
//! - [`search_progress`]: the state of that,
//! - [`handover`]: asks other targets to go on with a stream while its own is doubted,
//! - [`incomplete`]: the record of responses that callers do not get whole,
//! - [`forward`]: requests that are sent to other boxes,
//! - [`relay`]: relaying of event streams,
//! - [`idle_timeout`]: when to abandon a target that sends nothing,
//! - [`events`]: splitting a stream into complete events,
//! - [`stream_body`]: the body of a stream,
//! - [`release`]: the part of requests in the release of their pool,
//! - [`response`]: responses of targets that are passed on,
//! - [`refusal`]: responses that the box creates itself,
//! - [`handler`]: the listeners' handlers.

pub mod admit;
pub mod attempt;
pub mod attempt_outcome;
pub mod body_memory;
mod connect;
pub mod crowding;
mod discard;
pub mod dispatch;
pub mod drain;
pub mod events;
pub mod fair_admission;
mod fatal;
mod forward;
mod forwarded_signals;
pub mod handler;
mod handover;
pub mod idle_timeout;
pub mod incomplete;
pub mod outcome;
pub mod overload;
pub mod prepared;
pub mod progress;
pub mod refusal;
pub mod relay;
pub mod release;
pub mod response;
mod search;
mod search_progress;
pub mod selection;
pub mod service_times;
pub mod shared;
pub mod stream_body;
pub mod stream_engines;
pub mod stream_version;
pub mod target_wait;

pub use handler::Front;
pub use shared::Shared;
