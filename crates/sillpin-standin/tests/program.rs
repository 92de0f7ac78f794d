//! Tests of the command line.

use std::process::Command;

#[test]
fn an_unknown_standin_is_refused() {
    let out = Command::new(env!("CARGO_BIN_EXE_sillpin-standin"))
        .arg("oracle")
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2));
}
