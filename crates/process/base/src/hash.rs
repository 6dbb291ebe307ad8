//! A hash with the same value on every node, in every build and after a restart.

use twox_hash::XxHash64;

/// The 64-bit xxHash of `parts`, each followed by its length so that
/// `["ab", "c"]` and `["a", "bc"]` differ.
pub fn stable(seed: u64, parts: &[&str]) -> u64 {
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend_from_slice(part.as_bytes());
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
    }
    XxHash64::oneshot(seed, &bytes)
}
