//! Carries a model request out: claim, attempts, resumption, continuation.
//!
//! One task drives a request ([`drive`]) and hands tokens to the answer; the answer's head is sent
//! when the first token is there, so that an early failure still gets its own status. What may
//! follow a failed attempt:
//!
//! | the attempt | repeatable | runs at most once |
//! |---|---|---|
//! | was not sent, or was refused | another engine | another engine |
//! | broke off | resumed at the engine by cursor, else continued elsewhere from the delivered tokens | resumed at the engine by cursor, else unknown |
//! | answered for another attempt | another engine | unknown |

mod account;
mod attempt;
mod call;
mod drive;
pub mod once;
mod prompt;
mod send;

pub use call::{Call, serve};
