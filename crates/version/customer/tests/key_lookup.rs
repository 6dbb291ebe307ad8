//! Which customer a key identifies.

use std::sync::Arc;

use base::region;
use customer::book::Book;
use customer::config::Customer;
use customer::config::Customers;
use customer::key::Hash;
use customer::key::Salt;
use customer::key::Secret;

fn book(salt: &Salt, entries: &[(&str, &[&str])]) -> Book {
    let customer = |(name, keys): &(&str, &[&str])| Customer {
        name: Arc::from(*name),
        keys: keys.iter().map(|key| Hash::new(salt, key.as_bytes())).collect(),
        priority: None,
        rate_per_second: 0.0,
        burst: 0.0,
        homes: Vec::new(),
    };
    let customers = entries.iter().map(customer).collect();
    Book::new(&Customers { salt: salt.clone(), customers }, &region::Index::default())
}

fn name(book: &Book, key: &str) -> Option<String> {
    book.find(key.as_bytes()).map(|customer| customer.name.to_string())
}

/// Guards against a rotation in which one of the two keys is not valid, and against a key that
/// stays valid after the version without it.
#[test]
fn both_keys_are_valid_until_one_is_removed() {
    let salt = Salt::random();
    let during = book(&salt, &[("mill", &["old", "new"]), ("pond", &["other"])]);
    assert_eq!(name(&during, "old").as_deref(), Some("mill"));
    assert_eq!(name(&during, "new").as_deref(), Some("mill"));
    assert_eq!(name(&during, "other").as_deref(), Some("pond"));
    let after = book(&salt, &[("mill", &["new"]), ("pond", &["other"])]);
    assert_eq!(name(&after, "old"), None);
    assert_eq!(name(&after, "ne"), None);
}

/// Guards against an empty header that identifies a customer whose list has an empty key.
#[test]
fn empty_key_identifies_nobody() {
    assert_eq!(name(&book(&Salt::random(), &[("mill", &[""])]), ""), None);
}

/// Guards against a key whose customer depends on the order in which nodes read the keys.
#[test]
fn shared_key_identifies_the_first_customer() {
    let book = book(&Salt::random(), &[("mill", &["same"]), ("pond", &["same", "own"])]);
    assert_eq!(name(&book, "same").as_deref(), Some("mill"));
    assert_eq!(name(&book, "own").as_deref(), Some("pond"));
    let conflicts: Vec<_> = book.conflicts().iter().map(|c| (&*c.holder, &*c.other)).collect();
    assert_eq!(conflicts, [("mill", "pond")]);
}

/// Guards against customers that share a quota because their names have the same 32-bit hash.
#[test]
fn customers_have_distinct_numbers() {
    let names: Vec<String> = (0..200_000).map(|number| format!("customer-{number}")).collect();
    let entries: Vec<(&str, &[&str])> =
        names.iter().map(|name| (name.as_str(), &[] as &[&str])).collect();
    let book = book(&Salt::random(), &entries);
    let mut numbers: Vec<u32> = book.customers().iter().map(|customer| customer.key).collect();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), names.len());
}

/// Guards against keys or hashes in dumps.
#[test]
fn debug_output_shows_no_keys() {
    let salt = Salt::random();
    let hash = Hash::new(&salt, b"tell-nobody");
    let book = book(&salt, &[("mill", &["tell-nobody"])]);
    let text = format!("{salt:?} {hash:?} {book:?} {:?}", Secret::new(b"tell-nobody"));
    assert!(text.contains("mill"), "{text}");
    assert!(!text.contains("tell-nobody"), "{text}");
    assert!(!text.contains(&hash.prefix().to_string()), "{text}");
}
