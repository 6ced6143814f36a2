//! Stand-ins for the platform's store, servers and clients, and the processes under
//! test. Uses the standard library only, so that `rustc` alone builds it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum duration of a case. A case that takes longer could not run.
const MAX_CASE_TIME: Duration = Duration::from_secs(110);

/// Writes `record.txt`, and prints the same lines.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// A case: its temporary folder, its record and the processes that it has started.
pub struct Case {
    pub record: Record,
    /// Whether the disruption is left out (`TROUBLE=0`).
    pub trouble: bool,
    folder: PathBuf,
    root: PathBuf,
    children: Arc<Mutex<Vec<Child>>>,
    /// Second and third number of the loopback addresses of this run.
    network: (u8, u8),
}

impl Case {
    /// Begins the case of a folder below `review/`. The current directory has to be the
    /// root of the repository.
    pub fn begin(name: &str) -> Self {
        let root = std::env::current_dir().unwrap();
        let file = File::create(root.join("review").join(name).join("record.txt")).unwrap();
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("clementine-review-{name}-{id}"));
        fs::create_dir_all(&folder).unwrap();
        let children: Arc<Mutex<Vec<Child>>> = Arc::default();
        let record = Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) };
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.line(&format!("case {name}, disruption: {}", if trouble { "yes" } else { "no" }));
        let watched = Arc::clone(&children);
        thread::spawn(move || {
            thread::sleep(MAX_CASE_TIME);
            println!("the case takes too long");
            end_children(&watched);
            exit(2);
        });
        let network = (1 + (id / 250 % 250) as u8, 1 + (id % 250) as u8);
        Self { record, trouble, folder, root, children, network }
    }

    /// Address of the nth machine of this run.
    pub fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, n)
    }

    /// Starts an entry with the command of the deploy file. Its machine is number `n`.
    pub fn start_entry(&self, n: u8, zone: &str, store: SocketAddr) -> Entry {
        let ip = self.ip(n);
        let settings = self.folder.join(format!("entry-{n}.conf"));
        let address = |port: u16| SocketAddr::from((ip, port));
        fs::write(&settings, settings_text(n, zone, ip, store)).unwrap();
        let mut entry = Entry {
            name: format!("front-{n}"),
            callers: address(8227),
            readiness: address(8220),
            settings,
            log: self.folder.join(format!("entry-{n}.log")),
            pid: 0,
        };
        self.launch(&mut entry);
        entry
    }

    /// Starts the process of an entry again after it has ended.
    pub fn launch(&self, entry: &mut Entry) {
        let log = File::options().create(true).append(true).open(&entry.log).unwrap();
        let child = Command::new(self.root.join("target/release/clementine-entry"))
            .args(["direct", "--metrics-port", "9464"])
            .env("CLEMENTINEHUB_CONFIG", &entry.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                entry.pid = child.id();
                self.record.line(&format!("{} started, pid {}", entry.name, entry.pid));
                self.children.lock().unwrap().push(child);
            }
            Err(error) => self.cannot_run(&format!("the entry does not start: {error}")),
        }
    }

    /// Starts an entry whose standard output goes through a pipe to a process that keeps
    /// the log, as on a machine with a log collector. Returns the pid of that process.
    pub fn start_entry_with_collector(&self, n: u8, zone: &str, store: SocketAddr) -> (Entry, u32) {
        let ip = self.ip(n);
        let settings = self.folder.join(format!("entry-{n}.conf"));
        fs::write(&settings, settings_text(n, zone, ip, store)).unwrap();
        let log = self.folder.join(format!("entry-{n}.log"));
        let file = File::create(&log).unwrap();
        let collector =
            Command::new("cat").stdin(Stdio::piped()).stdout(file).stderr(Stdio::null()).spawn();
        let mut collector = match collector {
            Ok(collector) => collector,
            Err(error) => self.cannot_run(&format!("the log collector does not start: {error}")),
        };
        let pipe = collector.stdin.take().unwrap();
        let entry = Command::new(self.root.join("target/release/clementine-entry"))
            .args(["direct", "--metrics-port", "9464"])
            .env("CLEMENTINEHUB_CONFIG", &settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(pipe)
            .stderr(Stdio::null())
            .spawn();
        let child = match entry {
            Ok(child) => child,
            Err(error) => self.cannot_run(&format!("the entry does not start: {error}")),
        };
        let (pid, collector_pid) = (child.id(), collector.id());
        self.record
            .line(&format!("front-{n} started, pid {pid}; its log goes to pid {collector_pid}"));
        self.children.lock().unwrap().extend([child, collector]);
        let address = |port: u16| SocketAddr::from((ip, port));
        let (callers, readiness) = (address(8227), address(8220));
        (
            Entry { name: format!("front-{n}"), callers, readiness, settings, log, pid },
            collector_pid,
        )
    }

    /// Sends a signal to the process of an entry.
    pub fn signal(&self, entry: &Entry, signal: &str) {
        self.record.line(&format!("{} gets SIG{signal}", entry.name));
        self.signal_pid(entry.pid, signal);
    }

    pub fn signal_pid(&self, pid: u32, signal: &str) {
        let command = format!("kill -{signal} {pid}");
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Waits until the process of an entry has ended.
    pub fn wait_ended(&self, entry: &Entry) {
        let mut children = self.children.lock().unwrap();
        if let Some(child) = children.iter_mut().find(|child| child.id() == entry.pid) {
            let _ = child.wait();
        }
        drop(children);
        self.record.line(&format!("{} has ended", entry.name));
    }

    /// Whether the process of an entry has ended by itself.
    pub fn has_ended(&self, entry: &Entry) -> bool {
        let mut children = self.children.lock().unwrap();
        let child = children.iter_mut().find(|child| child.id() == entry.pid);
        let status = child.and_then(|child| child.try_wait().ok().flatten());
        if let Some(status) = status {
            self.record.line(&format!("{} has ended by itself: {status}", entry.name));
        }
        status.is_some()
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, entry: &Entry) {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let request = "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
            if let Ok(answer) = exchange(entry.readiness, request, Duration::from_secs(1))
                && answer.status == 200
            {
                return self.record.line(&format!("{} is ready", entry.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.cannot_run(&format!("{} does not get ready", entry.name));
    }

    pub fn cannot_run(&self, reason: &str) -> ! {
        self.record.line(&format!("COULD NOT RUN: {reason}"));
        self.end(2)
    }

    /// Ends the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
    pub fn end(&self, code: i32) -> ! {
        end_children(&self.children);
        if std::env::var("KEEP").as_deref() != Ok("1") {
            let _ = fs::remove_dir_all(&self.folder);
        }
        exit(code)
    }

    /// Ends the case with the verdict on a rule.
    pub fn verdict(&self, broken: Option<String>) -> ! {
        match broken {
            Some(reason) => {
                self.record.line(&format!("RULE BROKEN: {reason}"));
                self.end(1)
            }
            None => {
                self.record.line("the rule held");
                self.end(0)
            }
        }
    }
}

fn end_children(children: &Mutex<Vec<Child>>) {
    for child in children.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// An entry under test.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub settings: PathBuf,
    pub log: PathBuf,
    pub pid: u32,
}

impl Entry {
    /// Lines of the log with a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

/// Settings as `fleetbench wire` shows them for a front machine.
fn settings_text(n: u8, zone: &str, ip: Ipv4Addr, store: SocketAddr) -> String {
    format!(
        "node=front-{n}\nrole=entry\nmachine-class=front\nserves=front\nip={ip}\nzone={zone}\n\
         region=bg-south\nzones.{zone}=bg-south\nlisten.front={ip}:8227\nlisten.ready={ip}:8220\n\
         internal-ports=7340,7355\nbootstrap=true\nlimits.cpu-share=0.19\nlimits.cores=1\n\
         limits.memory-mb=260\nlimits.max-fds=4100\nlimits.link-mbps=1000.0\nlimits.disk-mb=0\n\
         discovery=platform\nentry=vip\nheartbeat-ms=1200\n\
         contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers\n\
         bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.stable-window-ms=3000\n\
         bounds.ack-ms=4000\nbounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
         bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\n\
         bounds.max-stretch-ms=5000\nbounds.strict-revoke=false\nbounds.revoke-ms=5000\n\
         bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.retry-budget-slack=198\n\
         bounds.recovery-s=12\nbounds.pass-ms=120\nbounds.stall_ms=3000\n\
         bounds.require-fence=false\nplatform.address={store}\nplatform.form=table\n\
         platform.writes-per-s=400\nplatform.reads-per-s=2000\nplatform.transaction-ms=5.0\n\
         platform.appends-per-s=200\nplatform.row-bytes=65536\nplatform.across=false\n\
         platform.history-s=20\n"
    )
}

// ---------------------------------------------------------------- HTTP

/// A request as a server receives it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header_of(&self.headers, name)
    }

    /// Value of a field of the query.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(field, _)| *field == name).map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

fn header_of<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let mut found = headers.iter().filter(|(header, _)| header.eq_ignore_ascii_case(name));
    found.next().map_or("", |(_, value)| value.as_str())
}

/// Reads from a connection and keeps what is not used yet.
pub struct Reader {
    pub io: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(io: TcpStream) -> Self {
        let _ = io.set_nodelay(true);
        Self { io, buf: Vec::new() }
    }

    /// Number of bytes that have been received and not used.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16 * 1024];
        let n = self.io.read(&mut part)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&part[..n]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            self.fill()?;
        }
        Ok(self.buf.drain(..count).collect())
    }

    /// First line and headers.
    pub fn head(&mut self) -> io::Result<(String, Vec<(String, String)>)> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok((first, headers));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// A part of a chunked body, or `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.line()?;
        let size = size.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let part = self.bytes(size)?;
        self.bytes(2)?;
        Ok((size > 0).then_some(part))
    }

    pub fn request(&mut self) -> io::Result<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ').map(str::to_owned);
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let mut req = Request { method, target, headers, body: Vec::new() };
        if let Ok(length) = req.header("content-length").parse() {
            req.body = self.bytes(length)?;
        } else if req.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            while let Some(part) = self.chunk()? {
                req.body.extend(part);
            }
        }
        Ok(req)
    }

    /// A complete answer. One that ends early is an error.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let (first, headers) = self.head()?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let mut answer = Answer { status, headers, body: Vec::new() };
        if let Ok(length) = answer.header("content-length").parse() {
            answer.body = self.bytes(length)?;
        } else if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            while let Some(part) = self.chunk()? {
                answer.body.extend(part);
            }
        } else {
            loop {
                match self.fill() {
                    Ok(()) => {}
                    Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => break,
                    Err(error) => return Err(error),
                }
            }
            answer.body = std::mem::take(&mut self.buf);
        }
        Ok(answer)
    }
}

