//! The control side of a box.
//!
//! Each task owns its state and sockets; tasks communicate by messages:
//!
//! - [`fleet`]: state of boxes, targets and documents; publishes a [`view`],
//! - [`gossip`]: replicates that state among keepers,
//! - [`platform`]: reads the box list, bundles and organisations from the platform,
//! - [`readers`]: poll loads and cache events of the targets assigned to this keeper,
//! - [`directory`]: this keeper's part of the directory of cached and stored blocks,
//! - [`router`]: sends directory updates to the owners of roots,
//! - [`exports`]: exports blocks to stores and frees them there,
//! - [`claims`]: journal of calls that run at most once,
//! - [`weights`]: orders engines to load the bundle's weight versions,
//! - [`api`]: serves the entry, other keepers and operators.

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
