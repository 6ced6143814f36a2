//! Stand-ins for the cases 6 to 10: the platform's store, replicas, clients and the
//! settings of front processes. Uses the standard library only. Follows PROTOCOL.md and
//! DEPLOY.md of the platform's pages.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption is left out.
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Ends the case if it cannot run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

// ---------------------------------------------------------------- record

/// The file `record.txt`, with the time since the start of the case on each line.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

// ---------------------------------------------------------------- JSON and base64

/// A JSON value; numbers are kept as text.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(map) => map.get(key),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) | Json::Number(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        *at += 1;
                        map.insert(key, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(parse_text(bytes, at)?)),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| !b",]} \n\r\t".contains(b)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(match word {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                number => Json::Number(number.into()),
            })
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let mut buf = [0; 4];
                        let c = char::from_u32(code)?;
                        text.extend_from_slice(c.encode_utf8(&mut buf).as_bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for n in 0..4 {
            if n <= part.len() {
                text.push(BASE64[(bits >> (18 - 6 * n)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut bits = 0_u32;
    let mut count = 0;
    for c in text.bytes().filter_map(|c| BASE64.iter().position(|known| *known == c)) {
        bits = bits << 6 | c as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}

// ---------------------------------------------------------------- HTTP

/// The head and body of a message.
#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Headers in the order of arrival, names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message. `Ok(None)` if the connection ends before its first byte.
pub fn read_head(io: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(end) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            return Ok(Some(Message { first_line, headers, body: Vec::new() }));
        }
        if !fill(io, rest)? {
            if rest.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn fill(io: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<bool> {
    let mut buf = [0; 16 * 1024];
    let read = io.read(&mut buf)?;
    rest.extend_from_slice(&buf[..read]);
    Ok(read > 0)
}

/// Reads a message with its body: with a length, in chunks, or (responses) to the end of
/// the connection.
pub fn read_message(io: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(io, rest)? else { return Ok(None) };
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let end = loop {
                if let Some(end) = rest.windows(2).position(|two| two == b"\r\n") {
                    break end;
                }
                if !fill(io, rest)? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let size = String::from_utf8_lossy(&rest[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            while rest.len() < end + 2 + size + 2 {
                if !fill(io, rest)? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body.extend_from_slice(&rest[end + 2..end + 2 + size]);
            rest.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = match length {
        Some(length) => length,
        None if message.first_line.starts_with("HTTP/") => {
            while fill(io, rest)? {}
            message.body.append(rest);
            return Ok(Some(message));
        }
        None => 0,
    };
    while rest.len() < length {
        if !fill(io, rest)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = rest.drain(..length).collect();
    Ok(Some(message))
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Accepts connections on `listener` and serves each in a thread of its own.
pub fn serve_connections(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = io.set_nodelay(true);
            thread::spawn(move || serve(io));
        }
    });
}

/// Like [`serve_connections`], until `ended` is set: then the listener is closed, and new
/// connections are refused.
pub fn serve_until(
    listener: TcpListener,
    ended: Arc<AtomicBool>,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while !ended.load(Ordering::SeqCst) {
            let Ok((io, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let serve = Arc::clone(&serve);
            let _ = io.set_nonblocking(false);
            let _ = io.set_nodelay(true);
            thread::spawn(move || serve(io));
        }
    });
}

pub fn listen(ip: &str) -> TcpListener {
    TcpListener::bind((ip, 0)).unwrap_or_else(|e| cannot_run(&format!("bind {ip}: {e}")))
}

/// A port on `ip` that is free now.
pub fn free_port(ip: &str) -> u16 {
    listen(ip).local_addr().map(|address| address.port()).unwrap_or_default()
}

// ---------------------------------------------------------------- the store

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value (`None` if dropped) and version by table, part and key.
    rows: BTreeMap<RowKey, (Option<Vec<u8>>, u64)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = listen(ip);
        let address = listener.local_addr().unwrap();
        let store = Self { address, rows: Arc::default() };
        let served = store.clone();
        serve_connections(listener, move |io| served.serve(io));
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, "", key, Some(value.as_bytes().to_vec()));
    }

    pub fn drop_row(&self, table: &str, key: &str) {
        self.write(table, "", key, None);
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<Vec<u8>>) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), part.into(), key.into()), (value, version));
        self.rows.1.notify_all();
    }

    fn serve(&self, mut io: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut io, &mut rest) {
            let (status, body) = self.handle(&request);
            thread::sleep(Duration::from_millis(4));
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            if io.write_all(&response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/-/rows-get" => (200, self.rows_get(&text("table"), &text("part"), &text("from"))),
            "/-/rows-feed" => {
                let after = text("after").parse().unwrap_or(0);
                let wait = text("wait-ms").parse().unwrap_or(0);
                (200, self.rows_feed(&text("table"), after, Duration::from_millis(wait)))
            }
            "/-/rows-tx" => self.rows_tx(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".into()),
        }
    }

    fn rows_get(&self, table: &str, part: &str, from: &str) -> String {
        let rows = self.rows.0.lock().unwrap();
        let found = rows.rows.iter().filter(|((t, p, key), (value, _))| {
            t == table && p == part && key.as_str() >= from && value.is_some()
        });
        let list: Vec<String> = found.map(|(key, row)| row_json(key, row)).collect();
        body_with_rows(&list, rows.version)
    }

    fn rows_feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut rows = self.rows.0.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((t, _, _), (_, version))| t == table && *version > after)
                .collect();
            found.sort_by_key(|(_, (_, version))| *version);
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let list: Vec<String> =
                    found.into_iter().map(|(key, row)| row_json(key, row)).collect();
                return body_with_rows(&list, rows.version);
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn rows_tx(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".into()) };
        let part = |name: &str| call.get(name).map(Json::list).unwrap_or(&[]).to_vec();
        let key = |row: &Json| -> RowKey {
            let text = |name: &str| row.get(name).map_or("", Json::text).to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.0.lock().unwrap();
        for row in part("precondition") {
            let expected: u64 = row.get("ver").map_or("0", Json::text).parse().unwrap_or(0);
            let current = rows.rows.get(&key(&row)).filter(|(value, _)| value.is_some());
            if current.map_or(0, |(_, version)| *version) != expected {
                let list: Vec<String> =
                    current.map(|found| row_json(&key(&row), found)).into_iter().collect();
                return (412, body_with_rows(&list, rows.version));
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in part("upserts") {
            let value = from_base64(row.get("value").map_or("", Json::text));
            rows.rows.insert(key(&row), (Some(value), version));
        }
        for row in part("remove") {
            rows.rows.insert(key(&row), (None, version));
        }
        self.rows.1.notify_all();
        (200, format!(r#"{{"ver":{version},"now-ms":0}}"#))
    }
}

fn row_json((table, part, key): &RowKey, (value, version): &(Option<Vec<u8>>, u64)) -> String {
    match value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"{part}","key":"{key}","value":"{}","ver":{version}}}"#,
            to_base64(value)
        ),
        None => format!(
            r#"{{"table":"{table}","part":"{part}","key":"{key}","ver":{version},"tombstone":true}}"#
        ),
    }
}

fn body_with_rows(rows: &[String], version: u64) -> String {
    let rows = rows.join(",");
    format!(r#"{{"rows":[{rows}],"truncated":false,"ver":{version},"now-ms":0}}"#)
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------- front processes

/// A front process, started with the command of the deploy file.
pub struct Front {
    pub ip: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Front {
    /// Starts `node` of `zone` on its own loopback address.
    pub fn start(folder: &Path, node: &str, zone: &str, ip: &str, store: &Store) -> Self {
        let (front, ready) = (free_port(ip), free_port(ip));
        let settings = format!(
            "node={node}\nrole=entry\nmachine-class=front\nserves=front\nip={ip}\nzone={zone}\n\
             region=r\nzones.{zone}=r\nlisten.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
             internal-ports=7340,7355\nseeds=\nbootstrap=true\nloss-counts=false\n\
             limits.cpu-share=0.19\nlimits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\n\
             limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat-ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers\n\
             tolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\nbounds.seed-lag-s=3\n\
             bounds.reuse-after-s=2\nbounds.stable-window-ms=3000\nbounds.ack-ms=4000\n\
             bounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\n\
             bounds.rollback-slack-ms=250\nbounds.max-stretch-ms=5000\n\
             bounds.strict-revoke=false\nbounds.revoke-ms=5000\n\
             bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\n\
             bounds.retry-budget-slack=198\nbounds.recovery-s=12\nbounds.pass-ms=120\n\
             bounds.retry-after-s=0\nbounds.stall_ms=3000\nbounds.require-fence=false\n\
             platform.address={}\nplatform.form=table\nplatform.writes-per-s=400\n\
             platform.reads-per-s=2000\nplatform.transaction-ms=5.0\n\
             platform.appends-per-s=200\nplatform.row-bytes=65536\nplatform.across=false\n\
             platform.history-s=20\n",
            store.address
        );
        let path = folder.join(format!("{node}.conf"));
        std::fs::write(&path, settings).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = folder.join(format!("{node}.log"));
        let child = start_process(&path, &log);
        let address = |port| format!("{ip}:{port}").parse().unwrap();
        let (front, ready) = (address(front), address(ready));
        Self { ip: ip.into(), front, ready, log, settings: path, child }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings, after it has ended.
    pub fn start_again(&mut self) {
        self.child = start_process(&self.settings, &self.log);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.readiness() == Some(200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        cannot_run(&format!("{} isn't ready: {log}", self.ready));
    }

    pub fn readiness(&self) -> Option<u16> {
        let mut io = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)).ok()?;
        io.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        io.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
        Some(read_message(&mut io, &mut Vec::new()).ok()??.status())
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.pid());
        let _ = Command::new("bash").args(["-c", &command]).status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }
}

/// Starts the command of the deploy file. Its output is appended to `log`.
fn start_process(settings: &Path, log: &Path) -> Child {
    let out = File::options().create(true).append(true).open(log);
    let out = out.unwrap_or_else(|e| cannot_run(&e.to_string()));
    let program =
        std::env::var("ENTRY").unwrap_or_else(|_| "target/release/clementine-entry".into());
    Command::new(&program)
        .args(["direct", "--metrics-port", "9464"])
        .env("CLEMENTINEHUB_CONFIG", settings)
        .stdout(Stdio::from(out.try_clone().unwrap()))
        .stderr(Stdio::from(out))
        .stdin(Stdio::null())
        .spawn()
        .unwrap_or_else(|e| cannot_run(&format!("{program}: {e}")))
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder, removed when it is dropped unless `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A prefix `127.A.B` of loopback addresses that is this run's own.
pub fn loopback_prefix() -> String {
    let pid = std::process::id();
    format!("127.{}.{}", 16 + (pid >> 8) % 200, pid % 256)
}

// ---------------------------------------------------------------- replicas and requests

/// Unix time in ms, for `born`.
pub fn unix_ms() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}

/// The entry of an application replica in the store.
pub fn plain_row(service: &str, address: SocketAddr, state: &str, born: u128) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"za","version":1,"slots":6,"state":"{state}","cold-remaining-ms":0,"sequence":0,"born":{born}}}"#
    )
}

/// The entry of a model replica that holds the layers `from..to`.
pub fn engine_row(
    service: &str,
    address: SocketAddr,
    (from, to): (u32, u32),
    born: u128,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"za","version":1,"slots":192,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born},"kind":"h100","stage":"unified","layers":{{"from":{from},"to":{to},"version":1}},"models":[{{"name":"m0","version":1,"adapters":[]}}]}}"#
    )
}

/// The report of a model replica that holds the layers `from..to`.
pub fn engine_report((from, to): (u32, u32), born: u128) -> String {
    format!(
        r#"{{"stage":"unified","models":[{{"name":"m0","version":1,"adapters":[]}}],"busy":false,"sequence":1,"queued":0,"active":0,"kv-used":0,"kv-total":1000000,"handles":0,"pace":1.0,"stalled":[],"born":{born},"kind":"h100","layers":{{"from":{from},"to":{to},"version":1}}}}"#
    )
}

/// The service of a model with `layers` layers, as in the configuration.
pub fn engine_service(name: &str, layers: u32) -> String {
    format!(
        r#"{{"name":"{name}","health-path":"/health","max-conns":1128,"engine":{{"layers":{layers},"layer-mb":1750.0,"kv-token-bytes":590000,"models":[{{"name":"m0","load-s":14.0}}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,"pairs_per_m":0.166,"chunk":512,"stride":2,"loads_at_once":6,"delays":[],"usual":{{"prompt":800,"answer":160}},"report_lag_ms":200,"activation-bytes":29500,"link-mbps":480000.0,"pipe-mbps":13000.0,"kinds":[{{"name":"h100","megabytes":72000.0,"pace":1.4,"read-factor":1.0}}]}}}}"#
    )
}

pub fn plain_service(name: &str) -> String {
    format!(r#"{{"name":"{name}","health-path":"/health","max-conns":100}}"#)
}

/// Limits of a small deployment.
pub const LIMITS: &str = r#"{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}"#;

/// A chunk of a response body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    out
}

/// A kept connection of a client.
pub struct ClientConn {
    pub io: TcpStream,
    rest: Vec<u8>,
}

impl ClientConn {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let io = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        io.set_nodelay(true)?;
        Ok(Self { io, rest: Vec::new() })
    }

    pub fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.io.write_all(request)
    }

    /// Reads a complete response; `Ok(None)` if the connection ends before its first byte.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Option<Message>> {
        self.io.set_read_timeout(Some(limit))?;
        read_message(&mut self.io, &mut self.rest)
    }
}

/// Bytes of a request with a body.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
