//! Chores of the workspace.
fn main() {}
