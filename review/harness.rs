//! Stand-ins for the users' platform and a driver for entry nodes, for the cases of this review.
//!
//! Only the standard library is used. The store, the servers and the clients run as threads of the
//! driver; the entry nodes are separate processes, started with the command of the deploy file.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The exit code of a case that could not run.
pub const CANNOT_RUN: i32 = 2;

/// Ends the driver because the case can't run. Nodes that were started are killed by `run.sh`.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    std::process::exit(CANNOT_RUN);
}

/// Whether the disruption is to be brought about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, one line each, with the milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = match File::create(path) {
            Ok(file) => file,
            Err(error) => cannot_run(&format!("{}: {error}", path.display())),
        };
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} {text}");
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{:>7} {text}", self.now());
        self.line(text);
    }

    pub fn sleep_until(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms.saturating_sub(self.now())));
    }
}

/// A request or an answer, as it was read from a connection.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; bytes beyond it stay in `buffer`. `None` if the connection ended before.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16 << 10];
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        buffer.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..end - 4]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message { first, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < end + length {
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        buffer.extend_from_slice(&chunk[..count]);
    }
    message.body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(message)
}

pub fn answer(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// The text of the value of `key` in the JSON object `text`, at any depth; the first one counts.
pub fn json_field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let at = text.find(&format!("\"{key}\""))? + key.len() + 2;
    let rest = text[at..].trim_start().strip_prefix(':')?.trim_start();
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    for (index, byte) in rest.bytes().enumerate() {
        if quoted {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => quoted = false,
                _ => {}
            }
            if !quoted && depth == 0 {
                return Some(&rest[..=index]);
            }
            continue;
        }
        match byte {
            b'"' => quoted = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(rest[..index].trim_end()),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(&rest[..=index]);
                }
            }
            b',' if depth == 0 => return Some(rest[..index].trim_end()),
            _ => {}
        }
    }
    Some(rest)
}

fn json_string(text: &str, key: &str) -> Option<String> {
    json_field(text, key).map(|value| value.trim_matches('"').to_owned())
}

/// One object of the store. `spec` is the text that its writer sent.
#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct StoreState {
    revision: u64,
    kinds: HashMap<String, BTreeMap<String, Object>>,
    /// The changes since the start: revision, kind, event.
    history: Vec<(u64, String, String)>,
    /// The number of lists that were answered, by kind.
    lists: HashMap<String, u64>,
}

/// The platform's metadata store. It keeps what was written letter for letter, is linearizable, and
/// keeps the whole history of a run.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

/// A page of a list ends once it holds so much: "about 500 or 1 MB at most".
const PAGE_BYTES: usize = 1_000_000;

