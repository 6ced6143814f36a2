//! Processes of a test.

use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Longest wait for a process to say where it listens.
const START_TIME: Duration = Duration::from_secs(20);

/// A process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    /// Starts a program of the workspace.
    ///
    /// # Panics
    ///
    /// When the program was not built.
    pub fn start(program: &str, args: &[String]) -> Self {
        Self::start_with_env(program, args, &[])
    }

    /// Starts a program of the workspace with variables of its environment.
    ///
    /// # Panics
    ///
    /// When the program was not built.
    pub fn start_with_env(program: &str, args: &[String], variables: &[(&str, &OsStr)]) -> Self {
        let path = program_path(program);
        let mut child = Command::new(&path)
            .args(args)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        let (tx, lines) = channel();
        let outputs: [Option<Box<dyn Read + Send>>; 2] = [
            child.stdout.take().map(|out| Box::new(out) as _),
            child.stderr.take().map(|out| Box::new(out) as _),
        ];
        for output in outputs.into_iter().flatten() {
            let (tx, program) = (tx.clone(), program.to_owned());
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    // Captured by the test runner, shown when the test fails.
                    println!("{program}: {line}");
                    let _ = tx.send(line);
                }
            });
        }
        Self { child, lines }
    }

    /// What a program prints that ends at once.
    pub fn run_to_exit(program: &str, args: &[String]) -> String {
        let output = Command::new(program_path(program)).args(args).output();
        let output = output.unwrap_or_else(|error| panic!("{program}: {error}"));
        String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
    }

    /// The address that the process prints after a text.
    ///
    /// # Panics
    ///
    /// When the process does not print it in time.
    pub fn wait_for_address(&self, text: &str) -> SocketAddr {
        let line = self.wait_for_line(text);
        let rest = line.split_once(text).map_or("", |(_, rest)| rest);
        let word = rest.split_whitespace().next().unwrap_or_default();
        word.parse().unwrap_or_else(|_| panic!("`{word}` is not an address"))
    }

    /// The next line that the process prints with a text in it.
    ///
    /// # Panics
    ///
    /// When the process does not print it in time.
    pub fn wait_for_line(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(START_TIME);
            let line = line.unwrap_or_else(|_| panic!("the process did not print `{text}`"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to drain.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Tells the process that its settings have changed.
    pub fn send_sighup(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Freezes the process.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Wakes a frozen process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Whether the process has ended.
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

/// Programs stand beside the folder of the test programs.
pub(crate) fn program_path(program: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test program has a path");
    let folder = test.parent().and_then(|deps| deps.parent()).expect("a target folder");
    folder.join(program)
}
