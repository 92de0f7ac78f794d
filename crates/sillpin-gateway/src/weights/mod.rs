//! Brings engines to the weights that operators want.
//!
//! One box at a time holds the duty, by a key under a lease in the platform's store; the key's revision
//! is the fence of its orders. A holder orders nothing in the last part of its lease, and a new holder
//! waits before its first order, so that the orders of two holders are never close. Orders name the
//! engine's count of orders, so one that arrives late, behind a newer one, is refused.
//!
//! - [`duty`]: who holds the duty,
//! - [`load`]: one engine's load of new weights,
//! - [`rollout`]: which engines are ordered next.

pub mod duty;
pub mod load;
pub mod rollout;
