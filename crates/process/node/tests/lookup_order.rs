//! Which nodes a lookup lists first.

use std::collections::BTreeMap;

use crate::fleet::DATA_CENTRES;
use crate::fleet::Fleet;

mod fleet;

/// The number of lookups whose first entry is counted.
const LOOKUP_COUNT: usize = 600;

#[tokio::test(flavor = "multi_thread")]
async fn own_data_centre_comes_first() {
    let fleet = Fleet::start(6).await;
    for node in &fleet.nodes {
        for data_centre in DATA_CENTRES {
            let entries = node.entries(&format!("?data_centre={data_centre}&region=r")).await;
            let data_centres: Vec<&str> =
                entries.iter().map(|(_, data_centre)| data_centre.as_str()).collect();
            assert_eq!(data_centres.len(), 6, "{data_centres:?}");
            assert_eq!(&data_centres[..2], [data_centre, data_centre], "{data_centres:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn first_entries_are_spread_evenly() {
    let fleet = Fleet::start(6).await;
    // A third of the lookups come from each data centre; each caller uses the first
    // entry.
    let mut first_counts: BTreeMap<String, usize> = BTreeMap::new();
    for lookup in 0..LOOKUP_COUNT {
        let data_centre = DATA_CENTRES[lookup % DATA_CENTRES.len()];
        // The same node answers all lookups: each node alone must spread callers over
        // all nodes.
        let entries = fleet.nodes[0].entries(&format!("?data_centre={data_centre}&region=r")).await;
        *first_counts.entry(entries[0].0.clone()).or_default() += 1;
    }
    assert_eq!(first_counts.len(), 6, "{first_counts:?}");
    // Each node expects a sixth of the lookups, by a uniform random choice between the
    // two nodes of a data centre. With a correct implementation, one run in a million
    // deviates by more than 5 standard deviations.
    let expected = LOOKUP_COUNT as f64 / 6.0;
    let deviation = (LOOKUP_COUNT as f64 / 3.0 / 4.0).sqrt();
    for (address, count) in &first_counts {
        let error = (*count as f64 - expected).abs();
        assert!(error < 5.0 * deviation, "{address} is first {count} times: {first_counts:?}");
    }
}
