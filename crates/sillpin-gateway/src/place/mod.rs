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
//! - [`named_limit`]: limits that targets name,
//! - [`slow_start`]: what cold targets get,
//! - [`standing`]: the queue that has stood at engines of late,
//! - [`residency`]: regions that a request may reach,
//! - [`replaced`]: targets whose address belongs to another by now,
//! - [`work`]: work at engines, own and told.

pub mod allowed;
pub mod choose;
pub mod held;
pub mod index;
pub mod limits;
pub mod load;
pub mod named_limit;
pub mod parts;
pub mod probe;
pub mod replaced;
pub mod residency;
pub mod shared_limit;
pub mod slow_start;
pub mod standing;
pub mod work;

pub use choose::{Choice, Chosen, choose};
pub use load::{Load, Loads, Ticket};
