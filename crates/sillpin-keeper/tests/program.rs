//! Checks of the program's settings on the command line.

#[path = "../../sillpin-settings/tests/support/program.rs"]
mod program;

#[test]
fn faulty_settings_are_refused_with_every_fault() {
    let faulty = "[box]\nid = a\nzone = Z\ncolour = red\n";
    let (ok, out, err) = program::run(env!("CARGO_BIN_EXE_sillpin-keeper"), faulty, &["--check"]);
    let text = out + &err;
    assert!(!ok);
    let expected = "box.ini:4: unknown key colour in [box]; accepted: id, zone";
    assert!(text.contains(expected), "{text}");
    assert!(
        text.contains("box.ini:3: [box] zone: \"Z\" is not accepted"),
        "{text}"
    );
}
