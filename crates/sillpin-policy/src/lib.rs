//! The decisions of sillpin as pure functions: no I/O, no clock, no async.
//!
//! - [`rendezvous`]: chooses the home or owner of a key,
//! - [`placement`]: chooses the engine for a request,
//! - [`keeping`]: chooses the blocks that are stored,
//! - [`admission`]: orders waiting requests,
//! - [`overload`]: chooses the requests that are refused because they cannot start in time,
//! - [`fair_share`]: divides the capacity of a pool among organisations,
//! - [`ending`]: chooses the requests that are refused because they cannot end in time,
//! - [`arms`]: assigns prompts to the arms of a rollout,
//! - [`guard`]: decides when an arm's traffic goes back to the control arm,
//! - [`release`]: decides how much traffic a new version of targets gets, and when it is rolled back,
//! - [`set`]: holds the parameters of all of them, as bundles contain them.
//!
//! Callers pass in the time and the random numbers, so a decision can be replayed and explained.

pub mod admission;
pub mod arms;
pub mod ending;
pub mod fair_share;
pub mod guard;
pub mod keeping;
pub mod overload;
pub mod placement;
pub mod release;
pub mod rendezvous;
pub mod set;

pub use set::PolicySet;