/// An answer as a client receives it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        header_of(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    #[link_name = "connect"]
    fn connect_socket(fd: i32, address: *const u8, len: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Connects like a client on an ordinary link instead of loopback: with segments of 1448
/// bytes and a receive buffer of `buffer` bytes.
pub fn connect_over_link(address: SocketAddr, buffer: i32, limit: Duration) -> io::Result<Reader> {
    use std::os::fd::FromRawFd;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    let mut name = [0u8; 16];
    name[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    name[2..4].copy_from_slice(&address.port().to_be_bytes());
    name[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the descriptor is owned by the stream from here on, and all pointers are
    // those of live values of the given lengths.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let io = TcpStream::from_raw_fd(fd);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &1_448, 4);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, 4);
        if connect_socket(fd, name.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        io.set_read_timeout(Some(limit))?;
        Ok(Reader::new(io))
    }
}

pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Reader> {
    let io = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    io.set_read_timeout(Some(limit))?;
    Ok(Reader::new(io))
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Answer> {
    let mut conn = connect(address, limit)?;
    conn.io.write_all(request.as_bytes())?;
    conn.answer()
}

/// A client's request as the pages show it.
pub fn client_request(path: &str, id: &str, deadline_ms: u64, key: &str, more: &str) -> String {
    let body = format!("{{\"request\":\"{id}\"}}");
    format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: \
         {deadline_ms}\r\nX-Api-Key: {key}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Serves connections, each in a thread.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Reader) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Reader::new(io)));
        }
    });
    Ok(address)
}

