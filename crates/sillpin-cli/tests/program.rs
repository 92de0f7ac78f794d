//! The arguments and exit codes of `sillpin`.

use std::process::Command;

#[test]
fn a_new_bundle_passes_its_own_check() {
    let sillpin = || Command::new(env!("CARGO_BIN_EXE_sillpin"));
    let new = sillpin().args(["bundle", "new", "first"]).output().unwrap();
    assert!(new.status.success());
    let dir = std::env::temp_dir().join(format!("sillpin-cli-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("bundle.json");
    std::fs::write(&file, &new.stdout).unwrap();
    let check = sillpin()
        .args(["bundle", "check"])
        .arg(&file)
        .output()
        .unwrap();
    assert!(check.status.success());
    let broken = String::from_utf8(new.stdout)
        .unwrap()
        .replace("\"max_attempts\": 4", "\"max_attempts\": 0");
    std::fs::write(&file, broken).unwrap();
    let check = sillpin()
        .args(["bundle", "check"])
        .arg(&file)
        .output()
        .unwrap();
    assert_eq!(check.status.code(), Some(3));
    assert_eq!(
        String::from_utf8(check.stderr).unwrap(),
        "error: the bundle is refused: \n  control.limits.max_attempts: must be from 1 to 8\n"
    );
}
