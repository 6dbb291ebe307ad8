//! The buffer of a body: its memory is known before, and a small multiple of the body.

use entry::buffer::Buffer;

const MAX: usize = 256 << 10;

/// Guards against memory that grows with the number of parts instead of their bytes.
#[test]
fn memory_is_at_most_twice_the_body_for_parts_of_any_size() {
    for size in [1, 3, 16, 500, 4096, 65_536, MAX] {
        let mut buffer = Buffer::with_max(MAX);
        let part = vec![7; size];
        let mut memory = 0;
        for count in 1..=MAX / size {
            memory += buffer.growth(size).expect("room");
            buffer.push(&part);
            assert!(memory <= (count * size * 2).max(1024), "{memory} B for {count} x {size} B");
        }
        let length = MAX / size * size;
        assert_eq!(buffer.into_bytes().len(), length);
    }
}

#[test]
fn body_above_the_maximum_gets_no_memory() {
    let mut buffer = Buffer::with_max(MAX);
    assert_eq!(buffer.growth(MAX + 1), None);
    buffer.push(&[0; MAX]);
    assert_eq!(buffer.growth(0), Some(0));
    assert_eq!(buffer.growth(1), None);
}
