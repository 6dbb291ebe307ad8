//! A server of the users' platform: slots, a short queue, refusals when it is full, and the wrong
//! bytes that the pages allow a faulty one.

use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::kit;
use crate::kit::Message;
use crate::kit::Record;

#[derive(Default)]
pub struct Load {
    pub running: usize,
    pub queued: usize,
    /// How often each request id ran.
    pub runs: HashMap<String, usize>,
    /// When it answered, and when it sent second copies, in seconds of the record.
    pub answered_at: Vec<f64>,
    pub copied_at: Vec<f64>,
}

impl Load {
    /// Whether one more copy since `from` stays within `share` of the answers since then.
    pub fn may_spoil(&self, from: f64, share: f64) -> bool {
        let since = |times: &[f64]| times.iter().filter(|at| **at >= from).count() as f64;
        since(&self.copied_at) + 1.0 <= since(&self.answered_at) * share
    }
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub queue: usize,
    pub record: Record,
    pub load: Mutex<Load>,
    pub freed: Condvar,
    /// Whether it also sends second copies of some answers, late.
    pub sends_copies: Box<dyn Fn(&Load, f64) -> bool + Send + Sync>,
}

impl Server {
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        (slots, queue): (usize, usize),
        record: &Record,
        sends_copies: Box<dyn Fn(&Load, f64) -> bool + Send + Sync>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            slots,
            queue,
            record: record.clone(),
            load: Mutex::default(),
            freed: Condvar::new(),
            sends_copies,
        });
        let handler = Arc::clone(&server);
        kit::serve(listener, move |stream| {
            let _ = handler.connection(stream);
        });
        Ok(server)
    }

    pub fn entry(&self, zone: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":1}}",
            self.service, self.address, self.slots
        )
    }

    fn connection(&self, stream: TcpStream) -> io::Result<()> {
        let peer = stream.peer_addr()?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        // The refusals on this connection, by request.
        let mut refusals: HashMap<String, Vec<u8>> = HashMap::new();
        while let Some(request) = kit::read_message(&mut reader)? {
            let id = request.header("heatherseam-request-id").to_owned();
            if let Some(answer) = kit::answer_unrun(&request, &self.id) {
                writer.write_all(&answer)?;
                continue;
            }
            if !self.admit() {
                let refusal = self.refusal(&id);
                writer.write_all(&refusal)?;
                self.load.lock().unwrap().answered_at.push(self.record.seconds());
                self.record.line(&format!("{} {peer} refuses {id}", self.id));
                if request.method() == "POST" {
                    refusals.insert(id, refusal);
                }
                continue;
            }
            // It runs from here on.
            let copies = {
                let mut load = self.load.lock().unwrap();
                *load.runs.entry(id.clone()).or_default() += 1;
                (self.sends_copies)(&load, self.record.seconds())
            };
            self.record.line(&format!("{} {peer} runs {id}", self.id));
            if let Some(refusal) = refusals.remove(&id).filter(|_| copies) {
                self.load.lock().unwrap().copied_at.push(self.record.seconds());
                self.record.line(&format!(
                    "{} {peer} sends a second copy of its refusal of {id}, late",
                    self.id
                ));
                writer.write_all(&refusal)?;
            }
            thread::sleep(Duration::from_millis(work_ms(&request)));
            let stamp = format!("{}.{id}", self.id);
            let load = self.finish();
            let headers = [
                ("Heatherseam-Request-Id", &*id),
                ("Heatherseam-Server-Stamp", &*stamp),
                ("Heatherseam-Instance-Id", &*self.id),
                ("Heatherseam-Server-Load", &*load),
            ];
            self.load.lock().unwrap().answered_at.push(self.record.seconds());
            writer.write_all(&kit::answer("200 OK", &headers, stamp.as_bytes()))?;
        }
        Ok(())
    }

    /// Waits for a slot; returns `false` if the queue is full.
    fn admit(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.slots && load.queued >= self.queue {
            return false;
        }
        load.queued += 1;
        while load.running >= self.slots {
            load = self.freed.wait(load).unwrap();
        }
        load.queued -= 1;
        load.running += 1;
        true
    }

    fn finish(&self) -> String {
        let mut load = self.load.lock().unwrap();
        load.running -= 1;
        self.freed.notify_one();
        format!("{},{},{}", load.running, load.queued, self.slots)
    }

    fn refusal(&self, id: &str) -> Vec<u8> {
        let load = {
            let load = self.load.lock().unwrap();
            format!("{},{},{}", load.running, load.queued, self.slots)
        };
        let headers = [
            ("Heatherseam-Not-Executed", "1"),
            ("Heatherseam-Request-Id", id),
            ("Heatherseam-Instance-Id", &*self.id),
            ("Heatherseam-Server-Load", &*load),
        ];
        kit::answer("503 Service Unavailable", &headers, b"")
    }
}

/// The work of a request, which its body names.
fn work_ms(request: &Message) -> u64 {
    let body = String::from_utf8_lossy(&request.body);
    body.split_once("work=").and_then(|(_, text)| text.parse().ok()).unwrap_or(5)
}
