//! Placement: which engine runs a request, and which waiting request is next. One task owns the
//! backlog estimates, the waiting requests and the retry budget.

mod backlog;
pub mod placer;
mod task;

pub use task::{PlaceRequest, Placed, PlacerHandle, Refusal, start};
