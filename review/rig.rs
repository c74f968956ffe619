//! Stand-ins of the platform for the scripts of this review: the store, workers, callers and a
//! supervisor of the project's own processes. Uses the standard library only.
//!
//! Usage: rig SCENARIO REPOSITORY RECORD; the environment variable TROUBLE=0 leaves the disruption
//! out. Exit code 0: the rule held; 1: it was broken; 2: the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

mod json {
    //! The part of JSON that the interfaces use.

    #[derive(Clone, Debug)]
    pub enum Value {
        Null,
        Bool,
        Number(f64),
        Text(String),
        List(Vec<Value>),
        Object(Vec<(String, Value)>),
    }

    impl Value {
        pub fn get(&self, name: &str) -> &Value {
            const NULL: &Value = &Value::Null;
            match self {
                Value::Object(fields) => fields
                    .iter()
                    .find(|(key, _)| key == name)
                    .map_or(NULL, |(_, value)| value),
                _ => NULL,
            }
        }

        pub fn text(&self) -> &str {
            match self {
                Value::Text(text) => text,
                _ => "",
            }
        }

        pub fn integer(&self) -> Option<i64> {
            match self {
                Value::Number(number) => Some(*number as i64),
                _ => None,
            }
        }

        pub fn list(&self) -> &[Value] {
            match self {
                Value::List(items) => items,
                _ => &[],
            }
        }
    }

    pub fn quote(text: &str) -> String {
        let mut quoted = String::from("\"");
        for one in text.chars() {
            match one {
                '"' => quoted.push_str("\\\""),
                '\\' => quoted.push_str("\\\\"),
                '\n' => quoted.push_str("\\n"),
                one if (one as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", one as u32)),
                one => quoted.push(one),
            }
        }
        quoted.push('"');
        quoted
    }

    pub fn parse(text: &str) -> Option<Value> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    struct Parser<'a> {
        bytes: &'a [u8],
        at: usize,
    }

    impl Parser<'_> {
        fn skip(&mut self) -> Option<u8> {
            while self.bytes.get(self.at)?.is_ascii_whitespace() {
                self.at += 1;
            }
            self.bytes.get(self.at).copied()
        }

        fn value(&mut self) -> Option<Value> {
            match self.skip()? {
                b'{' => {
                    self.at += 1;
                    let mut fields = Vec::new();
                    loop {
                        match self.skip()? {
                            b'}' => {
                                self.at += 1;
                                return Some(Value::Object(fields));
                            }
                            b',' => self.at += 1,
                            _ => {
                                let name = self.string()?;
                                self.skip().filter(|one| *one == b':')?;
                                self.at += 1;
                                fields.push((name, self.value()?));
                            }
                        }
                    }
                }
                b'[' => {
                    self.at += 1;
                    let mut items = Vec::new();
                    loop {
                        match self.skip()? {
                            b']' => {
                                self.at += 1;
                                return Some(Value::List(items));
                            }
                            b',' => self.at += 1,
                            _ => items.push(self.value()?),
                        }
                    }
                }
                b'"' => self.string().map(Value::Text),
                b't' => self.word("true", Value::Bool),
                b'f' => self.word("false", Value::Bool),
                b'n' => self.word("null", Value::Null),
                _ => {
                    let start = self.at;
                    while self
                        .bytes
                        .get(self.at)
                        .is_some_and(|one| b"+-.eE0123456789".contains(one))
                    {
                        self.at += 1;
                    }
                    let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                    text.parse().ok().map(Value::Number)
                }
            }
        }

        fn word(&mut self, word: &str, value: Value) -> Option<Value> {
            let found = self.bytes.get(self.at..self.at + word.len())? == word.as_bytes();
            self.at += word.len();
            found.then_some(value)
        }

        fn string(&mut self) -> Option<String> {
            self.skip().filter(|one| *one == b'"')?;
            self.at += 1;
            let mut bytes = Vec::new();
            loop {
                let one = *self.bytes.get(self.at)?;
                self.at += 1;
                match one {
                    b'"' => return String::from_utf8(bytes).ok(),
                    b'\\' => {
                        let escaped = *self.bytes.get(self.at)?;
                        self.at += 1;
                        let decoded = match escaped {
                            b'n' => '\n',
                            b't' => '\t',
                            b'r' => '\r',
                            b'u' => {
                                let hex = self.bytes.get(self.at..self.at + 4)?;
                                self.at += 4;
                                let code =
                                    u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                                char::from_u32(code)?
                            }
                            other => other as char,
                        };
                        bytes.extend(decoded.to_string().as_bytes());
                    }
                    one => bytes.push(one),
                }
            }
        }
    }
}

/// What a server does with a request.
enum Answer {
    Reply(u16, String),
    /// Closes the connection without an answer.
    Drop,
}

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 2;
            }
            b'+' => decoded.push(b' '),
            one => decoded.push(one),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length: usize = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Serves HTTP/1.1 until `open` tells that the server has gone; connections are cut then.
fn serve(
    listener: TcpListener,
    open: Arc<dyn Fn() -> bool + Send + Sync>,
    handler: Arc<dyn Fn(&Request) -> Answer + Send + Sync>,
) {
    std::thread::spawn(move || {
        let _ = listener.set_nonblocking(true);
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        while open() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(clone) = stream.try_clone() {
                connections.lock().unwrap().push(clone);
            }
            let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
            std::thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let answer = handler(&request);
                    let Answer::Reply(status, body) = answer else {
                        break;
                    };
                    if !open() {
                        break;
                    }
                    let text = format!(
                        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n\
                         Content-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(text.as_bytes()).is_err() {
                        break;
                    }
                }
                let _ = writer.shutdown(Shutdown::Both);
            });
        }
        drop(listener);
        for stream in connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
}

/// Sends one request on a connection of its own; `None` without a complete answer in time.
fn call(
    address: &str,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text).ok()?;
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

/// Collects the lines of the record.
struct Record {
    began: Instant,
    file: Mutex<std::io::BufWriter<std::fs::File>>,
}

impl Record {
    fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", self.ms());
    }

    fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreMode {
    Up,
    /// Answers 503.
    Busy,
}

struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

struct StoreState {
    mode: StoreMode,
    /// Since when the store is not up; leases pause meanwhile.
    down_since: Option<Instant>,
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as JSON or nothing if it was deleted.
    events: Vec<(i64, String, Option<String>)>,
    leases: HashMap<i64, (Instant, Duration)>,
    next_lease: i64,
}

/// The platform's metadata store.
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl StoreState {
    fn item_json(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        Some(format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            json::quote(key),
            item.value,
            item.revision,
            item.created,
            item.lease
        ))
    }

    fn put(&mut self, key: &str, value: String, lease: i64, revision: i64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        let json = self.item_json(key);
        self.events.push((revision, key.to_owned(), json));
    }

    fn remove(&mut self, key: &str, revision: i64) {
        if self.items.remove(key).is_some() {
            self.events.push((revision, key.to_owned(), None));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, (ends, _))| *ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.revision += 1;
                let revision = self.revision;
                self.remove(&key, revision);
            }
        }
    }
}

