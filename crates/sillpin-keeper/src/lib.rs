//! The control side of a box.
//!
//! Tasks own their state and sockets and talk by messages:
//!
//! - [`fleet`]: what is known of boxes, targets and documents; publishes a [`view`],
//! - [`gossip`]: spreads it among keepers,
//! - [`platform`]: reads the box list, bundles and organisations from the platform,
//! - [`readers`]: read loads and cache events of the targets this keeper is responsible for,
//! - [`directory`]: this keeper's part of the directory of blocks,
//! - [`router`]: carries news to the owners of roots,
//! - [`exports`]: has blocks written to stores and freed there,
//! - [`claims`]: the journal of calls that run at most once,
//! - [`weights`]: has engines load the bundle's weight versions,
//! - [`api`]: answers the entry, other keepers and operators.

pub mod api;
pub mod claims;
pub mod directory;
pub mod exports;
pub mod fleet;
pub mod gossip;
pub mod ops;
pub mod peers;
pub mod platform;
pub mod readers;
pub mod records;
pub mod router;
pub mod settings;
pub mod view;
pub mod weights;
