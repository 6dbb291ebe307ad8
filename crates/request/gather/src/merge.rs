//! Merges the replies of several services into one answer.

/// The length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// The `k` greatest records of `bodies`, greatest first, compared byte by byte;
/// duplicates are kept. Trailing bytes of a body that are shorter than a record are
/// ignored.
pub fn top_k<'a>(bodies: impl Iterator<Item = &'a [u8]>, k: usize) -> Vec<u8> {
    let mut records: Vec<[u8; RECORD_BYTES]> = Vec::new();
    for body in bodies {
        records.extend(body.as_chunks::<RECORD_BYTES>().0);
    }
    if k < records.len() && k > 0 {
        records.select_nth_unstable_by(k - 1, |one, other| other.cmp(one));
    }
    records.truncate(k);
    records.sort_unstable_by(|one, other| other.cmp(one));
    records.concat()
}
