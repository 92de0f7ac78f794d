//! Support for integration tests, the demo and measurements: runs a complete fleet as processes.
//!
//! - [`process`]: one process, its listeners and signals,
//! - [`fleet`]: all processes of a fleet, with the settings and documents they need,
//! - [`shape`]: how large a fleet is and how it is set up,
//! - [`targets`] and [`bundles`]: the fleet's targets and bundles,
//! - [`wait`]: polling for a condition instead of sleeping for a fixed time.

pub mod bundles;
pub mod fleet;
pub mod process;
pub mod shape;
pub mod targets;
pub mod wait;

pub use fleet::Fleet;
pub use process::Process;
pub use shape::FleetShape;
