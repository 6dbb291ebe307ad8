//! Every sample file is valid, and the objects have the sizes of their deployment.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use expect_test::expect;

use conf::catalog::Catalog;
use conf::document;
use conf::object::Kind;
use conf::object::Spec;
use conf::settings;

/// The name and text of each sample file, by deployment.
fn samples() -> BTreeMap<String, Vec<(String, String)>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../samples");
    let mut files: BTreeMap<String, Vec<_>> = BTreeMap::new();
    for entry in fs::read_dir(folder).expect("the samples") {
        let path = entry.expect("a sample").path();
        let name = path.file_name().and_then(|name| name.to_str()).expect("a name").to_string();
        let deployment = name.split('-').next().expect("a deployment").to_string();
        let text = fs::read_to_string(&path).expect("a text");
        files.entry(deployment).or_default().push((name, text));
    }
    files.values_mut().for_each(|deployment| deployment.sort());
    files
}

fn size_table(catalog: &Catalog) -> String {
    let mut table = String::new();
    for (name, spec) in catalog.of_kind(Kind::Service) {
        let Spec::Service(service) = spec else { continue };
        let map = catalog.map(&service.map).expect("its map");
        let servers: Vec<usize> = map.groups.iter().map(|group| group.servers.len()).collect();
        let (slots, connections) = (service.slots, service.connections);
        let shape = format!("{} groups of {:?}", servers.len(), servers[0]);
        assert!(servers.iter().all(|count| *count == servers[0]));
        table.push_str(&format!("{name}: {shape}, {slots} slots, {connections} connections\n"));
    }
    table
}

#[test]
fn all_samples_are_valid() {
    let mut table = String::new();
    for files in samples().into_values() {
        let mut documents = Vec::new();
        for (name, text) in &files {
            if name.ends_with("-node.yaml") {
                let settings = settings::parse(name, text).unwrap_or_else(|r| panic!("{r}"));
                table.push_str(&format!("{name}: {} nodes\n", settings.fleet_size));
                continue;
            }
            documents.extend(document::parse(name, text).unwrap_or_else(|r| panic!("{r}")));
        }
        let catalog = document::verify(&Catalog::new(), &documents).expect("a valid set");
        table.push_str(&size_table(&catalog));
    }
    expect![[r#"
        ishara-node.yaml: 6 nodes
        billing-office: 1 groups of 3, 6 slots, 100 connections
        client-portal: 1 groups of 5, 6 slots, 100 connections
        dispatch-desk: 10 groups of 3, 2 slots, 25 connections
        franchise-admin: 15 groups of 3, 2 slots, 25 connections
        samahan-node.yaml: 6 nodes
        claims-office: 1 groups of 20, 3 slots, 40 connections
        kulay-desk: 10 groups of 3, 3 slots, 30 connections
        member-roll: 1 groups of 10, 3 slots, 40 connections
        supply-ledger: 15 groups of 3, 3 slots, 30 connections
    "#]]
    .assert_eq(&table);
}