/// Serves connections until `stop` is set; then the address refuses connections.
pub fn serve_until(
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    handle: impl Fn(Reader) + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((io, _)) => {
                    let _ = io.set_nonblocking(false);
                    let handle = Arc::clone(&handle);
                    thread::spawn(move || handle(Reader::new(io)));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
    Ok(())
}

// ---------------------------------------------------------------- store

/// How the store treats the calls that arrive at one of its addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Serve,
    /// Nothing is answered.
    Silent,
    /// 503: nothing was done.
    Busy,
}

type RowKey = (String, String, String);

#[derive(Clone, Default)]
struct Rows {
    /// Number of restores from a copy.
    era: u64,
    version: u64,
    /// Oldest version from which changes can be read.
    history_from: u64,
    /// Value in base64 (`None` if removed) and version.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self { state: Arc::default(), started: Instant::now() }
    }

    /// Serves the store at one more address.
    pub fn serve(&self, ip: Ipv4Addr) -> StorePort {
        let mode = Arc::new(Mutex::new(StoreMode::Serve));
        let (store, mode_of) = (self.clone(), Arc::clone(&mode));
        let address = serve((ip, 0).into(), move |conn| store.connection(conn, &mode_of));
        StorePort { address: address.expect("the store listens"), mode }
    }

    fn connection(&self, mut conn: Reader, mode: &Mutex<StoreMode>) {
        while let Ok(req) = conn.request() {
            let before = *mode.lock().unwrap();
            if before == StoreMode::Silent {
                return self.keep_silent(conn, mode);
            }
            let (status, body) =
                if before == StoreMode::Busy { (503, String::new()) } else { self.answer(&req) };
            if *mode.lock().unwrap() == StoreMode::Silent {
                return self.keep_silent(conn, mode);
            }
            let era = self.state.0.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            thread::sleep(Duration::from_millis(4));
            if conn.io.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// A connection on which an answer is lost delivers nothing further.
    fn keep_silent(&self, conn: Reader, _mode: &Mutex<StoreMode>) {
        thread::sleep(Duration::from_secs(100));
        drop(conn);
    }

    fn answer(&self, req: &Request) -> (u16, String) {
        match req.path() {
            "/-/rows-get" => self.read(req),
            "/-/rows-feed" => self.feed(req),
            "/-/rows-tx" => self.transact(req),
            _ => (404, String::new()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn read(&self, req: &Request) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let rows: Vec<String> = state
            .rows
            .iter()
            .filter(|((table, part, key), (value, _))| {
                table == req.query("table")
                    && part == req.query("part")
                    && key.as_str() >= req.query("from")
                    && value.is_some()
            })
            .map(row_text)
            .collect();
        let (ver, now) = (state.version, self.now_ms());
        let rows = rows.join(",");
        (200, format!("{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{ver},\"now-ms\":{now}}}"))
    }

    fn feed(&self, req: &Request) -> (u16, String) {
        let after: u64 = req.query("after").parse().unwrap_or(0);
        let wait: u64 = req.query("wait-ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let era = state.era;
        loop {
            if after < state.history_from || after > state.version || era != state.era {
                return (410, "{}".into());
            }
            let mut rows: Vec<_> = state
                .rows
                .iter()
                .filter(|((table, _, _), (_, ver))| table == req.query("table") && *ver > after)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, (_, ver))| *ver);
                let rows: Vec<String> = rows.into_iter().map(row_text).collect();
                let (rows, ver, now) = (rows.join(","), state.version, self.now_ms());
                return (200, format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now-ms\":{now}}}"));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, req: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&req.body)) else {
            return (400, String::new());
        };
        let key = |row: &Json| -> RowKey {
            (row.text("table").into(), row.text("part").into(), row.text("key").into())
        };
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let conditions = body.list("precondition");
        let holds = |row: &&Json| {
            let found = state.rows.get(&key(row));
            let ver = found.filter(|(value, _)| value.is_some()).map_or(0, |(_, ver)| *ver);
            ver == row.number("ver") as u64
        };
        if !conditions.iter().all(|row| holds(&row)) {
            let current = conditions.iter().filter_map(|row| {
                let key = key(row);
                let row = state.rows.get(&key).filter(|(value, _)| value.is_some())?;
                Some(row_text((&key, row)))
            });
            let (rows, ver) = (current.collect::<Vec<_>>().join(","), state.version);
            return (412, format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now-ms\":0}}"));
        }
        state.version += 1;
        let ver = state.version;
        for row in body.list("upserts") {
            state.rows.insert(key(row), (Some(row.text("value").into()), ver));
        }
        for row in body.list("remove") {
            state.rows.insert(key(row), (None, ver));
        }
        changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"now-ms\":{}}}", self.now_ms()))
    }

    /// A write of the operator or a server, in tables that the system may not write to.
    /// Returns once the store has acknowledged it.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.version += 1;
        let ver = state.version;
        state.rows.insert((table.into(), String::new(), key.into()), (value, ver));
        changed.notify_all();
    }

    /// Discards the history: only changes from now on can be read.
    pub fn forget_history(&self) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.history_from = state.version + 1;
        state.version += 1;
        state.rows.retain(|_, (value, _)| value.is_some());
        changed.notify_all();
    }

    /// Number of rows of a table.
    pub fn count(&self, table: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        let rows =
            state.rows.iter().filter(|((t, _, _), (value, _))| t == table && value.is_some());
        rows.count()
    }
}

