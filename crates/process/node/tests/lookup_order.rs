//! Whom a lookup names first.

use std::collections::BTreeMap;

use crate::fleet::CENTRES;
use crate::fleet::Fleet;

mod fleet;

/// Lookups that are counted.
const LOOKUPS: usize = 600;

#[tokio::test(flavor = "multi_thread")]
async fn own_centre_first() {
    let fleet = Fleet::start(6).await;
    for node in &fleet.nodes {
        for centre in CENTRES {
            let entries = node.entries(&format!("?data_centre={centre}&region=r")).await;
            let centres: Vec<&str> = entries.iter().map(|(_, centre)| centre.as_str()).collect();
            assert_eq!(centres.len(), 6, "{centres:?}");
            assert_eq!(&centres[..2], [centre, centre], "{centres:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn first_entries_spread() {
    let fleet = Fleet::start(6).await;
    // Callers of each data centre take the first entry, as one in three does.
    let mut first: BTreeMap<String, usize> = BTreeMap::new();
    for lookup in 0..LOOKUPS {
        let centre = CENTRES[lookup % CENTRES.len()];
        // One node answers all: each must spread its callers over all nodes.
        let entries = fleet.nodes[0].entries(&format!("?data_centre={centre}&region=r")).await;
        *first.entry(entries[0].0.clone()).or_default() += 1;
    }
    assert_eq!(first.len(), 6, "{first:?}");
    // Each expects a sixth of the lookups, by fair draws within a data centre;
    // one in a million fair runs is further off than 5 standard deviations.
    let expected = LOOKUPS as f64 / 6.0;
    let deviation = (LOOKUPS as f64 / 3.0 / 4.0).sqrt();
    for (address, count) in &first {
        let off = (*count as f64 - expected).abs();
        assert!(off < 5.0 * deviation, "{address} is first {count} times: {first:?}");
    }
}
