//! The greatest records of several replies.

/// The length of a record, in bytes.
pub const RECORD: usize = 16;

/// The greatest `top` records of `bodies`, greatest first, compared byte by byte;
/// equal ones all count. A rest shorter than a record is none.
pub fn greatest<'a>(bodies: impl Iterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<[u8; RECORD]> = Vec::new();
    for body in bodies {
        records.extend(body.as_chunks::<RECORD>().0);
    }
    if top < records.len() && top > 0 {
        records.select_nth_unstable_by(top - 1, |one, other| other.cmp(one));
    }
    records.truncate(top);
    records.sort_unstable_by(|one, other| other.cmp(one));
    records.concat()
}
