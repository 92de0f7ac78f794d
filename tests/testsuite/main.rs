//! Integration tests over real processes.

mod path;
