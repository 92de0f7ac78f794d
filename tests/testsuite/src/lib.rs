//! Support for integration tests, the demo and measurements: starts a whole fleet as processes.
//!
//! - [`process`]: one process, its listeners, and signals,
//! - [`fleet`]: all processes of a fleet, with the settings and documents they need,
//! - [`targets`] and [`bundles`]: the fleet's targets and bundles,
//! - [`wait`]: waiting for an event instead of sleeping.

pub mod bundles;
pub mod fleet;
pub mod process;
pub mod targets;
pub mod wait;

pub use fleet::{Fleet, FleetShape};
pub use process::Process;
