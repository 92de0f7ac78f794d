//! The program's arguments.

use std::process::Command;

#[test]
fn the_program_prints_the_settings_that_it_would_use() {
    let dir = std::env::temp_dir().join(format!("sillpin-box-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("box.ini");
    let text = "[box]\nid = b\nzone = z\nip = 127.0.0.1\n[listen]\ncallers = 127.0.0.1:1\n\
        ready = 127.0.0.1:2\npeers = 127.0.0.1:3\ngossip-port = 4\n[platform]\naddr = 127.0.0.1:5\n\
        [limits]\nmemory-mb = 64\ndescriptors = 500\n";
    std::fs::write(&file, text).unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_sillpin-box"))
        .arg("--config")
        .arg(&file)
        .args(["--print-settings", "--set", "promises.grace-s=6"])
        .output()
        .unwrap();
    assert!(out.status.success());
    let shown = String::from_utf8(out.stdout).unwrap();
    assert!(shown.contains("grace-s = 6  ; flag"), "{shown}");
    assert!(shown.contains("lease-ms = 3000  ; default"), "{shown}");
}
