//! The regions in which a request may be served. No I/O.

use base::region;

/// The regions that a route and a customer both allow; `None` if each allows some, but none in
/// common. A set that is empty by itself names only regions that this node does not know; another
/// node may know them.
pub fn common(route: region::Set, customer: region::Set) -> Option<region::Set> {
    let common = route.intersect(customer);
    let are_disjoint = common.is_empty() && !route.is_empty() && !customer.is_empty();
    (!are_disjoint).then_some(common)
}
