//! What makes two requests the same.

use poison::identity::Identity;
use poison::identity::Parts;

const PARTS: Parts<'_> = Parts {
    method: "POST",
    host: b"desk.example",
    path: "/view/x?y=1",
    caller: &[b"key-1"],
    body: b"some bytes",
};

#[test]
fn repeat_of_a_request_has_its_identity() {
    let body = PARTS.body.to_vec();
    assert_eq!(Identity::new(&PARTS), Identity::new(&Parts { body: &body, ..PARTS }));
}

/// Guards against requests that are refused for another one: with the same path and another body,
/// or with the same body from another caller.
#[test]
fn requests_that_differ_in_one_part_are_not_the_same() {
    let others = [
        Parts { method: "PUT", ..PARTS },
        Parts { host: b"other.example", ..PARTS },
        Parts { path: "/view/x?y=2", ..PARTS },
        Parts { caller: &[b"key-2"], ..PARTS },
        Parts { caller: &[], ..PARTS },
        Parts { caller: &[b"key", b"-1"], ..PARTS },
        Parts { body: b"some byte", ..PARTS },
        Parts { body: b"", ..PARTS },
        // The same bytes in other parts.
        Parts { host: b"desk.exampl", path: "e/view/x?y=1", ..PARTS },
    ];
    for other in others {
        assert_ne!(Identity::new(&PARTS), Identity::new(&other), "{other:?}");
    }
}

#[test]
fn large_bodies_that_differ_at_the_end_are_not_the_same() {
    let first = vec![7; 1 << 20];
    let mut second = first.clone();
    second[(1 << 20) - 1] = 8;
    let identity = |body| Identity::new(&Parts { body, ..PARTS });
    assert_ne!(identity(&first), identity(&second));
}
