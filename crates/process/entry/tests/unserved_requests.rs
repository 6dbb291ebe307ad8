//! The record of the requests that a connection must not carry again.

use hyper::http::HeaderValue;

use entry::unserved::MAX_REQUESTS;
use entry::unserved::Requests;

fn id(number: usize) -> HeaderValue {
    HeaderValue::from_str(&format!("request-{number}")).expect("a header value")
}

/// Guards against a record that forgets: each request is known until the connection is replaced.
#[test]
fn request_is_known_after_any_number_of_others() {
    let mut requests = Requests::new();
    for number in 0..MAX_REQUESTS {
        assert!(!requests.is_full(), "after {number} requests");
        requests.add(&id(number));
        assert!((0..=number).all(|earlier| requests.contains(&id(earlier))));
        assert!(!requests.contains(&id(number + 1)));
    }
    assert!(requests.is_full());
}
