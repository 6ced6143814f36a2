//! Log output to a pipe or socket whose reader may stand still.

use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use nix::errno::Errno;
use nix::fcntl::OFlag;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::sys::socket::{MsgFlags, send};

/// Maximum size of the lines that wait for the reader, in bytes.
const MAX_BACKLOG_BYTES: usize = 1024 * 1024;
/// Time for which the exit of the process waits for the reader.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(40);

/// Writes lines to a pipe or socket without waiting for its reader.
///
/// Lines that the reader doesn't take at once wait in a queue of bounded size, which a
/// thread writes. When the queue is full, lines are dropped and counted until it is empty,
/// so that there is one gap, whose size is reported at its end.
#[derive(Debug)]
pub struct PipeOutput {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    output: NonBlocking,
    backlog: Mutex<Backlog>,
    /// Notified when the backlog is empty.
    emptied: Condvar,
    /// Called with the number of dropped lines, if any, when the backlog is empty.
    report_dropped: fn(u64),
}

/// Lines that the reader has not taken yet.
///
/// Invariant: a thread writes them while `is_writing`, and there are none otherwise.
#[derive(Debug, Default)]
struct Backlog {
    lines: VecDeque<Vec<u8>>,
    /// Total size of `lines`.
    bytes: usize,
    dropped: u64,
    is_writing: bool,
}

#[derive(Debug)]
enum NonBlocking {
    /// A pipe, opened once more, because the mode of an open file is shared with other
    /// processes.
    Pipe(File),
    Socket(OwnedFd),
}

impl PipeOutput {
    /// Calls `report_dropped` with the number of lines that were dropped, once the reader has
    /// taken all that waited. Returns `None` if `stream` is no pipe and no socket, or can't be
    /// written without waiting.
    pub fn new(stream: impl AsFd, report_dropped: fn(u64)) -> Option<Self> {
        let output = NonBlocking::new(stream.as_fd())?;
        let shared =
            Shared { output, backlog: Mutex::default(), emptied: Condvar::new(), report_dropped };
        Some(Self { shared: Arc::new(shared) })
    }
}

impl Write for PipeOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut backlog = self.shared.lock();
        if backlog.is_writing {
            backlog.push(line);
            return Ok(line.len());
        }
        let written = match self.shared.output.write(line) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
            written => written?,
        };
        if written < line.len() {
            backlog.push(&line[written..]);
            backlog.is_writing = true;
            let shared = Arc::clone(&self.shared);
            let writer = thread::Builder::new().name("log".into());
            if let Err(error) = writer.spawn(move || shared.write_backlog()) {
                *backlog = Backlog::default();
                return Err(error);
            }
        }
        Ok(line.len())
    }

    /// Waits for a short time until the reader has taken what waits.
    fn flush(&mut self) -> io::Result<()> {
        let backlog = self.shared.lock();
        let waited =
            self.shared.emptied.wait_timeout_while(backlog, FLUSH_TIMEOUT, |b| b.is_writing);
        let (backlog, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if backlog.is_writing { Err(io::ErrorKind::TimedOut.into()) } else { Ok(()) }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Backlog> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the backlog until it is empty, at the speed of the reader.
    fn write_backlog(&self) {
        loop {
            let mut backlog = self.lock();
            let Some(line) = backlog.pop() else {
                let dropped = backlog.finish();
                drop(backlog);
                if dropped > 0 {
                    (self.report_dropped)(dropped);
                }
                self.emptied.notify_all();
                return;
            };
            drop(backlog);
            // If the reader has left, the next line that is logged finds that out as well.
            let _ = self.output.write_waiting(&line);
        }
    }
}

impl Backlog {
    /// Adds a line, or drops it if there is no room or others have been dropped.
    fn push(&mut self, line: &[u8]) {
        if self.dropped > 0 || self.bytes + line.len() > MAX_BACKLOG_BYTES {
            self.dropped += 1;
            return;
        }
        self.bytes += line.len();
        self.lines.push_back(line.to_vec());
    }

    fn pop(&mut self) -> Option<Vec<u8>> {
        let line = self.lines.pop_front()?;
        self.bytes -= line.len();
        Some(line)
    }

    /// Ends the writing of the backlog. Returns the number of lines dropped meanwhile.
    fn finish(&mut self) -> u64 {
        self.is_writing = false;
        std::mem::take(&mut self.dropped)
    }
}

impl NonBlocking {
    fn new(stream: BorrowedFd<'_>) -> Option<Self> {
        let file = File::from(stream.try_clone_to_owned().ok()?);
        let kind = file.metadata().ok()?.file_type();
        if kind.is_socket() {
            return Some(Self::Socket(file.into()));
        }
        if !kind.is_fifo() {
            return None;
        }
        let path = format!("/proc/self/fd/{}", stream.as_raw_fd());
        let flags = OFlag::O_NONBLOCK.bits();
        OpenOptions::new().write(true).custom_flags(flags).open(path).ok().map(Self::Pipe)
    }

    /// Writes as much as the reader has room for. Fails with `WouldBlock` if it has none.
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Self::Pipe(pipe) => (&mut &*pipe).write(bytes),
            Self::Socket(socket) => {
                let flags = MsgFlags::MSG_DONTWAIT | MsgFlags::MSG_NOSIGNAL;
                Ok(send(socket.as_raw_fd(), bytes, flags)?)
            }
        }
    }

    /// Writes all bytes, and waits for the reader where it must.
    fn write_waiting(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.write(bytes) {
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.wait_for_room()?,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn wait_for_room(&self) -> io::Result<()> {
        let fd = match self {
            Self::Pipe(pipe) => pipe.as_fd(),
            Self::Socket(socket) => socket.as_fd(),
        };
        match poll(&mut [PollFd::new(fd, PollFlags::POLLOUT)], PollTimeout::NONE) {
            Ok(_) | Err(Errno::EINTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}
