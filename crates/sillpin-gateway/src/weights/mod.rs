//! Rolls out the weights that operators request to the engines.
//!
//! One box at a time is the leader, through a key under a lease in the platform store; the key's revision is the fence of its
//! orders, a fencing token that grows with each leader. A leader sends no order in the last part of its lease, and records in the
//! store which engines it is about to order. A new leader sends those no order for a while, so that the orders of two leaders to
//! one engine are never close, and continues with the other engines immediately. Orders contain the engine's count of orders, so
//! one that arrives late, after a newer one, is rejected. If the platform store was restored from a backup, which its era counts,
//! the record may be outdated, and no engine is ordered for that time.
//!
//! - [`election`]: election of the leader,
//! - [`load`]: load of new weights by one engine,
//! - [`rollout`]: choice of the engines to order next.

pub mod election;
pub mod load;
pub mod rollout;
