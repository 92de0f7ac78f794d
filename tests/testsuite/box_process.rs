//! `sillpin-box` as a process: settings, signals and log.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;
use sillpin_testsuite::process::program;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;
use tempfile::TempDir;

/// Time limit for a log line or a response.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Settings with listeners at free ports and a platform store that does not exist.
const SETTINGS: &str = "[box]\nid = box-1\nzone = za\nip = 127.0.0.1\n\
    [listen]\ncallers = 127.0.0.1:0\nready = 127.0.0.1:0\npeers = 127.0.0.1:0\ngossip-port = 0\nmetrics-port = 0\n\
    [platform]\naddr = 127.0.0.1:1\n[limits]\nmemory-mb = 64\ndescriptors = 1000\n\
    [promises]\ngrace-s = 4\n";

/// A running box; its log is read continuously.
struct BoxProcess {
    child: Child,
    lines: Receiver<serde_json::Value>,
    dir: TempDir,
}

/// Starts a box with [`SETTINGS`].
fn spawn() -> (Child, TempDir) {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("box.ini");
    std::fs::write(&file, SETTINGS).unwrap();
    let child = Command::new(program("sillpin-box"))
        .env("SILLPIN_CONFIG", &file)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    (child, dir)
}

/// A running box whose log is read up to its first line only.
struct UnreadBox {
    child: Child,
    _dir: TempDir,
    callers: SocketAddr,
}

impl UnreadBox {
    fn callers(&self) -> SocketAddr {
        self.callers
    }
}

impl Drop for UnreadBox {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl BoxProcess {
    fn start_unread() -> UnreadBox {
        let (mut child, dir) = spawn();
        let stdout = child.stdout.as_mut().unwrap();
        // Reads single bytes, so that nothing after the first line is consumed.
        let mut line = Vec::new();
        let mut byte = [0];
        while !line.ends_with(b"\n") {
            stdout.read_exact(&mut byte).unwrap();
            line.push(byte[0]);
        }
        let first: serde_json::Value = serde_json::from_slice(&line).unwrap();
        let callers = first["callers"].as_str().unwrap().parse().unwrap();
        UnreadBox {
            child,
            _dir: dir,
            callers,
        }
    }

    fn start() -> Self {
        let (mut child, dir) = spawn();
        let stdout = child.stdout.take().unwrap();
        let (tx, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("each log line is a JSON document");
                if tx.send(line).is_err() {
                    return;
                }
            }
        });
        let process = Self { child, lines, dir };
        process.wait_for(300);
        process
    }

    /// Returns the next log record of an event.
    fn wait_for(&self, event: u64) -> serde_json::Value {
        loop {
            let line = self.lines.recv_timeout(TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("timed out waiting for event {event}"));
            if line["event"] == event {
                return line;
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(id), signal).unwrap();
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// SIGHUP must have a handler: without one it ends the process (exit code 129).
#[test]
fn a_hangup_reloads_the_settings() {
    let process = BoxProcess::start();
    let file = process.dir.path().join("box.ini");
    let changed = SETTINGS.replace(
        "addr = 127.0.0.1:1",
        "addr = 127.0.0.1:1\nseeds = 127.0.0.1:2",
    );
    std::fs::write(&file, changed).unwrap();
    process.signal(Signal::SIGHUP);
    let line = process.wait_for(304);
    assert_eq!(line["changed"], "platform.seeds");
    assert_eq!(line["waiting"], "");
}

#[test]
fn a_reload_of_invalid_settings_is_refused_and_the_box_keeps_running() {
    let mut process = BoxProcess::start();
    let file = process.dir.path().join("box.ini");
    std::fs::write(&file, SETTINGS.replace("grace-s = 4", "grace-s = soon")).unwrap();
    process.signal(Signal::SIGHUP);
    let line = process.wait_for(305);
    let why = line["why"].as_str().unwrap();
    assert!(
        why.contains("box.ini:17") && why.contains("grace-s"),
        "{why}"
    );
    assert!(process.child.try_wait().unwrap().is_none());
}

#[test]
fn a_stop_is_logged_and_exits_successfully() {
    let mut process = BoxProcess::start();
    process.signal(Signal::SIGTERM);
    process.wait_for(301);
    process.wait_for(303);
    assert!(process.child.wait().unwrap().success());
}

/// Requests sent while the log is not read; enough to fill the pipe and the log's buffer.
const UNREAD_REQUESTS: usize = 12_000;

#[test]
fn an_unread_log_delays_no_request_and_reports_dropped_records() {
    let mut process = BoxProcess::start_unread();
    let addr = process.callers();
    let mut tcp = std::net::TcpStream::connect(addr).unwrap();
    tcp.set_read_timeout(Some(TIMEOUT)).unwrap();
    let req = "GET /a/b HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n";
    let mut reader = BufReader::new(tcp.try_clone().unwrap());
    for _ in 0..UNREAD_REQUESTS {
        tcp.write_all(req.as_bytes()).unwrap();
        let status = read_response(&mut reader);
        assert!(
            status.starts_with("HTTP/1.1 503"),
            "no configuration yet: {status}"
        );
    }
    let stdout = process.child.stdout.take().unwrap();
    let lines = BufReader::new(stdout).lines().map_while(Result::ok);
    let reported = lines
        .into_iter()
        .any(|line| line.contains("dropped messages"));
    assert!(reported, "the log must report its dropped records");
}

/// Reads a response with a `content-length` and returns its status line.
fn read_response(reader: &mut impl BufRead) -> String {
    let mut status = String::new();
    reader.read_line(&mut status).unwrap();
    let mut len = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if let Some(text) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            len = text.trim().parse().unwrap();
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).unwrap();
    status
}

#[test]
fn an_unreachable_store_is_logged() {
    let process = BoxProcess::start();
    let line = process.wait_for(320);
    assert!(
        line["why"].as_str().unwrap().contains("out of reach"),
        "{line}"
    );
}

#[rstest]
#[case::missing("id = box-1\n", "", "[box] id must be given")]
#[case::unknown("id = box-1\n", "id = box-1\ncolour = red\n", "unknown key colour")]
#[case::malformed("127.0.0.1:1\n", "nowhere\n", "[platform] addr")]
fn invalid_settings_end_the_program_with_file_and_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("box.ini");
    std::fs::write(&file, SETTINGS.replace(from, to)).unwrap();
    let out = Command::new(program("sillpin-box"))
        .arg("--config")
        .arg(&file)
        .arg("--check")
        .output()
        .unwrap();
    assert!(!out.status.success());
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(
        text.contains("box.ini") && text.contains(expected),
        "{text}"
    );
}
