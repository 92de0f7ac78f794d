//! Runs a program with a settings file; included by the tests of several programs.

use std::path::Path;
use std::process::Command;

/// Runs the program at `exe` with `text` as its settings file. Returns whether it succeeded, its
/// standard output and its standard error, in which the path of the file is replaced by `box.ini`.
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
