//! What this keeper knows of the fleet: one task owns it, others ask by message.

mod items;
mod messages;
mod table;
mod task;
mod views;

pub use messages::{FleetHandle, FleetMsg, TargetReading};
pub use table::{FleetTable, Identity};
pub use task::{Published, start};
