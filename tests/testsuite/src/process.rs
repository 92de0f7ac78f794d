//! A child process with its listeners' addresses and signals. It is killed when its handle is dropped.

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

/// Time limit for a process to print the addresses of its listeners.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Environment variable with the directory of the programs to run; the default is the directory of the
/// running program.
pub const PROGRAMS_ENV: &str = "SILLPIN_PROGRAMS";

/// Returns the path of a program of the workspace, in [`PROGRAMS_ENV`] or beside the running program.
///
/// # Panics
///
/// If the program is not built.
pub fn program(name: &str) -> PathBuf {
    if let Ok(dir) = std::env::var(PROGRAMS_ENV) {
        return Path::new(&dir).join(name);
    }
    let running = std::env::current_exe().unwrap_or_default();
    let mut dirs = running.ancestors().skip(1).take(2);
    let found = dirs.find_map(|dir| Some(dir.join(name)).filter(|path| path.is_file()));
    found.unwrap_or_else(|| panic!("{name} is not built: run `cargo build --workspace` first"))
}

/// A running process. It is killed on drop.
pub struct Process {
    name: String,
    child: Child,
    listening: HashMap<String, SocketAddr>,
}

impl Process {
    /// Starts the program at `path` and waits until it has printed the addresses of its `listeners`.
    /// Its standard error goes to the file `name`.log in `dir`.
    ///
    /// # Panics
    ///
    /// If it cannot be started or does not print the addresses in time.
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

    /// Returns the name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address of a listener.
    ///
    /// # Panics
    ///
    /// If it has no such listener.
    pub fn addr(&self, listener: &str) -> SocketAddr {
        let addr = self.listening.get(listener);
        *addr.unwrap_or_else(|| panic!("{} has no listener {listener}", self.name))
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process ids fit");
        let _ = kill(Pid::from_raw(id), signal);
    }

    /// Sends SIGTERM, which starts an orderly shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Stops its execution with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Continues its execution after [`Process::pause`].
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Kills it with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns its exit status, or `None` while it runs.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads `listening NAME ADDR` lines until all `expected` names are present. A thread keeps reading
/// afterwards, so that the process never blocks on a full pipe.
fn read_listeners(
    name: &str,
    stdout: std::process::ChildStdout,
    expected: &[&str],
) -> HashMap<String, SocketAddr> {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let mut fields = line.split(' ');
            if let (Some("listening"), Some(name), Some(addr)) =
                (fields.next(), fields.next(), fields.next())
                && let Ok(addr) = addr.parse::<SocketAddr>()
            {
                let _ = tx.send((name.to_owned(), addr));
            }
        }
    });
    let mut listening = HashMap::new();
    while !expected.iter().all(|name| listening.contains_key(*name)) {
        let (listener, addr) = rx
            .recv_timeout(START_TIMEOUT)
            .unwrap_or_else(|_| panic!("{name} did not print its listeners in time: see its log"));
        listening.insert(listener, addr);
    }
    listening
}
