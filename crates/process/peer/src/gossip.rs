//! Dissemination of configuration objects and of withdrawals of upstream servers.
//!
//! A change is pushed at once to a few random peers, which push it on when they
//! receive it for the first time. Once a second each node compares digests with one
//! random peer, and each of the two takes what it lacks.
//!
//! Invariants: an object is accepted only if its revision is higher than the known
//! one, tombstones included; a withdrawal is kept for as long as another node could
//! still send it; every message is bounded.

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

/// The number of buckets into which digests divide the objects.
pub const BUCKETS: usize = 64;
/// The maximum size of the objects in one message. A single larger object is sent
/// alone.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// The maximum number of withdrawals in one message.
pub const MAX_WITHDRAWALS: usize = 1024;
/// The maximum number of object versions in one message.
pub const MAX_VERSIONS: usize = 8192;
/// How long a withdrawal is kept. Copies on other nodes are as old by then, so none
/// remains that could bring it back.
pub const WITHDRAWAL_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// An incarnation of an upstream server that is being taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// The server's name.
    pub server: Arc<str>,
    /// The incarnation that is leaving. A new incarnation of the server is not
    /// affected.
    pub incarnation: Incarnation,
    /// The time since any node first saw the incarnation leaving, in milliseconds.
    pub age_ms: u64,
}

/// A digest of a node's whole state, to detect whether two nodes differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Digest of all objects' revisions.
    pub objects: u64,
    /// Digest of all withdrawals.
    #[serde(rename = "marks")]
    pub withdrawals: u64,
    /// The highest object revision.
    pub revision: u64,
}

/// The revision of one object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The hash of the object's key.
    pub key: u64,
    /// The object's revision.
    pub revision: u64,
}

/// The objects in which two nodes differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Objects that are newer on this node.
    pub newer_here: Vec<Key>,
    /// Hashes of the keys of objects that are newer on the peer.
    pub newer_there: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Known {
    key: Key,
    revision: u64,
}

/// The object revisions and withdrawals known to one node. The objects themselves are
/// kept by the [`Handler`](crate::protocol::Handler).
#[derive(Clone, Debug)]
pub struct State {
    known: BTreeMap<u64, Known>,
    buckets: Vec<u64>,
    highest: u64,
    withdrawals: BTreeMap<(Arc<str>, Incarnation), Time>,
    withdrawals_digest: u64,
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// Creates an empty state.
    pub fn new() -> Self {
        Self {
            known: BTreeMap::new(),
            buckets: vec![0; BUCKETS],
            highest: 0,
            withdrawals: BTreeMap::new(),
            withdrawals_digest: 0,
        }
    }

    /// Merges objects and returns those that are newer than the known ones.
    pub fn merge_objects(&mut self, objects: Vec<Object>) -> Vec<Object> {
        objects.into_iter().filter(|object| self.merge_object(object)).collect()
    }

    fn merge_object(&mut self, object: &Object) -> bool {
        let key = key_hash(&object.key);
        let old = self.known.get(&key).map_or(0, |known| known.revision);
        if object.revision <= old {
            return false;
        }
        let bucket = bucket_of(key);
        self.buckets[bucket] ^= version_hash(key, old) ^ version_hash(key, object.revision);
        self.highest = self.highest.max(object.revision);
        self.known.insert(key, Known { key: object.key.clone(), revision: object.revision });
        true
    }

    /// Merges withdrawals and returns those that were not known yet.
    pub fn merge_withdrawals(
        &mut self,
        withdrawals: Vec<Withdrawal>,
        now: Time,
    ) -> Vec<Withdrawal> {
        withdrawals
            .into_iter()
            .filter(|withdrawal| self.merge_withdrawal(withdrawal, now))
            .collect()
    }

    fn merge_withdrawal(&mut self, withdrawal: &Withdrawal, now: Time) -> bool {
        let age = Duration::from_millis(withdrawal.age_ms);
        if age >= WITHDRAWAL_RETENTION {
            return false;
        }
        // The age excludes the time in transit, so the computed first sighting is never
        // too early, and the earliest one is kept.
        let first_seen = now.before(age);
        let key = (withdrawal.server.clone(), withdrawal.incarnation);
        if let Some(known) = self.withdrawals.get_mut(&key) {
            *known = (*known).min(first_seen);
            return false;
        }
        self.withdrawals_digest ^= withdrawal_hash(&key);
        self.withdrawals.insert(key, first_seen);
        true
    }

    /// Whether a server incarnation is known to be leaving.
    pub fn is_leaving(&self, server: &str, incarnation: Incarnation) -> bool {
        self.withdrawals.contains_key(&(Arc::from(server), incarnation))
    }

