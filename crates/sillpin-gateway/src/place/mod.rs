//! Which target takes a request.
//!
//! - [`load`]: what this box has under way at each target, and how the target has behaved,
//! - [`choose`]: the choice among the targets of a pool,
//! - [`allowed`]: which weights a prompt may run on,
//! - [`index`]: targets by pool and zone,
//! - [`held`]: how long requests hold an engine's memory,
//! - [`probe`]: whether targets out of reach are back,
//! - [`parts`]: where the parts of a prompt come from and go to,
//! - [`limits`]: which limits hold at a target,
//! - [`shared_limit`]: how boxes share what one target may get of all of them,
//! - [`slow_start`]: what cold targets get,
//! - [`standing`]: the queue that has stood at engines of late,
//! - [`residency`]: regions that a request may reach,
//! - [`words`]: what targets say of themselves beside their answers,
//! - [`work`]: work at engines, own and told.

pub mod allowed;
pub mod choose;
pub mod held;
pub mod index;
pub mod limits;
pub mod load;
pub mod parts;
pub mod probe;
pub mod residency;
pub mod shared_limit;
pub mod slow_start;
pub mod standing;
pub mod words;
pub mod work;

pub use choose::{Choice, Chosen, choose};
pub use load::{Load, Loads, Ticket};
