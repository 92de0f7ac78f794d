//! Which engine takes a request, and whose request goes next: one task owns the estimates of the
//! engines' backlogs, the waiting requests and the retry budget.

mod backlog;
pub mod placer;
mod task;

pub use task::{PlaceRequest, Placed, PlacerHandle, Refusal, start};
