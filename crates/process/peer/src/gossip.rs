//! What every node must learn: configuration objects and leaving upstreams.
//!
//! What is new is pushed at once to a few random peers, which push it on when
//! they see it for the first time; once a second each node compares digests with
//! one random peer and both take what they lack.
//!
//! Invariants: an object is taken only if its revision is higher than the known
//! one, tombstones included; a leaving mark never goes while it could still be
//! told by another node; every message is bounded.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::hash;
use base::time::Time;
use conf::object::Key;
use conf::object::Object;
use wire::id::Incarnation;

/// The parts that digests divide the objects into.
pub const BUCKETS: usize = 64;
/// The most bytes of objects in one message, unless a single one is larger.
pub const MESSAGE_LIMIT: usize = 256 << 10;
/// The most marks in one message.
pub const MARKS_LIMIT: usize = 1024;
/// The most object versions in one message.
pub const VERSIONS_LIMIT: usize = 8192;
/// How long a mark is kept; no younger copy of it can exist after that.
pub const MARK_KEEP: Duration = Duration::from_secs(24 * 3600);

/// An upstream server incarnation that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// The server's name.
    pub server: Arc<str>,
    /// Its life; a new one isn't leaving.
    pub incarnation: Incarnation,
    /// How long ago any node first saw it leaving, in milliseconds.
    pub age_ms: u64,
}

/// A digest of everything, to find out whether two nodes differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Of all objects' revisions.
    pub objects: u64,
    /// Of all leaving marks.
    pub marks: u64,
    /// The highest object revision.
    pub revision: u64,
}

/// The revision of one object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The hash of the object's key.
    pub key: u64,
    /// Its revision.
    pub revision: u64,
}

/// What two nodes lack of each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Objects that are newer here.
    pub newer_here: Vec<Key>,
    /// Hashes of the keys of objects that are newer there.
    pub newer_there: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Known {
    key: Key,
    revision: u64,
}

/// What one node has learned. It holds revisions; the objects are the host's.
#[derive(Clone, Debug)]
pub struct State {
    known: BTreeMap<u64, Known>,
    buckets: Vec<u64>,
    highest: u64,
    marks: BTreeMap<(Arc<str>, Incarnation), Time>,
    marks_digest: u64,
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// Nothing learned yet.
    pub fn new() -> Self {
        Self {
            known: BTreeMap::new(),
            buckets: vec![0; BUCKETS],
            highest: 0,
            marks: BTreeMap::new(),
            marks_digest: 0,
        }
    }

    /// Takes objects from anywhere and returns those that are newer than known.
    pub fn admit(&mut self, objects: Vec<Object>) -> Vec<Object> {
        objects.into_iter().filter(|object| self.admit_one(object)).collect()
    }

    fn admit_one(&mut self, object: &Object) -> bool {
        let key = hash_of(&object.key);
        let old = self.known.get(&key).map_or(0, |known| known.revision);
        if object.revision <= old {
            return false;
        }
        let bucket = bucket_of(key);
        self.buckets[bucket] ^= mix(key, old) ^ mix(key, object.revision);
        self.highest = self.highest.max(object.revision);
        self.known.insert(key, Known { key: object.key.clone(), revision: object.revision });
        true
    }

    /// Takes marks from anywhere and returns those that are new here.
    pub fn admit_marks(&mut self, marks: Vec<Withdrawal>, now: Time) -> Vec<Withdrawal> {
        marks.into_iter().filter(|mark| self.admit_mark(mark, now)).collect()
    }

    fn admit_mark(&mut self, mark: &Withdrawal, now: Time) -> bool {
        let age = Duration::from_millis(mark.age_ms);
        if age >= MARK_KEEP {
            return false;
        }
        // Ages grow while they travel, so the first sighting only moves back.
        let seen = Time(now.0.saturating_sub(micros(age)));
        let place = (mark.server.clone(), mark.incarnation);
        if let Some(known) = self.marks.get_mut(&place) {
            *known = (*known).min(seen);
            return false;
        }
        self.marks_digest ^= mark_hash(&place);
        self.marks.insert(place, seen);
        true
    }

    /// Whether a server incarnation is known to be leaving.
    pub fn is_leaving(&self, server: &str, incarnation: Incarnation) -> bool {
        self.marks.contains_key(&(Arc::from(server), incarnation))
    }

    /// The youngest marks, as many as one message takes.
    pub fn marks(&self, now: Time) -> Vec<Withdrawal> {
        let mut marks: Vec<Withdrawal> =
            self.marks.iter().map(|(place, seen)| mark_of(place, *seen, now)).collect();
        marks.sort_by_key(|mark| mark.age_ms);
        marks.truncate(MARKS_LIMIT);
        marks
    }

