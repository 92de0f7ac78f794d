//! Checks that invalid settings are reported.

#[path = "../../sillpin-settings/tests/support/program.rs"]
mod program;

#[test]
fn all_faults_in_the_settings_are_reported() {
    let faulty = "[box]\nid = a\nzone = Z\ncolour = red\n";
    let (ok, out, err) = program::run(env!("CARGO_BIN_EXE_sillpin-entry"), faulty, &["--check"]);
    let text = out + &err;
    assert!(!ok);
    let expected = "box.ini:4: unknown key colour in [box]; accepted: id, zone";
    assert!(text.contains(expected), "{text}");
    assert!(
        text.contains("box.ini:3: [box] zone: \"Z\" is not accepted"),
        "{text}"
    );
}
