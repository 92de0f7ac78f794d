//! One process: started, found where it listens, signalled, and ended with its handle.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::HashMap;
use std::ffi::OsStr;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// Longest wait for a process to say where it listens.
const START_PATIENCE: Duration = Duration::from_secs(20);

/// Names a directory to take programs from, in place of the running program's own.
pub const PROGRAMS_ENV: &str = "SILLPIN_PROGRAMS";

/// A program of the workspace, beside the running one.
///
/// # Panics
///
/// When it is not built.
pub fn program(name: &str) -> PathBuf {
    if let Ok(dir) = std::env::var(PROGRAMS_ENV) {
        return Path::new(&dir).join(name);
    }
    let me = std::env::current_exe().unwrap_or_default();
    let mut dirs = me.ancestors().skip(1).take(2);
    let found = dirs.find_map(|dir| Some(dir.join(name)).filter(|path| path.is_file()));
    found.unwrap_or_else(|| panic!("{name} is not built: run `cargo build --workspace` first"))
}

/// A running process. It is killed when this is dropped.
pub struct Process {
    name: String,
    child: Child,
    listening: HashMap<String, SocketAddr>,
}

impl Process {
    /// Starts `program` and waits until it has said where its `listeners` are. Its standard error
    /// goes to a file in `dir`.
    ///
    /// # Panics
    ///
    /// When it cannot be started or ends at once.
    pub fn start<S: AsRef<OsStr>>(
        dir: &Path,
        name: &str,
        path: &Path,
        args: impl IntoIterator<Item = S>,
        listeners: &[&str],
    ) -> Self {
        let log = std::fs::File::create(dir.join(format!("{name}.log")));
        let mut child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.expect("the test directory is writable"))
            .spawn()
            .unwrap_or_else(|e| panic!("cannot start {name}: {e}"));
        let stdout = child.stdout.take().expect("stdout is piped");
        let listening = read_listeners(name, stdout, listeners);
        Self {
            name: name.to_owned(),
            child,
            listening,
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Where it listens.
    ///
    /// # Panics
    ///
    /// When it has no such listener.
    pub fn addr(&self, listener: &str) -> SocketAddr {
        let addr = self.listening.get(listener);
        *addr.unwrap_or_else(|| panic!("{} has no listener {listener}", self.name))
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process ids fit");
        let _ = kill(Pid::from_raw(id), signal);
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Freezes it.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn go_on(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads `listening NAME ADDR` lines until all are there; then reads on, so that the process never
/// blocks on a full pipe.
fn read_listeners(
    name: &str,
    stdout: std::process::ChildStdout,
    wanted: &[&str],
) -> HashMap<String, SocketAddr> {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let mut words = line.split(' ');
            if let (Some("listening"), Some(name), Some(addr)) =
                (words.next(), words.next(), words.next())
                && let Ok(addr) = addr.parse::<SocketAddr>()
            {
                let _ = tx.send((name.to_owned(), addr));
            }
        }
    });
    let mut listening = HashMap::new();
    while !wanted.iter().all(|name| listening.contains_key(*name)) {
        let (listener, addr) = rx
            .recv_timeout(START_PATIENCE)
            .unwrap_or_else(|_| panic!("{name} did not start: see its log"));
        listening.insert(listener, addr);
    }
    listening
}
