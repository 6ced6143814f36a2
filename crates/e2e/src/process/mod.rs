//! Processes started by a test.

use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Timeout for a process to print an expected line.
const OUTPUT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which it is checked whether output is to be read again.
const UNREAD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running process; killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Lines of standard output and standard error.
    lines: Receiver<String>,
    /// Whether its output stays unread.
    unread: Arc<AtomicBool>,
}

impl Process {
    /// Starts a program of the workspace.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started, for example because it was not built.
    pub fn start(program: &str, args: &[String]) -> Self {
        Self::start_with_env(program, args, &[])
    }

    /// Starts a program of the workspace with additional environment variables.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started, for example because it was not built.
    pub fn start_with_env(program: &str, args: &[String], env: &[(&str, &OsStr)]) -> Self {
        let path = program_path(program);
        let mut child = Command::new(&path)
            .args(args)
            .envs(env.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        let (tx, lines) = channel();
        let unread = Arc::new(AtomicBool::new(false));
        let outputs: [Option<Box<dyn Read + Send>>; 2] = [
            child.stdout.take().map(|out| Box::new(out) as _),
            child.stderr.take().map(|out| Box::new(out) as _),
        ];
        for output in outputs.into_iter().flatten() {
            let (tx, program, unread) = (tx.clone(), program.to_owned(), Arc::clone(&unread));
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    while unread.load(Ordering::Relaxed) {
                        std::thread::sleep(UNREAD_POLL_INTERVAL);
                    }
                    // The test runner captures this output and shows it if the test fails.
                    println!("{program}: {line}");
                    let _ = tx.send(line);
                }
            });
        }
        Self { child, lines, unread }
    }

    /// Leaves what the process prints unread, or reads it again.
    pub fn set_unread(&self, unread: bool) {
        self.unread.store(unread, Ordering::Relaxed);
    }

    /// Largest memory that the process has used so far, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.expect("a size in KiB") * 1024
    }

    /// Runs a program to completion and returns its standard output and standard error.
    pub fn run_to_exit(program: &str, args: &[String]) -> String {
        let output = Command::new(program_path(program)).args(args).output();
        let output = output.unwrap_or_else(|error| panic!("{program}: {error}"));
        String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
    }

    /// Waits for a line that contains `text` and returns the socket address that
    /// follows it.
    ///
    /// # Panics
    ///
    /// Panics if there is no such line within 20 s, or no address after the text.
    pub fn wait_for_address(&self, text: &str) -> SocketAddr {
        let line = self.wait_for_line(text);
        let rest = line.split_once(text).map_or("", |(_, rest)| rest);
        let word = rest.split_whitespace().next().unwrap_or_default();
        word.parse().unwrap_or_else(|_| panic!("`{word}` is not an address"))
    }

    /// Waits for a line that contains `text` and returns it; lines before it are
    /// discarded.
    ///
    /// # Panics
    ///
    /// Panics if the process prints nothing for 20 s, or exits, before such a line.
    pub fn wait_for_line(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(OUTPUT_TIMEOUT);
            let line =
                line.unwrap_or_else(|_| panic!("the process did not print a line with `{text}`"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Sends SIGHUP, which makes the process reload its settings.
    pub fn send_sighup(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap_or(i32::MAX);
        let _ = kill(Pid::from_raw(id), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program of the workspace. Test executables are in the
/// `deps` directory beside the programs.
pub(crate) fn program_path(program: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test executable has a path");
    let directory = test
        .parent()
        .and_then(|deps| deps.parent())
        .expect("the test executable is in the target directory");
    directory.join(program)
}
