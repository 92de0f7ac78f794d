//! Tests of the command line.

use std::process::Command;

#[test]
fn the_same_seed_prints_the_same_trace() {
    let make = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sillpin-load"));
        command.args(["make", "kerb", "--seed", "3", "--seconds", "2"]);
        command.output().unwrap().stdout
    };
    assert_eq!(make(), make());
    assert!(!make().is_empty());
}