/// The text of a parameter of a query.
fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = std::str::from_utf8(tail.get(..2).unwrap_or_default());
        let code = code.ok().and_then(|code| u8::from_str_radix(code, 16).ok());
        match (first, code) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let state = StoreState {
            revision: 100,
            kinds: HashMap::new(),
            history: Vec::new(),
            lists: HashMap::new(),
        };
        let listener = listen(address);
        let address = listener.local_addr().unwrap();
        let store =
            Arc::new(Self { address, state: Mutex::new(state), changed: Condvar::new() });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let bytes = self.handle(&request);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let mut words = request.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |key: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(k, _)| *k == key)
        };
        let json = [("Content-Type", "application/json".to_owned())];
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return answer("404 Not Found", &json, b"{}");
        };
        let (kind, name) = rest.split_once('/').map_or((rest, None), |(k, n)| (k, Some(n)));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (method, name) {
            ("GET", None) => {
                let text = match parameter("watch").and_then(|(_, value)| value.parse().ok()) {
                    Some(since) => {
                        let wait = parameter("wait_ms").and_then(|(_, ms)| ms.parse().ok());
                        self.watch(kind, since, Duration::from_millis(wait.unwrap_or(0)))
                    }
                    None => {
                        let after = parameter("after").map_or("", |(_, name)| name);
                        self.list(kind, &percent_decoded(after))
                    }
                };
                answer("200 OK", &json, text.as_bytes())
            }
            ("GET", Some(name)) => match self.object(kind, name) {
                Some(text) => answer("200 OK", &json, text.as_bytes()),
                None => answer("404 Not Found", &json, b"{}"),
            },
            ("POST", None) => {
                let Some(name) = json_string(&body, "name") else {
                    return answer("400 Bad Request", &json, b"{}");
                };
                if let Some(text) = self.object(kind, &name) {
                    return answer("409 Conflict", &json, text.as_bytes());
                }
                self.put(kind, &name, json_field(&body, "spec").unwrap_or("null"));
                let text = self.object(kind, &name).unwrap_or_default();
                answer("200 OK", &json, text.as_bytes())
            }
            ("PUT", Some(name)) => {
                self.put(kind, name, json_field(&body, "spec").unwrap_or("null"));
                let text = self.object(kind, name).unwrap_or_default();
                answer("200 OK", &json, text.as_bytes())
            }
            _ => answer("404 Not Found", &json, b"{}"),
        }
    }

    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        state.kinds.get(kind)?.get(name).map(|object| object_text(name, object))
    }

    /// The objects after `after`, in the order of their names, at most 500 or about 1 MB.
    fn list(&self, kind: &str, after: &str) -> String {
        let mut state = self.state.lock().unwrap();
        *state.lists.entry(kind.to_owned()).or_default() += 1;
        let empty = BTreeMap::new();
        let objects = state.kinds.get(kind).unwrap_or(&empty);
        let mut items = objects.iter().filter(|(name, _)| name.as_str() > after).peekable();
        let mut page: Vec<String> = Vec::new();
        let mut bytes = 0;
        while page.len() < 500 && bytes < PAGE_BYTES {
            let Some((name, object)) = items.next() else { break };
            page.push(object_text(name, object));
            bytes += page[page.len() - 1].len();
        }
        let more = items.peek().is_some();
        format!("{{\"items\":[{}],\"more\":{more},\"as_of\":{}}}", page.join(","), state.revision)
    }

    /// The number of pages of lists of a kind that were answered.
    pub fn lists(&self, kind: &str) -> u64 {
        self.state.lock().unwrap().lists.get(kind).copied().unwrap_or(0)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<&str> = state
                .history
                .iter()
                .filter(|(revision, known, _)| *revision > since && known == kind)
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), state.revision);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Writes an object. When this returns, the write is confirmed.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        let revision = state.revision + 1;
        let objects = state.kinds.entry(kind.to_owned()).or_default();
        if objects.get(name).is_some_and(|known| known.spec == spec) {
            return;
        }
        let created = objects.get(name).map_or(revision, |known| known.created);
        let object = Object { revision, created, spec: spec.to_owned() };
        let event = format!("{{\"deleted\":false,\"object\":{}}}", object_text(name, &object));
        objects.insert(name.to_owned(), object);
        state.revision = revision;
        state.history.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
    }

    /// Removes an object. When this returns, the removal is confirmed.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.kinds.get_mut(kind).and_then(|objects| objects.remove(name)) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        let object = Object { revision, ..object };
        let event = format!("{{\"deleted\":true,\"object\":{}}}", object_text(name, &object));
        state.history.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
    }
}

pub fn listen(address: SocketAddr) -> TcpListener {
    match TcpListener::bind(address) {
        Ok(listener) => listener,
        Err(error) => cannot_run(&format!("{address}: {error}")),
    }
}

/// A run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub server: String,
    pub id: String,
}

/// What all servers have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A server of a service.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: u32,
    work: Duration,
    running: AtomicU32,
    stamps: AtomicU64,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
    runs: Runs,
}