/// An address of the store.
pub struct StorePort {
    pub address: SocketAddr,
    mode: Arc<Mutex<StoreMode>>,
}

impl StorePort {
    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap() = mode;
    }
}

fn row_text(((table, part, key), (value, ver)): (&RowKey, &(Option<String>, u64))) -> String {
    match value {
        Some(value) => format!(
            "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{ver}}}"
        ),
        None => format!(
            "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"tombstone\":true,\"ver\":{ver}}}"
        ),
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let n = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for digit in 0..4 {
            let at = (n >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit <= part.len() { DIGITS[at] as char } else { '=' });
        }
    }
    text
}

/// A JSON value, for the bodies of transactions and orders.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Fields(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Self::Fields(fields) = self else { return None };
        fields.iter().find(|(field, _)| field == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> &str {
        if let Some(Self::Text(text)) = self.get(name) { text } else { "" }
    }

    pub fn number(&self, name: &str) -> f64 {
        if let Some(Self::Number(number)) = self.get(name) { *number } else { 0.0 }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        if let Some(Self::List(list)) = self.get(name) { list } else { &[] }
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(|byte| byte.is_ascii_whitespace()) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::skip(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => break *at += 1,
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(name) = Self::value(bytes, at)? else { return None };
                            Self::skip(bytes, at);
                            *at += 1;
                            fields.push((name, Self::value(bytes, at)?));
                        }
                    }
                }
                Some(Self::Fields(fields))
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match bytes.get(*at)? {
                        b']' => break *at += 1,
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
                Some(Self::List(list))
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                while *bytes.get(*at)? != b'"' {
                    if bytes[*at] == b'\\' {
                        *at += 1;
                    }
                    text.push(*bytes.get(*at)?);
                    *at += 1;
                }
                *at += 1;
                Some(Self::Text(String::from_utf8_lossy(&text).into_owned()))
            }
            _ => {
                let from = *at;
                while bytes.get(*at).is_some_and(|byte| !b",]} \r\n".contains(byte)) {
                    *at += 1;
                }
                match std::str::from_utf8(&bytes[from..*at]).ok()? {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }
}

