//! The work behind the commands.

pub mod demo;
pub mod overhead;
