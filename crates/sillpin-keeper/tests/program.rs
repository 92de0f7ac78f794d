//! The program's arguments.

use std::process::Command;

fn run(text: &str, args: &[&str]) -> (bool, String) {
    let dir = std::env::temp_dir().join(format!("sillpin-keeper-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("box.ini");
    std::fs::write(&file, text).unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_sillpin-keeper"))
        .arg("--config")
        .arg(&file)
        .args(args)
        .output()
        .unwrap();
    let text = [out.stdout, out.stderr].concat();
    let text = String::from_utf8(text).unwrap();
    (
        out.status.success(),
        text.replace(&file.display().to_string(), "box.ini"),
    )
}

#[test]
fn faulty_settings_are_refused_with_every_fault() {
    let (ok, text) = run("[box]\nid = a\nzone = Z\ncolour = red\n", &["--check"]);
    assert!(!ok);
    let expected = "box.ini:4: unknown key colour in [box]; accepted: id, zone";
    assert!(text.contains(expected), "{text}");
    assert!(
        text.contains("box.ini:3: [box] zone: \"Z\" is not accepted"),
        "{text}"
    );
}
