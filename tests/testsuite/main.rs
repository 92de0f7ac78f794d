//! Integration tests that run fleets of real processes.

mod answers;
mod arms;
mod blocks;
mod box_process;
mod bundles;
mod callers;
mod drain;
mod events;
mod membership;
mod once;
mod operators;
mod organisations;
mod outcomes;
mod path;
mod traces;
mod versions;
