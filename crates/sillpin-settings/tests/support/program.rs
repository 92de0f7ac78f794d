//! Runs a program with a settings file; the tests of the programs include this file.

use std::path::Path;
use std::process::Command;

/// Runs the program at `exe` with `text` as its settings: whether it succeeded, its standard output and its standard
/// error, where the file is called `box.ini`.
pub fn run(exe: &str, text: &str, args: &[&str]) -> (bool, String, String) {
    let name = Path::new(exe).file_name().unwrap().display();
    let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("box.ini");
    std::fs::write(&file, text).unwrap();
    let out = Command::new(exe)
        .arg("--config")
        .arg(&file)
        .args(args)
        .output()
        .unwrap();
    let shown = |bytes| {
        let text = String::from_utf8(bytes).unwrap();
        text.replace(&file.display().to_string(), "box.ini")
    };
    (out.status.success(), shown(out.stdout), shown(out.stderr))
}
