//! Log output whose reader stands still.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use clementine_process::logging::PipeOutput;

/// More lines than a pipe and the lines that may wait take.
const LINES: usize = 40_000;
/// Far more than it takes to write the lines if no write waits.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Far more than it takes to read the lines.
const READ_LIMIT: Duration = Duration::from_secs(10);

/// Numbers of dropped lines that were reported to any test.
static DROPPED: Mutex<Vec<u64>> = Mutex::new(Vec::new());

fn report_dropped(lines: u64) {
    DROPPED.lock().expect("not poisoned").push(lines);
}

fn line(n: usize) -> String {
    format!("line {n:06} {:060}\n", 0)
}

/// Writes lines while nobody reads, and then one more when all that wait are read.
fn assert_one_reported_gap<W: AsFd>(stream: W, reader: impl Read + Send + 'static) {
    let mut output = PipeOutput::new(&stream, report_dropped).expect("a pipe or a socket");
    let started = Instant::now();
    for n in 0..LINES {
        output.write_all(line(n).as_bytes()).expect("written, kept or dropped");
    }
    assert!(started.elapsed() < WRITE_LIMIT, "{:?}", started.elapsed());
    let stalled = output.flush().expect_err("the reader stands still");
    assert_eq!(stalled.kind(), ErrorKind::TimedOut);

    let reading = thread::spawn(move || {
        let lines = BufReader::new(reader).lines().map(|line| line.expect("a line") + "\n");
        lines.take_while(|line| line != "last\n").collect::<Vec<_>>()
    });
    let started = Instant::now();
    while output.flush().is_err() {
        assert!(started.elapsed() < READ_LIMIT, "lines are not read");
    }
    output.write_all(b"last\n").expect("written");
    let received = reading.join().expect("the reader ends");
    assert!((10_000..LINES).contains(&received.len()), "{} received", received.len());
    let sent: Vec<String> = (0..received.len()).map(line).collect();
    assert!(received == sent, "the first lines, in order");
    let dropped = (LINES - received.len()) as u64;
    let is_reported = || DROPPED.lock().expect("not poisoned").contains(&dropped);
    while !is_reported() {
        assert!(started.elapsed() < READ_LIMIT, "{dropped} dropped, reported: {DROPPED:?}");
        thread::yield_now();
    }
}

/// Guards against a process that stops because nobody reads its log.
#[test]
fn lines_to_a_pipe_wait_or_are_dropped_and_counted() {
    let (reader, writer) = io::pipe().expect("a pipe");
    assert_one_reported_gap(writer, reader);
}

/// Like the other test, for the sockets that supervisors use.
#[test]
fn lines_to_a_socket_wait_or_are_dropped_and_counted() {
    let (reader, writer) = UnixStream::pair().expect("a pair of sockets");
    assert_one_reported_gap(writer, reader);
}

/// A reader that has left is an error, as for any other output.
#[test]
fn line_to_a_reader_that_has_left_is_an_error() {
    let (reader, writer) = io::pipe().expect("a pipe");
    let mut output = PipeOutput::new(&writer, report_dropped).expect("a pipe");
    drop(reader);
    let error = output.write_all(b"line\n").expect_err("nobody reads");
    assert_eq!(error.kind(), ErrorKind::BrokenPipe);
}
