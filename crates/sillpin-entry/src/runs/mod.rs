//! Executes model requests: claim, attempts, resumption, continuation.
//!
//! One task per request (`drive`) passes tokens to the response. The response's head is sent with
//! the first token, so that an earlier failure still gets its own status. What follows a failed
//! attempt:
//!
//! | failure of the attempt | repeatable request | at-most-once request |
//! |---|---|---|
//! | not sent, or refused | another engine | another engine |
//! | response broke off | resumed at the same engine by cursor, else continued at another engine from the delivered tokens | resumed at the same engine by cursor, else outcome unknown |
//! | response belongs to another attempt | another engine | outcome unknown |

mod accounting;
mod attempt;
mod call;
mod drive;
pub mod idempotency;
mod plan;
mod send;

pub use call::{Call, serve};