impl Server {
    pub fn start(
        record: &Arc<Record>,
        runs: &Runs,
        (id, service, zone): (&str, &str, &str),
        ip: IpAddr,
        (slots, work): (u32, Duration),
    ) -> Arc<Self> {
        let listener = listen(SocketAddr::new(ip, 0));
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            slots,
            work,
            running: AtomicU32::new(0),
            stamps: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = Arc::clone(&accepting);
                if let Ok(clone) = stream.try_clone() {
                    server.streams.lock().unwrap().push(clone);
                }
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// The entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Ends the server: its connections close, and new ones are refused.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which drops the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("server {} has ended", self.id));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let bytes = self.handle(&request);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!(
            "{},{},{}",
            running.min(self.slots),
            running.saturating_sub(self.slots),
            self.slots
        )
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let id = request.header("heatherseam-request-id").unwrap_or("").to_owned();
        let mut headers = vec![
            ("Heatherseam-Request-Id", id.clone()),
            ("Heatherseam-Instance-Id", self.id.clone()),
        ];
        if request.first.starts_with("GET /healthz ") {
            headers.remove(0);
            headers.push(("Heatherseam-Server-Load", self.load()));
            return answer("200 OK", &headers, b"");
        }
        if request.header("heatherseam-expect-instance").is_some_and(|wanted| wanted != self.id) {
            headers.push(("Heatherseam-Not-Executed", "1".to_owned()));
            return answer("421 Misdirected Request", &headers, b"");
        }
        let run = Run { at: self.record.now(), server: self.id.clone(), id: id.clone() };
        self.runs.lock().unwrap().push(run);
        self.record.line(&format!("server {} runs {id}", self.id));
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(self.work);
        let load = self.load();
        self.running.fetch_sub(1, Ordering::SeqCst);
        let number = self.stamps.fetch_add(1, Ordering::SeqCst);
        headers.push(("Heatherseam-Server-Stamp", format!("{}.{number:x}.{id}", self.id)));
        headers.push(("Heatherseam-Server-Load", load));
        answer("200 OK", &headers, format!("{:<16}", self.id).as_bytes())
    }
}

/// A loopback subnet for the addresses of one run, so that runs side by side don't collide.
pub fn subnet() -> (u8, u8) {
    let id = std::process::id();
    for step in 0..200 {
        let (a, b) = (20 + ((id + step * 7) % 200) as u8, 1 + ((id / 200 + step) % 250) as u8);
        let probe = |port: u16| TcpListener::bind((format!("127.{a}.{b}.1"), port)).is_ok();
        if probe(9464) && probe(18006) {
            return (a, b);
        }
    }
    cannot_run("no free loopback addresses")
}

/// An entry node.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    readiness: SocketAddr,
    directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    record: Arc<Record>,
}

/// What the settings of all nodes of a deployment have in common.
pub struct Deployment {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub subnet: (u8, u8),
    /// The zones and their regions.
    pub zones: Vec<(&'static str, &'static str)>,
}

impl Deployment {
    /// Writes the settings of node `number`, with the figures of `ishara-search`.
    pub fn node(&self, number: u8, zone: &str, seeds: &[u8]) -> Arc<Node> {
        let (a, b) = self.subnet;
        let ip = format!("127.{a}.{b}.{number}");
        let region = self.zones.iter().find(|(name, _)| *name == zone).map_or("", |(_, r)| r);
        let zones: String =
            self.zones.iter().map(|(name, region)| format!("  {name}: \"{region}\"\n")).collect();
        let seeds: String =
            seeds.iter().map(|seed| format!("  - \"127.{a}.{b}.{seed}:18004\"\n")).collect();
        let name = format!("front-{zone}-{number}");
        let text = format!(
            "node_name: \"{name}\"\nrole: \"entry\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n  - \"directory\"\nip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"{region}\"\nzones:\n{zones}listen:\n  front: \"{ip}:18006\"\n  readiness_addr: \"{ip}:18007\"\n  control: \"{ip}:18004\"\n  directory: \"{ip}:18005\"\nport_range:\n  - 18040\n  - 18055\nseeds:\n{seeds}bootstrap: true\nloss_counts: false\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"directory\"\nheartbeat_ms: 1200\nfault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  stability_window_ms: 4000\n  ack_ms: 5000\n  catch_up_s: 4\n  drain_ms: 3000\n  grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  rollback_slack_ms: 250\n  max_skew_ms: 12000\n  retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 52\n  recover_s: 12\n  ttl_max_s: 5\nplatform:\n  address: \"{}\"\n  form: \"objects\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000\n",
            self.store
        );
        let settings = self.folder.join(format!("{name}.yaml"));
        if let Err(error) = std::fs::write(&settings, text) {
            cannot_run(&format!("{}: {error}", settings.display()));
        }
        let address = |port: u16| SocketAddr::new(ip.parse().unwrap(), port);
        Arc::new(Node {
            front: address(18006),
            readiness: address(18007),
            directory: address(18005),
            ip: ip.parse().unwrap(),
            log: self.folder.join(format!("{name}.log")),
            name,
            settings,
            child: Mutex::new(None),
            record: Arc::clone(&self.record),
        })
    }
}