impl Store {
    fn new() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(StoreState {
                mode: StoreMode::Up,
                down_since: None,
                revision: 10,
                items: BTreeMap::new(),
                events: Vec::new(),
                leases: HashMap::new(),
                next_lease: 100,
            }),
            changed: Condvar::new(),
        });
        let sweeper = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let mut state = sweeper.lock();
                if state.mode == StoreMode::Up {
                    state.expire_leases();
                    sweeper.changed.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap()
    }

    fn set_mode(&self, mode: StoreMode) {
        let mut state = self.lock();
        state.mode = mode;
        if mode == StoreMode::Up {
            if let Some(since) = state.down_since.take() {
                let pause = since.elapsed();
                for (ends, _) in state.leases.values_mut() {
                    *ends += pause;
                }
            }
        } else {
            state.down_since.get_or_insert_with(Instant::now);
        }
        self.changed.notify_all();
    }

    /// Writes as the operator or a worker; `false` while the store is down.
    fn put_text(&self, key: &str, text: &str) -> bool {
        let mut state = self.lock();
        if state.mode != StoreMode::Up {
            return false;
        }
        state.revision += 1;
        let revision = state.revision;
        state.put(key, base64(text.as_bytes()), 0, revision);
        self.changed.notify_all();
        true
    }

    fn delete(&self, key: &str) -> bool {
        let mut state = self.lock();
        if state.mode != StoreMode::Up {
            return false;
        }
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        self.changed.notify_all();
        true
    }

    /// Returns the raw value of a key.
    fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        state.items.get(key).map(|item| unbase64(&item.value))
    }

    fn handle(&self, request: &Request) -> Answer {
        std::thread::sleep(Duration::from_millis(4));
        let mut state = self.lock();
        match state.mode {
            StoreMode::Up => {}
            StoreMode::Busy => return Answer::Reply(503, "{}".to_owned()),
        }
        let body = json::parse(&request.body).unwrap_or(json::Value::Null);
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => match state.item_json(&query("key")) {
                Some(item) => Answer::Reply(200, item),
                None => Answer::Reply(404, "{}".to_owned()),
            },
            ("GET", "/kv-range") => {
                let (prefix, after) = (query("prefix"), query("after"));
                let keys = state.items.keys().filter(|key| {
                    key.starts_with(&prefix) && (after.is_empty() || key.as_str() > after.as_str())
                });
                let keys: Vec<_> = keys.take(501).cloned().collect();
                let has_more = keys.len() > 500;
                let items = keys.iter().take(500).filter_map(|key| state.item_json(key));
                let items: Vec<_> = items.collect();
                Answer::Reply(
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":{has_more},\"as_of\":{}}}",
                        items.join(","),
                        state.revision
                    ),
                )
            }
            ("GET", "/kv-watch") => {
                let after: i64 = query("after").parse().unwrap_or(0);
                let wait: u64 = query("wait_ms").parse().unwrap_or(0);
                let prefix = query("prefix");
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    if state.mode != StoreMode::Up {
                        // A watch that is waiting may be cut.
                        return Answer::Drop;
                    }
                    let events = state
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                    let events: Vec<_> = events
                        .map(|(revision, key, item)| {
                            item.clone().unwrap_or_else(|| {
                                format!(
                                    "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                                    json::quote(key)
                                )
                            })
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        return Answer::Reply(
                            200,
                            format!(
                                "{{\"events\":[{}],\"as_of\":{}}}",
                                events.join(","),
                                state.revision
                            ),
                        );
                    }
                    state = self.changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                for row in body.get("expect").list() {
                    let found = state.items.get(row.get("key").text());
                    let found = found.map_or(0, |item| item.revision);
                    if row.get("revision").integer() != Some(found) {
                        return Answer::Reply(412, "{\"items\":[]}".to_owned());
                    }
                }
                for row in body.get("writes").list() {
                    let lease = row.get("lease").integer().unwrap_or(0);
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return Answer::Reply(404, "{}".to_owned());
                    }
                }
                state.revision += 1;
                let revision = state.revision;
                for row in body.get("writes").list() {
                    let lease = row.get("lease").integer().unwrap_or(0);
                    let value = row.get("value").text().to_owned();
                    state.put(row.get("key").text(), value, lease, revision);
                }
                for key in body.get("remove").list() {
                    state.remove(key.text(), revision);
                }
                self.changed.notify_all();
                Answer::Reply(200, format!("{{\"revision\":{revision}}}"))
            }
            ("POST", "/kv-lease") => {
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl_ms = body.get("ttl_ms").integer().unwrap_or(1_000).max(1_000);
                let ttl = Duration::from_millis(ttl_ms as u64);
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                Answer::Reply(200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            (method, path) => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
                let lease: i64 = lease.unwrap_or(0);
                if method == "POST" && path.starts_with("/kv-keep/") {
                    return match state.leases.get_mut(&lease) {
                        Some((ends, ttl)) => {
                            *ends = Instant::now() + *ttl;
                            Answer::Reply(200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                        }
                        None => Answer::Reply(404, "{}".to_owned()),
                    };
                }
                if method == "DELETE" && path.starts_with("/kv-lease-end/") {
                    if let Some((ends, _)) = state.leases.get_mut(&lease) {
                        *ends = Instant::now();
                    }
                    state.expire_leases();
                    self.changed.notify_all();
                    return Answer::Reply(200, "{}".to_owned());
                }
                Answer::Reply(400, "{}".to_owned())
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index > chunk.len() {
                text.push('=');
            } else {
                text.push(ALPHABET[(word >> (18 - 6 * index) & 63) as usize] as char);
            }
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for one in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|known| *known == one) else {
            break;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

/// Longest lease that a worker grants, `max_hold_ms`.
const MAX_HOLD_MS: i64 = 10_000;
/// Interval of a worker's reports, `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

struct Run {
    ends_at: Option<Instant>,
    began: Instant,
    stopped: bool,
}

/// One life of a worker.
struct Life {
    born: u64,
    began: Instant,
    up: bool,
    fence: i64,
    lease_ms: i64,
    runs: BTreeMap<(String, u64), Run>,
    /// Number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    sequence: u64,
    /// Highest run of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
}

impl Life {
    fn new(born: u64) -> Self {
        Self {
            born,
            began: Instant::now(),
            up: true,
            fence: 0,
            lease_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            sequence: 0,
            closed: HashMap::new(),
        }
    }

    fn clock_ms(&self) -> i64 {
        1_000 + self.began.elapsed().as_millis() as i64
    }
}

struct Worker {
    id: String,
    address: String,
    zone: String,
    rack: String,
    cpu: u32,
    life: Mutex<Life>,
    changed: Condvar,
}

/// What was seen of one run.
#[derive(Clone, Debug)]
struct Seen {
    worker: String,
    born: u64,
    run: u64,
    began_ms: u64,
    /// When and how it ended, and its number in the worker's list of ends.
    ended: Option<(u64, &'static str, u64)>,
    /// When a `last_seen` reached that number.
    noted_ms: Option<u64>,
}

/// A ticket: the life of the worker that it is for, and until when it is valid.
type Ticket = (String, u64, Instant);

/// The recommendation service, for a queue whose steps half of the workers may run.
#[derive(Default)]
struct Advice {
    /// Whether the queue has a recommendation.
    is_used: AtomicBool,
    /// By step and worker.
    tickets: Mutex<HashMap<(String, String), Ticket>>,
}

const DECIDE_MS: u64 = 700;
const INTERVAL_MS: u64 = 10;
const VALIDITY_MS: u64 = 2_000;

impl Advice {
    /// Returns whether a step may run on a worker, which never changes.
    fn is_good(step: &str, worker: &str) -> bool {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for one in step.bytes().chain(worker.bytes()) {
            hash = (hash ^ u64::from(one)).wrapping_mul(0x0100_0000_01b3);
        }
        hash >> 40 & 1 == 0
    }

    fn handle(&self, workers: &Workers, request: &Request) -> Answer {
        let body = json::parse(&request.body).unwrap_or(json::Value::Null);
        let step = body.get("step").text().to_owned();
        let named: Vec<_> = body.get("workers").list().iter().collect();
        workers
            .record
            .line(&format!("advise {step}: {} workers named", named.len()));
        sleep_ms(DECIDE_MS + INTERVAL_MS * named.len() as u64);
        let mut rows = Vec::new();
        let mut tickets = self.tickets.lock().unwrap();
        let until = Instant::now() + Duration::from_millis(VALIDITY_MS);
        for id in named.iter().map(|id| id.text()) {
            let worker = workers.all.iter().find(|worker| worker.id == id);
            let Some(worker) = worker.filter(|_| Self::is_good(&step, id)) else {
                continue;
            };
            let born = worker.life.lock().unwrap().born;
            let ticket = format!("t-{:x}", unix_ms());
            rows.push(format!("[\"{id}\",\"{ticket}\"]"));
            tickets.insert((step.clone(), id.to_owned()), (ticket, born, until));
        }
        workers
            .record
            .line(&format!("advise {step}: {} of {} good", rows.len(), named.len()));
        Answer::Reply(
            200,
            format!(
                "{{\"good_count\":[{}],\"validity_ms\":{VALIDITY_MS}}}",
                rows.join(",")
            ),
        )
    }

    fn permits(&self, task: &str, worker: &str, born: u64, ticket: &str) -> bool {
        if !self.is_used.load(Ordering::Relaxed) {
            return true;
        }
        let step = task.rsplit_once('.').map_or("", |(step, _)| step).to_owned();
        let tickets = self.tickets.lock().unwrap();
        let known = tickets.get(&(step, worker.to_owned()));
        known.is_some_and(|(known, of, until)| {
            known == ticket && *of == born && Instant::now() < *until
        })
    }
}

/// All workers and what they have seen.
struct Workers {
    advice: Advice,
    all: Vec<Arc<Worker>>,
    store: Arc<Store>,
    record: Arc<Record>,
    /// Runs by task.
    seen: Mutex<BTreeMap<String, Vec<Seen>>>,
    /// How long tasks work, from their `spec`.
    stop_grace: Duration,
}

impl Workers {
    fn start(
        count: usize,
        cpu: u32,
        ip: &str,
        zones: &[String],
        rack_size: usize,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let all = (0..count).map(|index| {
            // Racks lie within a zone.
            let racks = count.div_ceil(rack_size);
            let rack = index / rack_size;
            let zone = &zones[rack * zones.len() / racks];
            Arc::new(Worker {
                id: format!("i-{:08x}", 0x51ab_0000_u32 + 77 * index as u32),
                address: format!("{ip}:{}", 21_000 + index),
                zone: zone.clone(),
                rack: format!("r{rack}"),
                cpu,
                life: Mutex::new(Life::new(unix_ms())),
                changed: Condvar::new(),
            })
        });
        let workers = Arc::new(Self {
            advice: Advice::default(),
            all: all.collect(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            seen: Mutex::default(),
            stop_grace: Duration::from_millis(100),
        });
        for worker in &workers.all {
            workers.listen(worker)?;
        }
        let ticking = Arc::clone(&workers);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(3));
                ticking.tick();
            }
        });
        let reporting = Arc::clone(&workers);
        std::thread::spawn(move || reporting.report_all());
        Ok(workers)
    }

    fn listen(self: &Arc<Self>, worker: &Arc<Worker>) -> std::io::Result<()> {
        let listener = TcpListener::bind(&worker.address)?;
        let born = worker.life.lock().unwrap().born;
        let (of_open, of_handler) = (Arc::clone(worker), Arc::clone(worker));
        let workers = Arc::clone(self);
        let open = move || {
            let life = of_open.life.lock().unwrap();
            life.up && life.born == born
        };
        let handler = move |request: &Request| workers.handle(&of_handler, request);
        serve(listener, Arc::new(open), Arc::new(handler));
        Ok(())
    }

    fn report(&self, worker: &Worker, sequence: u64) {
        let life = worker.life.lock().unwrap();
        if !life.up {
            return;
        }
        let text = format!(
            "{{\"service\":\"press\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\
             \"mem_mb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\"clock_ms\":{},\"seq\":{},\
             \"born\":{}}}",
            worker.address,
            worker.zone,
            worker.cpu,
            worker.rack,
            life.clock_ms(),
            sequence,
            life.born
        );
        drop(life);
        self.store.put_text(&format!("servers/{}", worker.id), &text);
    }

    /// Writes the entries of workers that are up, and removes those that are silent for three
    /// intervals.
    fn report_all(&self) {
        let mut silent: HashMap<&str, u32> = HashMap::new();
        let mut sequence = 0;
        loop {
            sequence += 1;
            for worker in &self.all {
                if worker.life.lock().unwrap().up {
                    silent.remove(worker.id.as_str());
                    self.report(worker, sequence);
                } else {
                    let intervals = silent.entry(&worker.id).or_default();
                    *intervals += 1;
                    if *intervals == 3 {
                        self.store.delete(&format!("servers/{}", worker.id));
                    }
                }
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn note_end(&self, worker: &Worker, life: &mut Life, key: &(String, u64), how: &'static str) {
        life.runs.remove(key);
        life.sequence += 1;
        life.ended
            .push((life.sequence, key.0.clone(), key.1, how));
        let closed = life.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
        let now = self.record.ms();
        let mut seen = self.seen.lock().unwrap();
        let runs = seen.entry(key.0.clone()).or_default();
        if let Some(run) = runs.iter_mut().rev().find(|one| {
            one.run == key.1 && one.worker == worker.id && one.born == life.born
        }) {
            run.ended = Some((now, how, life.sequence));
        }
        drop(seen);
        self.record.line(&format!(
            "end   {}#{} on {} ({}) {how}, number {}",
            key.0, key.1, worker.id, life.born, life.sequence
        ));
    }

    fn tick(&self) {
        let now = Instant::now();
        for worker in &self.all {
            let mut life = worker.life.lock().unwrap();
            if !life.up || life.runs.is_empty() {
                continue;
            }
            let lapsed = life.clock_ms() >= life.lease_ms;
            let due: Vec<_> = life
                .runs
                .iter()
                .filter(|(_, run)| lapsed || run.ends_at.is_some_and(|at| at <= now))
                .map(|(key, run)| (key.clone(), run.stopped))
                .collect();
            for (key, stopped) in due {
                let how = match (lapsed, stopped) {
                    (true, _) => "lapsed",
                    (_, true) => "stopped",
                    _ => "done",
                };
                self.note_end(worker, &mut life, &key, how);
                worker.changed.notify_all();
            }
        }
    }

    /// Ends a life of a worker: it runs nothing and answers nothing.
    fn crash(&self, worker: &Worker) {
        let mut life = worker.life.lock().unwrap();
        life.up = false;
        let now = self.record.ms();
        let mut seen = self.seen.lock().unwrap();
        for (task, run) in std::mem::take(&mut life.runs).into_keys() {
            let runs = seen.entry(task).or_default();
            for one in runs.iter_mut().filter(|one| {
                one.run == run && one.worker == worker.id && one.born == life.born
            }) {
                one.ended = Some((now, "crashed", 0));
            }
        }
        worker.changed.notify_all();
        self.record
            .line(&format!("crash {} ({})", worker.id, life.born));
    }

    /// Begins the next life of a worker, under its id and at its address.
    fn restart(self: &Arc<Self>, worker: &Arc<Worker>) {
        {
            let mut life = worker.life.lock().unwrap();
            *life = Life::new(unix_ms().max(life.born + 1));
            self.record
                .line(&format!("back  {} ({})", worker.id, life.born));
        }
        for _ in 0..50 {
            if self.listen(worker).is_ok() {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.report(worker, 1);
    }

    fn handle(&self, worker: &Worker, request: &Request) -> Answer {
        let body = json::parse(&request.body).unwrap_or(json::Value::Null);
        let mut life = worker.life.lock().unwrap();
        if !life.up {
            return Answer::Drop;
        }
        let born = life.born;
        let refuse = |life: &Life, reason: &str| {
            let clock = life.clock_ms();
            Answer::Reply(409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"))
        };
        if request.path == "/healthz" {
            return Answer::Reply(200, "{}".to_owned());
        }
        let target = request.headers.get("x-target-instance");
        if target.is_some_and(|target| *target != worker.id) {
            return Answer::Reply(421, "{}".to_owned());
        }
        let fence = body.get("fencing_token").integer().unwrap_or(0);
        if fence < life.fence {
            return refuse(&life, "fence");
        }
        life.fence = fence;
        let clock = life.clock_ms();
        let granted = body.get("deadline_ms").integer();
        let task = body.get("task").text().to_owned();
        let run = body.get("run").integer().unwrap_or(0) as u64;
        let key = (task.clone(), run);
        match request.path.as_str() {
            "/run-start" => {
                if granted.is_none_or(|end| end <= clock) {
                    return refuse(&life, "late");
                }
                life.lease_ms = life
                    .lease_ms
                    .max(granted.unwrap_or(0).min(clock + MAX_HOLD_MS));
                if life.runs.contains_key(&key) {
                    return Answer::Reply(200, format!("{{\"clock_ms\":{clock}}}"));
                }
                if life.closed.get(&task).is_some_and(|closed| run <= *closed) {
                    return refuse(&life, "old");
                }
                let ticket = body.get("ticket").text();
                if !self.advice.permits(&task, &worker.id, born, ticket) {
                    return refuse(&life, "ticket");
                }
                let now = Instant::now();
                // The stand-in's callers put the working time of a task into `spec`.
                let work: u64 = body.get("spec").text().parse().unwrap_or(0);
                let ends_at = (work > 0).then(|| now + Duration::from_millis(work));
                life.runs.insert(
                    key,
                    Run {
                        ends_at,
                        began: now,
                        stopped: false,
                    },
                );
                let seen = Seen {
                    worker: worker.id.clone(),
                    born,
                    run,
                    began_ms: self.record.ms(),
                    ended: None,
                    noted_ms: None,
                };
                self.seen
                    .lock()
                    .unwrap()
                    .entry(task.clone())
                    .or_default()
                    .push(seen);
                self.record.line(&format!(
                    "start {task}#{run} on {} ({born}) fence {fence}",
                    worker.id
                ));
                Answer::Reply(200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/run-stop" => {
                let grace = self.stop_grace;
                if let Some(run) = life.runs.get_mut(&key) {
                    run.stopped = true;
                    let ends = Instant::now() + grace;
                    run.ends_at = Some(run.ends_at.map_or(ends, |at| at.min(ends)));
                } else {
                    let closed = life.closed.entry(task.clone()).or_default();
                    *closed = (*closed).max(run);
                }
                self.record
                    .line(&format!("stop  {task}#{run} on {} ({born})", worker.id));
                Answer::Reply(200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/hold" => {
                if let Some(end) = granted {
                    life.lease_ms = life.lease_ms.max(end.min(clock + MAX_HOLD_MS));
                }
                let last_seen = body.get("last_seen").integer().unwrap_or(0) as u64;
                self.forget_ends(worker, &mut life, last_seen);
                let wait = body.get("wait_ms").integer().unwrap_or(0).clamp(0, 2_000) as u64;
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    if !life.up || life.born != born {
                        return Answer::Drop;
                    }
                    let now = Instant::now();
                    if !life.ended.is_empty() || now >= until {
                        break;
                    }
                    life = worker.changed.wait_timeout(life, until - now).unwrap().0;
                }
                let running: Vec<_> = life
                    .runs
                    .iter()
                    .map(|((task, run), state)| {
                        let percent = match state.ends_at {
                            Some(at) => {
                                let all = at.saturating_duration_since(state.began).as_millis();
                                state.began.elapsed().as_millis() * 100 / all.max(1)
                            }
                            None => 100,
                        };
                        format!("[\"{task}\",{run},\"\",{},1000]", percent.min(100))
                    })
                    .collect();
                let ended: Vec<_> = life
                    .ended
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how)| {
                        format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
                    })
                    .collect();
                Answer::Reply(
                    200,
                    format!(
                        "{{\"clock_ms\":{},\"born\":{born},\"running\":[{}],\"finished\":[{}]}}",
                        life.clock_ms(),
                        running.join(","),
                        ended.join(",")
                    ),
                )
            }
            _ => Answer::Reply(200, format!("{{\"clock_ms\":{clock}}}")),
        }
    }

    /// Forgets the ends up to `last_seen`, which are taken note of by that.
    fn forget_ends(&self, worker: &Worker, life: &mut Life, last_seen: u64) {
        let forgotten: Vec<_> = life
            .ended
            .iter()
            .filter(|(number, ..)| *number <= last_seen)
            .cloned()
            .collect();
        if last_seen > life.sequence {
            self.record.line(&format!(
                "hold  {} ({}) says last_seen {last_seen}, the last end is number {}",
                worker.id, life.born, life.sequence
            ));
        }
        if forgotten.is_empty() {
            return;
        }
        life.ended.retain(|(number, ..)| *number > last_seen);
        let now = self.record.ms();
        let mut seen = self.seen.lock().unwrap();
        for (number, task, run, _) in &forgotten {
            let runs = seen.entry(task.clone()).or_default();
            for one in runs.iter_mut().filter(|one| {
                one.run == *run && one.worker == worker.id && one.born == life.born
            }) {
                one.noted_ms = Some(now);
            }
            let _ = number;
        }
        drop(seen);
        let above = last_seen > life.sequence;
        self.record.line(&format!(
            "note  {} ({}) last_seen {last_seen} of {}{}, ends forgotten {}",
            worker.id,
            life.born,
            life.sequence,
            if above { " (more than there are)" } else { "" },
            forgotten.len()
        ));
    }

    /// Returns how many tasks of a job have ended done.
    fn done_count(&self, job: &str) -> usize {
        let prefix = format!("{job}.");
        let seen = self.seen.lock().unwrap();
        let tasks = seen.range(prefix.clone()..);
        let tasks = tasks.take_while(|(task, _)| task.starts_with(&prefix));
        let done = tasks.filter(|(_, runs)| {
            runs.iter()
                .any(|run| matches!(run.ended, Some((_, "done", _))))
        });
        done.count()
    }

    /// Returns whether any task of a job is at work now.
    fn job_runs(&self, job: &str) -> bool {
        let prefix = format!("{job}.");
        self.all.iter().any(|worker| {
            let life = worker.life.lock().unwrap();
            life.up && life.runs.keys().any(|(task, _)| task.starts_with(&prefix))
        })
    }

    fn running_count(&self) -> usize {
        let counts = self.all.iter().map(|worker| {
            let life = worker.life.lock().unwrap();
            if life.up { life.runs.len() } else { 0 }
        });
        counts.sum()
    }

    /// Returns the tasks that ran twice: two runs at the same time, or a start after an end `done` that
    /// was taken note of.
    fn twice(&self) -> Vec<String> {
        let seen = self.seen.lock().unwrap();
        let mut found = Vec::new();
        for (task, runs) in &*seen {
            for (index, run) in runs.iter().enumerate() {
                for earlier in &runs[..index] {
                    let is_over = earlier.ended.filter(|(at, ..)| *at <= run.began_ms);
                    match is_over {
                        None => found.push(format!(
                            "{task}: run {} on {} began at {} ms while run {} was at work on {}",
                            run.run, run.worker, run.began_ms, earlier.run, earlier.worker
                        )),
                        Some((at, "done", number)) if earlier.noted_ms.is_some() => {
                            found.push(format!(
                                "{task}: run {} on {} began at {} ms, after run {} had ended done on \
                                 {} at {at} ms as number {number}, taken note of at {} ms",
                                run.run,
                                run.worker,
                                run.began_ms,
                                earlier.run,
                                earlier.worker,
                                earlier.noted_ms.unwrap_or(0)
                            ));
                        }
                        Some(_) => {}
                    }
                }
            }
        }
        found
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
    fn _exit(code: i32) -> !;
}

/// Ids of the processes that were started and not ended yet; 0 for none.
static PROCESSES: [AtomicI32; 16] =
    [const { AtomicI32::new(0) }; 16];

/// Ends all processes that were started.
fn end_processes() {
    for process in &PROCESSES {
        let pid = process.swap(0, Ordering::SeqCst);
        if pid != 0 {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(pid, SIGKILL) };
        }
    }
}

/// Ends everything after a signal that asks for it.
extern "C" fn on_signal(_: i32) {
    end_processes();
    // SAFETY: ends the process without running anything else.
    unsafe { _exit(2) };
}

/// A case takes no longer than this.
const TIME_LIMIT: Duration = Duration::from_secs(117);

const SIGKILL: i32 = 9;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// One process of the project.
struct Instance {
    name: String,
    zone: String,
    front: String,
    ready: String,
    settings: String,
    log: String,
    process: Mutex<Option<std::process::Child>>,
}

impl Instance {
    fn start(&self, repository: &str) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = std::process::Command::new(format!("{repository}/target/release/ferry-platform"))
            .current_dir(repository)
            .env("SAPPHIREFERRY_CONFIG", &self.settings)
            .stdin(std::process::Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        for process in &PROCESSES {
            let order = Ordering::SeqCst;
            if process
                .compare_exchange(0, child.id() as i32, order, order)
                .is_ok()
            {
                break;
            }
        }
        *self.process.lock().unwrap() = Some(child);
        Ok(())
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &*self.process.lock().unwrap() {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            for process in &PROCESSES {
                let order = Ordering::SeqCst;
                let _ = process.compare_exchange(child.id() as i32, 0, order, order);
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_ready(&self) -> bool {
        let reply = call(&self.ready, "GET", "/ready", "x", "", Duration::from_millis(500));
        reply.is_some_and(|(status, _)| status == 200)
    }
}

/// Everything that a scenario needs; ends the processes when it is dropped.
struct Rig {
    repository: String,
    folder: std::path::PathBuf,
    record: Arc<Record>,
    store: Arc<Store>,
    workers: Arc<Workers>,
    instances: Vec<Arc<Instance>>,
    trouble: bool,
}

const HOST: &str = "queue.example";
const PREFIX: &str = "/press/";

impl Drop for Rig {
    fn drop(&mut self) {
        for instance in &self.instances {
            instance.signal(SIGCONT);
            instance.kill();
        }
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            for instance in &self.instances {
                let _ = std::fs::copy(&instance.log, format!("{kept}/{}.log", instance.name));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        self.record.flush();
    }
}

/// Size of a scenario's deployment.
struct Size {
    instances: usize,
    workers: usize,
    /// Thousandths of a core of each worker.
    cpu: u32,
    rack_size: usize,
    attempts: u32,
    /// Whether the queue has a recommendation.
    advice: bool,
}

impl Rig {
    fn start(repository: &str, record: &Arc<Record>, size: &Size) -> Result<Self, String> {
        let pid = std::process::id();
        let net = format!("127.{}.{}", 100 + pid / 250 % 100, 1 + pid % 250);
        let zones: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
        let store = Store::new();
        let store_address = format!("{net}.1:8169");
        let listener = TcpListener::bind(&store_address).map_err(|error| error.to_string())?;
        let handling = Arc::clone(&store);
        let handler = move |request: &Request| handling.handle(request);
        serve(listener, Arc::new(|| true), Arc::new(handler));
        let recommendation = format!(
            ",\"recommendation\":{{\"decide_ms\":{DECIDE_MS},\"interval_ms\":{INTERVAL_MS},\
             \"validity_ms\":{VALIDITY_MS}}}"
        );
        let manifest = format!(
            "{{\"version\":3,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
             \"prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\
             \"target_latency_ms\":400,\"priority\":0,\"service\":\"press\",\"attempts\":{},\
             \"stretch\":1.5{}}}],\"services\":[{{\"name\":\"press\",\"health_path\":\"/healthz\",\
             \"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":false,\
             \"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            size.attempts,
            if size.advice { &recommendation } else { "" }
        );
        store.put_text("op/config", &manifest);
        let workers = Workers::start(
            size.workers,
            size.cpu,
            &format!("{net}.2"),
            &zones,
            size.rack_size,
            &store,
            record,
        )
        .map_err(|error| error.to_string())?;
        let advice_address = format!("{net}.3:8169");
        workers.advice.is_used.store(size.advice, Ordering::Relaxed);
        let listener = TcpListener::bind(&advice_address).map_err(|error| error.to_string())?;
        let handling = Arc::clone(&workers);
        let handler = move |request: &Request| handling.advice.handle(&handling, request);
        serve(listener, Arc::new(|| true), Arc::new(handler));
        let advice_address = if size.advice { &advice_address } else { "" };
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let template = std::fs::read_to_string(format!("{repository}/deploy/instance.ini"))
            .map_err(|error| error.to_string())?;
        let instances = (0..size.instances).map(|index| {
            let (ip, zone) = (format!("{net}.{}", 10 + index), &zones[index % zones.len()]);
            let name = format!("edge-{zone}-{}", 1 + index / zones.len());
            let settings = render(
                &template,
                &name,
                &ip,
                zone,
                &zones,
                &store_address,
                advice_address,
            );
            let file = folder.join(format!("{name}.ini"));
            std::fs::write(&file, settings).map_err(|error| error.to_string())?;
            Ok(Arc::new(Instance {
                front: format!("{ip}:8161"),
                ready: format!("{ip}:8167"),
                settings: file.display().to_string(),
                log: folder.join(format!("{name}.log")).display().to_string(),
                process: Mutex::new(None),
                zone: zone.clone(),
                name,
            }))
        });
        let instances = instances.collect::<Result<Vec<_>, String>>()?;
        let rig = Self {
            repository: repository.to_owned(),
            folder,
            record: Arc::clone(record),
            store,
            workers,
            instances,
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        };
        for instance in &rig.instances {
            instance
                .start(&rig.repository)
                .map_err(|error| error.to_string())?;
        }
        let limit = Instant::now() + Duration::from_secs(15);
        while !rig.instances.iter().all(|instance| instance.is_ready()) {
            if Instant::now() > limit {
                return Err("instances are not ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        rig.record.line("all instances are ready");
        Ok(rig)
    }

    /// Returns the instance that the store's entry names as the leader.
    fn leader(&self) -> Option<Arc<Instance>> {
        let value = self.store.value("ferry/cell/leader")?;
        let text = String::from_utf8_lossy(&value).into_owned();
        let found = self
            .instances
            .iter()
            .find(|instance| text.contains(&format!("{}#", instance.name)));
        found.cloned()
    }

    fn submit(&self, instance: usize, job: &str, body: &str) -> Option<u16> {
        let front = &self.instances[instance % self.instances.len()].front;
        let path = format!("{PREFIX}{job}");
        let reply = call(front, "POST", &path, HOST, body, Duration::from_millis(3_000));
        let status = reply.map(|(status, _)| status);
        self.record.line(&format!(
            "POST  {job} at instance {}: {}",
            instance % self.instances.len(),
            status.map_or("no answer".to_owned(), |status| status.to_string())
        ));
        status
    }

    fn state(&self, job: &str) -> String {
        let path = format!("{PREFIX}{job}");
        for instance in &self.instances {
            let reply = call(&instance.front, "GET", &path, HOST, "", Duration::from_millis(3_000));
            match reply {
                Some((200, body)) => {
                    let body = json::parse(&body).unwrap_or(json::Value::Null);
                    return body.get("state").text().to_owned();
                }
                Some((410, _)) => return "410".to_owned(),
                _ => {}
            }
        }
        "no answer".to_owned()
    }
}

/// Fills in the settings template as the platform does.
fn render(
    template: &str,
    name: &str,
    ip: &str,
    zone: &str,
    zones: &[String],
    store: &str,
    advice: &str,
) -> String {
    let regions: Vec<_> = zones.iter().map(|zone| format!("{zone}:r-{zone}")).collect();
    let mut text = String::new();
    for line in template.lines() {
        let line = match line.split_once("{{#zones}}") {
            Some((before, _)) => format!("{before}{}", regions.join(",")),
            None => line.to_owned(),
        };
        text.push_str(&line);
        text.push('\n');
    }
    let values = [
        ("node", name),
        ("ip", ip),
        ("zone", zone),
        ("port_range", "7720,7735"),
        ("listen.front", &format!("{ip}:8161")),
        ("listen.ready", &format!("{ip}:8167")),
        ("bounds.grace_s", "6"),
        ("limits.cpu_share", "0.25"),
        ("limits.cores", "1"),
        ("platform.address", store),
        ("platform.min_ttl_ms", "1000"),
        ("recommendation", advice),
        ("bounds.max_hold_ms", "10000"),
        ("heartbeat_ms", "1500"),
        ("bounds.contact_ms", "4000"),
        ("bounds.status_s", "120"),
    ];
    for (field, value) in values {
        text = text.replace(&format!("{{{{{field}}}}}"), value);
    }
    text
}

/// Body of a job with one step; each task works for `work_ms`, forever if 0.
fn job_body(count: u32, cpu: u32, work_ms: u64, more: &str) -> String {
    format!(
        "{{\"spec\":\"{work_ms}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":64,\
         \"est_runtime_ms\":{}{more}}}]}}",
        work_ms.max(1_000)
    )
}

fn job_id(number: u64) -> String {
    let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A caller hands a job in again, with its id and at another instance, after 503 or 429 or no answer.
fn submit_with_retries(rig: &Rig, number: usize, body: &str, retries: u32) -> bool {
    let job = job_id(number as u64);
    for attempt in 0..=retries as usize {
        if rig.submit(number + attempt, &job, body) == Some(200) {
            return true;
        }
        sleep_ms(1_000);
    }
    false
}

/// Case: an outage of the store, with callers that go on.
fn store_outage(repository: &str, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let size = Size {
        instances: 3,
        workers: 6,
        cpu: 8_000,
        rack_size: 2,
        attempts: 4,
        advice: false,
    };
    let rig = Arc::new(Rig::start(repository, record, &size)?);
    sleep_ms(4_000);
    // Twenty-five jobs a second for 16 s, each of one task that needs a whole worker for 80 ms: a third
    // of the room. For 4.5 s from the 5th second on, the store answers 503.
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut callers = Vec::new();
    let began = Instant::now();
    for number in 0..400_usize {
        let due = began + Duration::from_millis(40 * number as u64);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if rig.trouble && number == 125 {
            record.line("store: answers 503 from now on");
            rig.store.set_mode(StoreMode::Busy);
            let store = Arc::clone(&rig.store);
            let record = Arc::clone(record);
            std::thread::spawn(move || {
                sleep_ms(4_500);
                store.set_mode(StoreMode::Up);
                record.line("store: up again");
            });
        }
        let (rig, accepted) = (Arc::clone(&rig), Arc::clone(&accepted));
        callers.push(std::thread::spawn(move || {
            let body = job_body(1, 8_000, 80, "");
            if submit_with_retries(&rig, number, &body, 4) {
                accepted.lock().unwrap().push(job_id(number as u64));
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    record.line("end of the traffic");
    sleep_ms(14_000);
    let accepted = accepted.lock().unwrap().clone();
    Ok(idle_jobs(&rig, &accepted, 6))
}

/// Returns the accepted jobs that have not ended and have nothing running for 3 s, while less than half
/// of the room, which is for `room` of their tasks, is in use.
fn idle_jobs(rig: &Rig, accepted: &[String], room: usize) -> Vec<String> {
    const CHECKS: u32 = 30;
    let mut idle: HashMap<&String, u32> = HashMap::new();
    let mut most_running = 0;
    for _ in 0..CHECKS {
        most_running = most_running.max(rig.workers.running_count());
        for job in accepted {
            if !rig.workers.job_runs(job) {
                *idle.entry(job).or_default() += 1;
            }
        }
        sleep_ms(100);
    }
    rig.record.line(&format!(
        "{} jobs accepted; at most {most_running} tasks at work in the last 3 s, room for {room}",
        accepted.len()
    ));
    let mut broken = Vec::new();
    for job in accepted {
        let state = rig.state(job);
        if state != "completed" && idle.get(job) == Some(&CHECKS) && most_running * 2 < room {
            broken.push(format!(
                "job {job}: accepted, state {state}, {} of its tasks done, nothing of it at work for 3 s, \
                 and the workers have room",
                rig.workers.done_count(job)
            ));
        }
    }
    broken
}

/// Calls jobs of `count` tasks one after the other until the time is up.
fn keep_busy(rig: &Arc<Rig>, caller: usize, count: u32, cpu: u32, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let job = job_id((caller * 10_000 + number) as u64);
        // Jobs differ in their work, so that tasks end all the time.
        let work_ms = 100 + (number * 37 + caller * 61) as u64 % 100;
        let body = &job_body(count, cpu, work_ms, "");
        number += 1;
        let mut accepted = false;
        for attempt in 0..5 {
            accepted = rig.submit(caller + attempt, &job, body) == Some(200);
            if accepted || is_over.load(Ordering::Relaxed) {
                break;
            }
            sleep_ms(300);
        }
        while accepted
            && !is_over.load(Ordering::Relaxed)
            && rig.workers.done_count(&job) < count as usize
        {
            sleep_ms(10);
        }
    }
}

/// Case: an instance freezes while a few workers crash and start again.
///
/// They crash `crash_ms` after the instance freezes, and are back after `down_ms`; it freezes for 4 s.
fn frozen_instance(
    repository: &str,
    record: &Arc<Record>,
    crash_ms: u64,
    down_ms: u64,
) -> Result<Vec<String>, String> {
    let size = Size {
        instances: 3,
        workers: 15,
        cpu: 12_000,
        rack_size: 5,
        attempts: 4,
        advice: false,
    };
    let rig = Arc::new(Rig::start(repository, record, &size)?);
    sleep_ms(3_000);
    // More tasks than fit at once, so that all workers are at work all the time.
    const ROUNDS: u64 = 14;
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..24)
        .map(|caller| {
            let (rig, is_over) = (Arc::clone(&rig), Arc::clone(&is_over));
            std::thread::spawn(move || keep_busy(&rig, caller, 24, 600, &is_over))
        })
        .collect();
    sleep_ms(4_000);
    for round in 0..ROUNDS {
        let began = Instant::now();
        let leader = rig.leader().ok_or("no leader")?;
        let mut others = rig.instances.iter().filter(|one| one.name != leader.name);
        let frozen = others.nth(round as usize % 2).ok_or("no follower")?;
        // 2 of 15 workers: a share of 0.133.
        let near = rig.workers.all.iter().filter(|one| one.zone == frozen.zone);
        let near: Vec<_> = near.take(2).cloned().collect();
        if rig.trouble {
            record.line(&format!(
                "freeze {} for 4.0 s ({} leads)",
                frozen.name, leader.name
            ));
            frozen.signal(SIGSTOP);
            sleep_ms(crash_ms);
            for worker in &near {
                rig.workers.crash(worker);
            }
            sleep_ms(down_ms);
            for worker in &near {
                rig.workers.restart(worker);
            }
            std::thread::sleep(Duration::from_millis(4_000).saturating_sub(began.elapsed()));
            frozen.signal(SIGCONT);
            record.line(&format!("{} goes on", frozen.name));
        }
        std::thread::sleep(Duration::from_millis(7_000).saturating_sub(began.elapsed()));
        if !rig.workers.twice().is_empty() {
            break;
        }
    }
    let twice = rig.workers.twice();
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    Ok(twice)
}

/// Case: one job comes that can never be done, among others that can.
fn hopeless_gang(repository: &str, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let size = Size {
        instances: 6,
        workers: 60,
        cpu: 8_000,
        rack_size: 10,
        attempts: 4,
        advice: true,
    };
    let rig = Arc::new(Rig::start(repository, record, &size)?);
    sleep_ms(4_000);
    let gang = ",\"gang\":true";
    if rig.trouble {
        // It needs 900 workers of 60.
        let body = job_body(900, 8_000, 60_000, gang);
        record.line("a job that can never be done is handed in");
        if rig.submit(0, &job_id(900), &body) != Some(200) {
            return Err("the job was not accepted".to_owned());
        }
        sleep_ms(500);
    }
    // Twenty jobs that need 10 of 60 workers for a second each.
    let mut accepted = Vec::new();
    for number in 0..20 {
        let body = job_body(20, 4_000, 1_000, gang);
        if submit_with_retries(&rig, number, &body, 4) {
            accepted.push(job_id(number as u64));
        }
        sleep_ms(800);
    }
    record.line("end of the traffic");
    sleep_ms(14_000);
    Ok(idle_jobs(&rig, &accepted, 120))
}

/// Case: a short outage of the store while the recommendation service is asked for new jobs.
fn late_advice(repository: &str, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let size = Size {
        instances: 6,
        workers: 60,
        cpu: 8_000,
        rack_size: 10,
        attempts: 4,
        advice: true,
    };
    let rig = Arc::new(Rig::start(repository, record, &size)?);
    sleep_ms(4_000);
    let began = Instant::now();
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    if rig.trouble {
        record.line("store: answers 503 from now on");
        rig.store.set_mode(StoreMode::Busy);
        let (store, record) = (Arc::clone(&rig.store), Arc::clone(record));
        std::thread::spawn(move || {
            sleep_ms(1_000);
            store.set_mode(StoreMode::Up);
            record.line("store: up again");
        });
    }
    // Each job has more tasks than have room at once.
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let (rig, accepted) = (Arc::clone(&rig), Arc::clone(&accepted));
            std::thread::spawn(move || {
                sleep_ms(if number == 0 { 20 } else { 220 + 35 * number as u64 });
                let body = job_body(60, 4_000, 1_500, "");
                if submit_with_retries(&rig, number, &body, 4) {
                    accepted.lock().unwrap().push(job_id(number as u64));
                }
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    record.line("end of the traffic");
    std::thread::sleep(Duration::from_secs(40).saturating_sub(began.elapsed()));
    let accepted = accepted.lock().unwrap().clone();
    Ok(idle_jobs(&rig, &accepted, 120))
}

/// Case: the leader is killed and a worker with a task that lasts is lost for good.
fn gone_worker(repository: &str, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let size = Size {
        instances: 3,
        workers: 8,
        cpu: 8_000,
        rack_size: 2,
        attempts: 4,
        advice: false,
    };
    let rig = Rig::start(repository, record, &size)?;
    sleep_ms(3_000);
    // One task fits on a worker: four workers stay free.
    const TASKS: u32 = 4;
    let job = job_id(7);
    let body = job_body(TASKS, 6_000, 0, ",\"long_running\":true");
    if rig.submit(0, &job, &body) != Some(200) {
        return Err("the job was not accepted".to_owned());
    }
    let limit = Instant::now() + Duration::from_secs(10);
    while rig.workers.running_count() < TASKS as usize {
        if Instant::now() > limit {
            return Err("the tasks do not run".to_owned());
        }
        sleep_ms(20);
    }
    sleep_ms(6_000);
    let leader = rig.leader().ok_or("no leader")?;
    let at_work = |worker: &&Arc<Worker>| !worker.life.lock().unwrap().runs.is_empty();
    let lost = rig.workers.all.iter().find(at_work).ok_or("no task runs")?;
    let lost_task = lost.life.lock().unwrap().runs.keys().next().cloned();
    let (lost_task, _) = lost_task.ok_or("no task runs")?;
    let began = Instant::now();
    if rig.trouble {
        record.line(&format!(
            "kill {}, which leads; {} is lost for good, with {lost_task}",
            leader.name, lost.id
        ));
        rig.workers.crash(lost);
        // For comparison: only the worker is lost.
        if std::env::var("SPARE_LEADER").is_err() {
            leader.kill();
            sleep_ms(500);
            leader
                .start(&rig.repository)
                .map_err(|error| error.to_string())?;
            record.line("the killed process is started again");
        }
    }
    // When the task was at work last, and for how long it was not.
    let is_at_work = || {
        rig.workers.all.iter().any(|worker| {
            let life = worker.life.lock().unwrap();
            life.up && life.runs.keys().any(|(task, _)| *task == lost_task)
        })
    };
    let mut at_work_at = began;
    let mut longest = Duration::ZERO;
    while began.elapsed() < Duration::from_secs(25) {
        if is_at_work() {
            at_work_at = Instant::now();
        }
        longest = longest.max(at_work_at.elapsed());
        sleep_ms(20);
    }
    record.line(&format!(
        "{lost_task} was not at work for {} ms; state {}",
        longest.as_millis(),
        rig.state(&job)
    ));
    // From 6 s after its last run on, 3 s without one; the 4 s before these are calm, as the last
    // disturbance is half a second after the loss.
    let mut broken = Vec::new();
    if longest > Duration::from_millis(9_000) {
        broken.push(format!(
            "{lost_task}, which lasts, was not at work for {} ms after its worker was lost, with three \
             workers free",
            longest.as_millis()
        ));
    }
    Ok(broken)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, repository, record] = &arguments[..] else {
        eprintln!("usage: rig SCENARIO REPOSITORY RECORD");
        std::process::exit(2);
    };
    let Ok(file) = std::fs::File::create(record) else {
        eprintln!("the record cannot be written");
        std::process::exit(2);
    };
    let record = Arc::new(Record {
        began: Instant::now(),
        file: Mutex::new(std::io::BufWriter::new(file)),
    });
    for number in [SIGTERM, SIGINT] {
        // SAFETY: the handler only ends processes and exits.
        unsafe { signal(number, on_signal) };
    }
    let timed = Arc::clone(&record);
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        timed.line("the case could not run: it took too long");
        timed.flush();
        end_processes();
        std::process::exit(2);
    });
    let result = match scenario.as_str() {
        "store-outage" => store_outage(repository, &record),
        "late-advice" => late_advice(repository, &record),
        "hopeless-gang" => hopeless_gang(repository, &record),
        "gone-worker" => gone_worker(repository, &record),
        "frozen-instance" => frozen_instance(repository, &record, 100, 1_000),
        "late-start" => {
            // For comparison: other times from the crash to the return.
            let down_ms = std::env::var("DOWN_MS").ok().and_then(|text| text.parse().ok());
            frozen_instance(repository, &record, 2_000, down_ms.unwrap_or(1_900))
        }
        other => Err(format!("unknown scenario {other}")),
    };
    let code = match result {
        Ok(broken) if broken.is_empty() => {
            record.line("verdict: the rule held");
            println!("the rule held");
            0
        }
        Ok(broken) => {
            for line in &broken {
                record.line(&format!("BROKEN {line}"));
            }
            println!("the rule was broken {} times; the first: {}", broken.len(), broken[0]);
            1
        }
        Err(cause) => {
            record.line(&format!("the case could not run: {cause}"));
            println!("the case could not run: {cause}");
            2
        }
    };
    record.flush();
    std::process::exit(code);
}
