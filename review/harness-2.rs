//! Stand-ins for the cases of the second review: the platform's store, servers and clients at the
//! protocol of the users' pages, and the nodes as processes. Standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The lines of `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(fs::File::create(path)?)) })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:9.4} {text}");
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A message: its first line, its headers with lower-case names, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message with a length or in chunks; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut message = Message { first: first.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    if message.header("transfer-encoding") == "chunked" {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// The bytes of an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [text.as_bytes(), body].concat()
}

/// What a sound server answers to a request that it doesn't run whatever its load is: a health
/// check, one for another instance, or one without an id.
pub fn answer_unrun(request: &Message, own: &str) -> Option<Vec<u8>> {
    let id = request.header("heatherseam-request-id");
    let expected = request.header("heatherseam-expect-instance");
    let own = ("Heatherseam-Instance-Id", own);
    if request.method() == "GET" && request.path() == "/healthz" {
        return Some(answer("200 OK", &[own], b""));
    }
    if id.is_empty() {
        let headers = [("Heatherseam-Not-Executed", "1"), own];
        return Some(answer("400 Bad Request", &headers, b""));
    }
    if !expected.is_empty() && expected != own.1 {
        return Some(answer(
            "421 Misdirected Request",
            &[("Heatherseam-Request-Id", id), own],
            b"",
        ));
    }
    None
}

/// Accepts connections for ever; each gets a thread.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

#[derive(Default)]
struct Objects {
    revision: u64,
    current: BTreeMap<(String, String), String>,
    history: Vec<(u64, String, String)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let objects = Objects { revision: 1, ..Objects::default() };
        let shared = Arc::new((Mutex::new(objects), Condvar::new()));
        let store = Self { address, shared };
        let handler = store.clone();
        serve(listener, move |stream| {
            let _ = handler.connection(stream);
        });
        Ok(store)
    }

    /// Creates or replaces an object; `spec` is JSON.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (objects, changed) = &*self.shared;
        let mut objects = objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let object = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        );
        let event = format!("{{\"object\":{object},\"deleted\":false}}");
        objects.current.insert((kind.to_owned(), name.to_owned()), object);
        objects.history.push((revision, kind.to_owned(), event));
        changed.notify_all();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let (objects, changed) = &*self.shared;
        let mut objects = objects.lock().unwrap();
        let Some(object) = objects.current.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        objects.revision += 1;
        let event = format!("{{\"object\":{object},\"deleted\":true}}");
        let revision = objects.revision;
        objects.history.push((revision, kind.to_owned(), event));
        changed.notify_all();
    }

    fn connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader)? {
            let (status, body) = self.call(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            writer.write_all(&answer(status, &headers, body.as_bytes()))?;
        }
        Ok(())
    }

    fn call(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(name, _)| *name == key).map(|(_, value)| value).next().unwrap_or("")
        };
        if request.method() == "GET" {
            let since: u64 = parameter("watch").parse().unwrap_or(0);
            let wait: u64 = parameter("wait_ms").parse().unwrap_or(0);
            return ("200 OK", self.read(kind, since, Duration::from_millis(wait)));
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let name = match name {
            "" => text_after(&body, "\"name\":\""),
            name => name.to_owned(),
        };
        let key = (kind.to_owned(), name.clone());
        let known = self.shared.0.lock().unwrap().current.get(&key).cloned();
        match (request.method(), known) {
            ("POST", Some(known)) => ("409 Conflict", known),
            ("PUT", None) => ("404 Not Found", "{}".to_owned()),
            _ => {
                self.put(kind, &name, &object_after(&body, "\"spec\":"));
                ("200 OK", self.shared.0.lock().unwrap().current[&key].clone())
            }
        }
    }

    fn read(&self, kind: &str, since: u64, wait: Duration) -> String {
        let (objects, changed) = &*self.shared;
        let mut objects = objects.lock().unwrap();
        if since == 0 {
            let of_kind =
                objects.current.iter().filter(|((object_kind, _), _)| object_kind == kind);
            let items: Vec<&str> = of_kind.map(|(_, object)| object.as_str()).collect();
            let (items, as_of) = (items.join(","), objects.revision);
            return format!("{{\"items\":[{items}],\"more\":false,\"as_of\":{as_of}}}");
        }
        let end = Instant::now() + wait;
        loop {
            let later = objects.history.iter();
            let later = later.filter(|(revision, other, _)| *revision > since && other == kind);
            let events: Vec<&str> = later.map(|(_, _, event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), objects.revision);
                return format!("{{\"events\":[{events}],\"as_of\":{as_of}}}");
            }
            objects = changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}

/// The text between `key` and the next quotation mark.
fn text_after(body: &str, key: &str) -> String {
    let start = body.find(key).map_or(body.len(), |at| at + key.len());
    body[start..].split('"').next().unwrap_or("").to_owned()
}

/// The JSON object that follows `key`.
fn object_after(body: &str, key: &str) -> String {
    let Some(start) = body.find(key).map(|at| at + key.len()) else { return "null".to_owned() };
    let mut depth = 0;
    for (at, letter) in body[start..].char_indices() {
        match letter {
            '{' => depth += 1,
            '}' => {
                depth -= 1;
                if depth == 0 {
                    return body[start..=start + at].to_owned();
                }
            }
            _ => {}
        }
    }
    "null".to_owned()
}