    /// Returns the youngest withdrawals, up to [`MAX_WITHDRAWALS`].
    pub fn withdrawals(&self, now: Time) -> Vec<Withdrawal> {
        let mut withdrawals: Vec<Withdrawal> = self
            .withdrawals
            .iter()
            .map(|(key, first_seen)| withdrawal_of(key, *first_seen, now))
            .collect();
        withdrawals.sort_by_key(|withdrawal| withdrawal.age_ms);
        withdrawals.truncate(MAX_WITHDRAWALS);
        withdrawals
    }

    /// Removes withdrawals that are older than [`WITHDRAWAL_RETENTION`].
    pub fn prune(&mut self, now: Time) {
        let is_expired = |first_seen: &Time| now.since(*first_seen) >= WITHDRAWAL_RETENTION;
        let expired: Vec<(Arc<str>, Incarnation)> = self
            .withdrawals
            .iter()
            .filter(|(_, first_seen)| is_expired(first_seen))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.withdrawals_digest ^= withdrawal_hash(&key);
            self.withdrawals.remove(&key);
        }
    }

    /// Returns the digest of the whole state.
    pub fn root(&self) -> Root {
        let objects = self.buckets.iter().enumerate();
        let objects =
            objects.fold(0, |all, (index, bucket)| all ^ version_hash(index as u64, *bucket));
        Root { objects, withdrawals: self.withdrawals_digest, revision: self.highest }
    }

    /// Returns the digests of the buckets.
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Returns the buckets whose digests differ from a peer's.
    pub fn differing_buckets(&self, theirs: &[u64]) -> Vec<u8> {
        let pairs = self.buckets.iter().zip(theirs).enumerate();
        pairs.filter(|(_, (ours, theirs))| ours != theirs).map(|(index, _)| index as u8).collect()
    }

    /// Returns the versions of the objects in `buckets`, and the buckets that fit
    /// into one message.
    pub fn versions(&self, buckets: &[u8]) -> (Vec<Version>, Vec<u8>) {
        let mut versions = Vec::new();
        let mut fitted = Vec::new();
        for bucket in buckets {
            let bucket_versions: Vec<Version> = self.in_bucket(*bucket).collect();
            if !fitted.is_empty() && versions.len() + bucket_versions.len() > MAX_VERSIONS {
                break;
            }
            versions.extend(bucket_versions);
            fitted.push(*bucket);
        }
        (versions, fitted)
    }

    fn in_bucket(&self, bucket: u8) -> impl Iterator<Item = Version> {
        let entries =
            self.known.iter().filter(move |(key, _)| bucket_of(**key) == usize::from(bucket));
        entries.map(|(key, known)| Version { key: *key, revision: known.revision })
    }

    /// Compares a peer's versions of the objects in `buckets` with the known ones.
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

    /// Returns the keys that have these hashes, as far as they are known.
    pub fn keys(&self, hashes: &[u64]) -> Vec<Key> {
        hashes
            .iter()
            .filter_map(|hash| self.known.get(hash))
            .map(|known| known.key.clone())
            .collect()
    }

    /// Returns the number of known objects and tombstones.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no object is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the number of known withdrawals.
    pub fn withdrawal_count(&self) -> usize {
        self.withdrawals.len()
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} objects up to {}, ", self.known.len(), self.highest)?;
        write!(f, "{} withdrawals", self.withdrawals.len())
    }
}

/// Divides objects into messages of at most [`MAX_MESSAGE_BYTES`].
pub fn chunks(objects: Vec<Object>) -> Vec<Vec<Object>> {
    let mut chunks: Vec<Vec<Object>> = Vec::new();
    let mut remaining = 0;
    for object in objects {
        let size = rmp_serde::to_vec(&object).map_or(MAX_MESSAGE_BYTES, |bytes| bytes.len());
        match chunks.last_mut() {
            Some(chunk) if size <= remaining => {
                remaining -= size;
                chunk.push(object);
            }
            _ => {
                remaining = MAX_MESSAGE_BYTES.saturating_sub(size);
                chunks.push(vec![object]);
            }
        }
    }
    chunks
}

fn withdrawal_of(key: &(Arc<str>, Incarnation), first_seen: Time, now: Time) -> Withdrawal {
    let age_ms = u64::try_from(now.since(first_seen).as_millis()).unwrap_or(u64::MAX);
    Withdrawal { server: key.0.clone(), incarnation: key.1, age_ms }
}

fn withdrawal_hash(key: &(Arc<str>, Incarnation)) -> u64 {
    hash::stable(1, &[&key.0, &key.1.to_string()])
}

fn key_hash(key: &Key) -> u64 {
    hash::stable(0, &[key.kind.as_str(), &key.name])
}

fn bucket_of(key: u64) -> usize {
    (key % BUCKETS as u64) as usize
}

/// Hashes one object version. The hash of an absent version is zero, so that the
/// same XOR adds a version to a digest and removes it.
fn version_hash(key: u64, revision: u64) -> u64 {
    if revision == 0 {
        return 0;
    }
    // The increment and the finalizer of SplitMix64.
    const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut mixed = key ^ revision.wrapping_mul(INCREMENT);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
