//! Requests that a box without paths to targets sends to one that has them.
//!
//! A box that cannot reach the targets of a request's pool sends the request, as the caller sent it, to another box,
//! which admits it again and serves it like a request of its own caller: its choice of a target, its retry budget and its
//! limits apply. Nothing that the first box states gives a request more than a caller could get: the headers between
//! boxes only lower what it may take. A request is sent on once; a box that cannot serve it says so, and the first box
//! tries another.
//!
//! - [`head`]: headers between the two boxes,
//! - [`boxes`]: which box to send to,
//! - [`search_budget`]: how many boxes are asked while none is known that reaches the targets,
//! - [`capacity`]: how much a box serves for others.

pub mod boxes;
pub mod capacity;
pub mod head;
pub mod search_budget;
