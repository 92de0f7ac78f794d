//! Implementations of the subcommands.

pub mod compare;
pub mod control;
pub mod demo;
pub mod faults;
pub mod idle;
pub mod overhead;
pub mod procfs;
pub mod streams;
