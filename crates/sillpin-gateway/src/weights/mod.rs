//! Brings engines to the weights that operators want.
//!
//! One box at a time holds the duty, by a key under a lease in the platform's store; the key's revision
//! is the fence of its orders. A holder orders nothing in the last part of its lease, and records in the
//! store which engines it is about to order; a new holder leaves those alone for a while, so that the orders
//! of two holders to one engine are never close, and goes on with the others at once. Orders name the
//! engine's count of orders, so one that arrives late, behind a newer one, is refused.
//!
//! - [`duty`]: who holds the duty,
//! - [`load`]: one engine's load of new weights,
//! - [`rollout`]: which engines are ordered next.

pub mod duty;
pub mod load;
pub mod rollout;
