//! Command-line arguments of `sillpin-box`.

#[path = "../../sillpin-settings/tests/support/program.rs"]
mod program;

#[test]
fn the_program_prints_the_settings_that_it_would_use() {
    let text = "[box]\nid = b\nzone = z\nip = 127.0.0.1\n[listen]\ncallers = 127.0.0.1:1\n\
        ready = 127.0.0.1:2\npeers = 127.0.0.1:3\ngossip-port = 4\n[platform]\naddr = 127.0.0.1:5\n\
        [limits]\nmemory-mb = 64\ndescriptors = 500\n";
    let args = ["--print-settings", "--set", "promises.grace-s=6"];
    let (ok, shown, _) = program::run(env!("CARGO_BIN_EXE_sillpin-box"), text, &args);
    assert!(ok);
    assert!(shown.contains("grace-s = 6  ; flag"), "{shown}");
    assert!(shown.contains("lease-ms = 3000  ; default"), "{shown}");
}
