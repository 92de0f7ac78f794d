//! This keeper's state of the fleet, owned by one task; other tasks query it by messages.

mod items;
mod messages;
mod table;
mod task;
mod views;

pub use messages::{FleetHandle, FleetMsg, PollResult};
pub use table::{FleetTable, Identity};
pub use task::{Published, start};