/// The loopback addresses of one run: a block that no other run uses at the same time.
pub struct Addresses {
    block: u8,
    next: u8,
}

impl Addresses {
    pub fn new() -> Self {
        let block = (std::process::id() % 200) as u8 + 20;
        Self { block, next: 1 }
    }

    pub fn take(&mut self) -> Ipv4Addr {
        self.next += 1;
        Ipv4Addr::new(127, 77, self.block, self.next)
    }
}

/// A node: the process of the deploy file.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What all nodes of a deployment have in common.
pub struct Deployment {
    pub folder: PathBuf,
    pub binary: PathBuf,
    pub store: SocketAddr,
    /// The data centres of the nodes, in order.
    pub zones: Vec<&'static str>,
}

impl Deployment {
    pub fn new(store: SocketAddr, zones: Vec<&'static str>) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("heatherseam-case-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let binary = std::env::var_os("HEATHERSEAM_BINARY")
            .map_or_else(|| PathBuf::from("target/release/heatherseam"), PathBuf::from);
        Ok(Self { folder, binary, store, zones })
    }

    /// Writes the settings of all nodes, which differ only in their place.
    pub fn nodes(&self, addresses: &mut Addresses) -> io::Result<Vec<Node>> {
        let ips: Vec<Ipv4Addr> = self.zones.iter().map(|_| addresses.take()).collect();
        let seeds: Vec<String> = ips.iter().map(|ip| format!("  - \"{ip}:8224\"\n")).collect();
        let mut nodes = Vec::new();
        for (index, (zone, ip)) in self.zones.iter().zip(&ips).enumerate() {
            let name = format!("front-{zone}-{index}");
            let region = format!("region-{zone}");
            let zones: Vec<String> = self
                .zones
                .iter()
                .collect::<std::collections::BTreeSet<_>>()
                .into_iter()
                .map(|zone| format!("  {zone}: \"region-{zone}\"\n"))
                .collect();
            let text = format!(
                "node_name: \"{name}\"\nrole: \"entry\"\nmachine_class: \"front\"\n\
                 serves:\n  - \"front\"\n  - \"directory\"\n  - \"control\"\n\
                 ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"{region}\"\nzones:\n{zones}\
                 listen:\n  front: \"{ip}:8226\"\n  readiness_addr: \"{ip}:8227\"\n  \
                 control: \"{ip}:8224\"\n  directory: \"{ip}:8225\"\n\
                 port_range:\n  - 7740\n  - 7755\nseeds:\n{seeds}bootstrap: true\n\
                 loss_counts: false\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  \
                 max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n\
                 discovery: \"platform\"\nentry: \"directory\"\nheartbeat_ms: 1200\n\
                 bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  stability_window_ms: 4000\n  \
                 ack_ms: 5000\n  catch_up_s: 4\n  drain_ms: 3000\n  grace_s: 6\n  \
                 loss_slack_ms: 200\n  config_apply_ms: 3000\n  rollback_slack_ms: 250\n  \
                 max_skew_ms: 12000\n  retry_ratio: 0.2\n  retry_window_s: 10\n  \
                 retry_slack: 52\n  recover_s: 12\n  ttl_max_s: 5\n\
                 platform:\n  address: \"{}\"\n  form: \"objects\"\n  writes_per_s: 400\n  \
                 reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000\n",
                self.store,
                zones = zones.concat(),
                seeds = seeds.concat(),
            );
            let settings = self.folder.join(format!("{name}.yaml"));
            fs::write(&settings, text)?;
            let address = |port| SocketAddr::from((*ip, port));
            nodes.push(Node {
                log: self.folder.join(format!("{name}.log")),
                name,
                ip: *ip,
                front: address(8226),
                readiness: address(8227),
                directory: address(8225),
                settings,
                child: None,
            });
        }
        Ok(nodes)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Node {
    pub fn start(&mut self, deployment: &Deployment) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(&deployment.binary)
            .arg("serve")
            .env("HEATHERSEAM_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal, by the name that `kill` takes.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process runs; if it has ended, how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/api/readyz", Duration::from_millis(500))
            .is_ok_and(|answer| answer.status() == 200)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all nodes are ready.
pub fn wait_until_ready(nodes: &[Node], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// One call on a connection of its own.
pub fn get(address: SocketAddr, path: &str, limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let mut writer = stream.try_clone()?;
    writer.write_all(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
    read_message(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// A client's connection, kept for many requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }

    /// Sends a request and waits for its answer up to its deadline.
    pub fn send(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        id: &str,
        deadline: Duration,
        body: &[u8],
    ) -> io::Result<Message> {
        self.write(method, host, path, id, deadline, body)?;
        self.read(deadline)
    }

    pub fn write(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        id: &str,
        deadline: Duration,
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nHeatherseam-Request-Id: {id}\r\n\
             Heatherseam-Deadline-Ms: {}\r\n",
            deadline.as_millis()
        );
        if method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        self.writer.write_all(&[head.as_bytes(), body].concat())
    }

    pub fn read(&mut self, deadline: Duration) -> io::Result<Message> {
        self.reader.get_ref().set_read_timeout(Some(deadline))?;
        read_message(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof.into())
    }
}
