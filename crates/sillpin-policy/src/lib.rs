//! The decisions of sillpin, as pure functions: no I/O, no clock, no async.
//!
//! - [`rendezvous`]: which of many is the home or owner of a key,
//! - [`placement`]: which engine takes a request,
//! - [`keeping`]: which blocks are worth holding in a store,
//! - [`admission`]: whose request goes next, and which is refused at once,
//! - [`overload`]: which request no target can begin in time,
//! - [`arms`]: which arm of a rollout a prompt belongs to,
//! - [`guard`]: when an arm's traffic goes back to the control arm,
//! - [`set`]: the parameters of all of them, as a bundle carries them.
//!
//! Callers pass the time and the random numbers in, so a decision can be replayed and explained.

pub mod admission;
pub mod arms;
pub mod guard;
pub mod keeping;
pub mod overload;
pub mod placement;
pub mod rendezvous;
pub mod set;

pub use set::PolicySet;