    /// Forgets marks that are older than [`MARK_KEEP`].
    pub fn prune(&mut self, now: Time) {
        let old = |seen: &Time| now.since(*seen) >= MARK_KEEP;
        let gone: Vec<(Arc<str>, Incarnation)> = self
            .marks
            .iter()
            .filter(|(_, seen)| old(seen))
            .map(|(place, _)| place.clone())
            .collect();
        for place in gone {
            self.marks_digest ^= mark_hash(&place);
            self.marks.remove(&place);
        }
    }

    /// The digest of everything.
    pub fn root(&self) -> Root {
        let objects = self.buckets.iter().enumerate();
        let objects = objects.fold(0, |all, (place, bucket)| all ^ mix(place as u64, *bucket));
        Root { objects, marks: self.marks_digest, revision: self.highest }
    }

    /// The digests of the parts.
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// The parts that differ from a peer's.
    pub fn differing(&self, theirs: &[u64]) -> Vec<u8> {
        let pairs = self.buckets.iter().zip(theirs).enumerate();
        pairs.filter(|(_, (ours, theirs))| ours != theirs).map(|(place, _)| place as u8).collect()
    }

    /// The versions of the objects in `buckets`, and the buckets that fitted.
    pub fn versions(&self, buckets: &[u8]) -> (Vec<Version>, Vec<u8>) {
        let mut versions = Vec::new();
        let mut fitted = Vec::new();
        for bucket in buckets {
            let part: Vec<Version> = self.in_bucket(*bucket).collect();
            if !fitted.is_empty() && versions.len() + part.len() > VERSIONS_LIMIT {
                break;
            }
            versions.extend(part);
            fitted.push(*bucket);
        }
        (versions, fitted)
    }

    fn in_bucket(&self, bucket: u8) -> impl Iterator<Item = Version> {
        let here =
            self.known.iter().filter(move |(key, _)| bucket_of(**key) == usize::from(bucket));
        here.map(|(key, known)| Version { key: *key, revision: known.revision })
    }

    /// Compares a peer's versions of the objects in `buckets` with ours.
    pub fn compare(&self, theirs: &[Version], buckets: &[u8]) -> Difference {
        let theirs: BTreeMap<u64, u64> = theirs.iter().map(|v| (v.key, v.revision)).collect();
        let mut difference = Difference::default();
        for (key, revision) in &theirs {
            if self.known.get(key).map_or(0, |known| known.revision) < *revision {
                difference.newer_there.push(*key);
            }
        }
        for bucket in buckets {
            for ours in self.in_bucket(*bucket) {
                let newer = theirs.get(&ours.key).copied().unwrap_or(0) < ours.revision;
                let known = self.known.get(&ours.key).filter(|_| newer);
                difference.newer_here.extend(known.map(|known| known.key.clone()));
            }
        }
        difference
    }

    /// The keys of these hashes, as far as known.
    pub fn keys(&self, hashes: &[u64]) -> Vec<Key> {
        hashes
            .iter()
            .filter_map(|hash| self.known.get(hash))
            .map(|known| known.key.clone())
            .collect()
    }

    /// How many objects and tombstones are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no object is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// How many leaving marks are held.
    pub fn marks_len(&self) -> usize {
        self.marks.len()
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} objects up to {}, ", self.known.len(), self.highest)?;
        write!(f, "{} leaving marks", self.marks.len())
    }
}

/// Divides objects so that each message stays within [`MESSAGE_LIMIT`].
pub fn chunks(objects: Vec<Object>) -> Vec<Vec<Object>> {
    let mut chunks: Vec<Vec<Object>> = Vec::new();
    let mut room = 0;
    for object in objects {
        let size = rmp_serde::to_vec(&object).map_or(MESSAGE_LIMIT, |bytes| bytes.len());
        match chunks.last_mut() {
            Some(chunk) if size <= room => {
                room -= size;
                chunk.push(object);
            }
            _ => {
                room = MESSAGE_LIMIT.saturating_sub(size);
                chunks.push(vec![object]);
            }
        }
    }
    chunks
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn mark_of(place: &(Arc<str>, Incarnation), seen: Time, now: Time) -> Withdrawal {
    let age_ms = u64::try_from(now.since(seen).as_millis()).unwrap_or(u64::MAX);
    Withdrawal { server: place.0.clone(), incarnation: place.1, age_ms }
}

fn mark_hash(place: &(Arc<str>, Incarnation)) -> u64 {
    hash::stable(1, &[&place.0, &place.1.to_string()])
}

fn hash_of(key: &Key) -> u64 {
    hash::stable(0, &[key.kind.as_str(), &key.name])
}

fn bucket_of(key: u64) -> usize {
    (key % BUCKETS as u64) as usize
}

/// A hash of two numbers; zero for a version that isn't there, so that it can be
/// taken out of a digest by the same operation that puts one in.
fn mix(key: u64, revision: u64) -> u64 {
    if revision == 0 {
        return 0;
    }
    const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut mixed = key ^ revision.wrapping_mul(ODD);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