// ---------------------------------------------------------------- servers

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub id: String,
    pub at: f64,
    pub request: Request,
}

/// All runs of all servers.
#[derive(Clone, Default)]
pub struct Runs {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Runs {
    pub fn add(&self, record: &Record, server: &str, request: &Request) {
        let id = request.header("request-id").to_owned();
        record.line(&format!("server {server} runs request {id} ({})", request.target));
        let (server, at) = (server.to_owned(), record.seconds());
        self.runs.lock().unwrap().push(Run { server, id, at, request: request.clone() });
    }

    pub fn all(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn of(&self, id: &str) -> Vec<Run> {
        self.all().into_iter().filter(|run| run.id == id).collect()
    }
}

static SEAL: AtomicU64 = AtomicU64::new(1);

/// Head of a server's answer to a request, with its seal.
pub fn sealed_head(status: u16, id: &str, more: &str) -> String {
    let seal = SEAL.fetch_add(1, Ordering::Relaxed);
    format!(
        "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nServer-Seal: 3e1b.{seal:x}.5a2.{status}.0.c9f2\r\n{more}\r\n"
    )
}

/// A complete answer with its length.
pub fn sealed_answer(status: u16, id: &str, more: &str, body: &str) -> String {
    sealed_head(status, id, &format!("Content-Length: {}\r\n{more}", body.len())) + body
}

/// Answer of a server that does not run a request.
pub fn not_executed(status: u16, id: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n{more}\r\n"
    )
}

/// The record of a server without layers in the store.
pub fn server_row(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":0}}"
    )
}

/// Whether a request reaches another server than the one that it names.
pub fn is_for_another(req: &Request, server: &str) -> bool {
    let expected = req.header("expect-instance");
    !expected.is_empty() && expected != server
}

pub fn close(conn: &Reader) {
    let _ = conn.io.shutdown(Shutdown::Both);
}

pub fn path_exists(path: &Path) -> bool {
    path.exists()
}