impl Node {
    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Command::new("target/release/heatherseam")
            .arg("serve")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HEATHERSEAM_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => {
                self.record.line(&format!("node {} is started as process {}", self.name, child.id()));
                // `run.sh` ends what is left.
                println!("PID {}", child.id());
                *self.child.lock().unwrap() = Some(child);
            }
            Err(error) => cannot_run(&format!("target/release/heatherseam: {error}")),
        }
    }

    /// Adds lines to the settings file.
    pub fn extend_settings(&self, lines: &str) {
        let mut text = std::fs::read_to_string(&self.settings).unwrap_or_default();
        text.push_str(lines);
        if let Err(error) = std::fs::write(&self.settings, text) {
            cannot_run(&format!("{}: {error}", self.settings.display()));
        }
        self.record.line(&format!("the settings file of node {} has changed", self.name));
    }

    /// Waits until the process has ended; returns its exit code.
    pub fn wait_for_exit(&self, limit: Duration) -> Option<i32> {
        let until = Instant::now() + limit;
        let mut child = self.child.lock().unwrap();
        let child = child.as_mut()?;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let child = self.child.lock().unwrap();
        let Some(child) = child.as_ref() else { return };
        let command = format!("kill -{name} {}", child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
        self.record.line(&format!("node {} gets SIG{name}", self.name));
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("node {} is killed", self.name));
        }
    }

    /// The memory of the process at present, in bytes; zero if it does not run.
    pub fn memory(&self) -> u64 {
        let child = self.child.lock().unwrap();
        let id = child.as_ref().map_or(0, Child::id);
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    /// Whether the process has ended by itself.
    pub fn has_exited(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readyz HTTP/1.1\r\nHost: platform\r\n\r\n".to_owned();
        call(self.readiness, &request, Duration::from_secs(1))
            .is_some_and(|reply| reply.status() == 200)
    }

    /// The addresses that a lookup returns.
    pub fn resolve(&self, host: &str, region: &str, zone: &str) -> Vec<SocketAddr> {
        let request = format!(
            "GET /api/resolve?name={host}&region={region}&zone={zone} HTTP/1.1\r\nHost: directory\r\n\r\n"
        );
        let Some(reply) = call(self.directory, &request, Duration::from_secs(1)) else {
            return Vec::new();
        };
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        text.split('"').filter_map(|word| word.parse().ok()).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes one call on a new connection.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

/// Waits until all nodes are ready.
pub fn wait_until_ready(nodes: &[Arc<Node>], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    loop {
        if nodes.iter().all(|node| node.is_ready()) {
            return true;
        }
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: u64,
    pub ended: u64,
    pub id: String,
    pub node: SocketAddr,
    /// `None` if there was no complete answer.
    pub status: Option<u16>,
}

/// All requests of all clients.
pub type AllSent = Arc<Mutex<Vec<Sent>>>;

/// What clients send.
#[derive(Clone)]
pub struct Traffic {
    pub host: &'static str,
    pub path: &'static str,
    pub deadline: Duration,
    /// The time between two requests of one client.
    pub interval: Duration,
}

/// Starts clients that send requests on kept connections until `stop` is set. They ask the
/// directory every two seconds which nodes to use.
pub fn start_clients(
    record: &Arc<Record>,
    nodes: &[Arc<Node>],
    count: u32,
    traffic: &Traffic,
    (region, zone): (&'static str, &'static str),
    stop: &Arc<AtomicBool>,
) -> (AllSent, Vec<thread::JoinHandle<()>>) {
    let sent: AllSent = Arc::default();
    let threads = (0..count).map(|number| {
        let (record, nodes, traffic) = (Arc::clone(record), nodes.to_vec(), traffic.clone());
        let (stop, sent) = (Arc::clone(stop), Arc::clone(&sent));
        thread::spawn(move || {
            thread::sleep(traffic.interval * number / count);
            let mut client = Client {
                record,
                nodes,
                traffic,
                place: (region, zone),
                number: u64::from(number),
                sequence: 0,
                addresses: Vec::new(),
                resolved_at: None,
                open: None,
            };
            while !stop.load(Ordering::SeqCst) {
                let next = Instant::now() + client.traffic.interval;
                client.request(&sent);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        })
    });
    let threads = threads.collect();
    (sent, threads)
}

struct Client {
    record: Arc<Record>,
    nodes: Vec<Arc<Node>>,
    traffic: Traffic,
    place: (&'static str, &'static str),
    number: u64,
    sequence: u64,
    addresses: Vec<SocketAddr>,
    resolved_at: Option<Instant>,
    open: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    fn resolve(&mut self) {
        let is_old = |at: Instant| at.elapsed() > Duration::from_secs(2);
        if !self.addresses.is_empty() && !self.resolved_at.is_none_or(is_old) {
            return;
        }
        for step in 0..self.nodes.len().min(3) {
            let node = &self.nodes[(self.number as usize + step) % self.nodes.len()];
            let found = node.resolve(self.traffic.host, self.place.0, self.place.1);
            if !found.is_empty() {
                self.addresses = found;
                self.resolved_at = Some(Instant::now());
                return;
            }
        }
    }

    fn request(&mut self, sent: &AllSent) {
        self.resolve();
        self.sequence += 1;
        let id = format!("{:04x}{:08x}", self.number, self.sequence);
        let is_listed = |(address, _): &(SocketAddr, TcpStream)| self.addresses.contains(address);
        if !self.open.as_ref().is_some_and(is_listed) {
            self.open = None;
        }
        if self.open.is_none() && !self.addresses.is_empty() {
            let at = (self.number + self.sequence) as usize % self.addresses.len();
            let address = self.addresses[at];
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
            self.open = stream.ok().map(|stream| {
                let _ = stream.set_nodelay(true);
                (address, stream)
            });
        }
        let at = self.record.now();
        let Some((node, mut stream)) = self.open.take() else {
            self.record.line(&format!("client {} has no connection for {id}", self.number));
            let node = SocketAddr::new(IpAddr::from([127, 0, 0, 1]), 0);
            sent.lock().unwrap().push(Sent { at, ended: at, id, node, status: None });
            return;
        };
        let request = format!(
            "GET {} HTTP/1.1\r\nHost: {}\r\nHeatherseam-Request-Id: {id}\r\nHeatherseam-Deadline-Ms: {}\r\n\r\n",
            self.traffic.path,
            self.traffic.host,
            self.traffic.deadline.as_millis()
        );
        self.record.line(&format!("client {} sends {id} to {node}", self.number));
        let _ = stream.set_read_timeout(Some(self.traffic.deadline));
        let reply = stream
            .write_all(request.as_bytes())
            .ok()
            .and_then(|()| read_message(&mut stream, &mut Vec::new()));
        let status = reply.as_ref().map(Message::status);
        let keeps = reply.as_ref().is_some_and(|reply| {
            !reply.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        let ended = self.record.now();
        self.record.line(&format!("client {} gets {status:?} for {id}", self.number));
        sent.lock().unwrap().push(Sent { at, ended, id, node, status });
        // Each third request uses a new connection, so that all named nodes are used.
        if keeps && self.sequence % 3 != 0 {
            self.open = Some((node, stream));
        }
    }
}

/// The folder for settings and logs, from `run.sh`.
pub fn work_folder() -> PathBuf {
    match std::env::var_os("WORK") {
        Some(path) => PathBuf::from(path),
        None => cannot_run("WORK does not name a folder"),
    }
}

/// The file that `record.txt` is written to, from `run.sh`.
pub fn record_file() -> PathBuf {
    match std::env::var_os("RECORD") {
        Some(path) => PathBuf::from(path),
        None => cannot_run("RECORD does not name a file"),
    }
}
