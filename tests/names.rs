//! No name of a customer's deployment stands in the code: classes, zones, tenants and kinds come from the settings.

use std::fs;
use std::path::{Path, PathBuf};

/// Names of deployments that the proxies run for: classes, zones, services, kinds.
const NAMES: [&str; 17] = [
    "lookup",
    "own-edit-read",
    "run-report",
    "pay-write",
    "pay-db",
    "midrand",
    "isando",
    "centurion",
    "plan-view",
    "own-recent",
    "statements",
    "payment-post",
    "cuotas-db",
    "la-uruca",
    "heredia",
    "cartago",
    "std-4",
];

fn files(at: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(at).expect("temporary directory").flatten() {
        let path = entry.path();
        if path.is_dir() {
            files(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs" || e == "toml" || e == "xml" || e == "xsd") {
            found.push(path);
        }
    }
}

/// Guards against a program that is fitted to one customer: its words in quotes anywhere but in tests.
#[test]
fn no_customers_name_stands_in_the_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = vec![root.join("deploy/balancer.toml"), root.join("deploy/settings.example.xml")];
    files(&root.join("src"), &mut found);
    for entry in fs::read_dir(root.join("crates")).expect("the crates").flatten() {
        files(&entry.path().join("src"), &mut found);
    }
    let mut wrong = Vec::new();
    for path in &found {
        let text = fs::read_to_string(path).expect("a readable file");
        let quoted = |name: &&&str| text.contains(&format!("\"{name}\""));
        wrong.extend(NAMES.iter().filter(quoted).map(|name| format!("{}: {name}", path.display())));
    }
    assert!(found.len() > 100 && wrong.is_empty(), "{wrong:#?}");
}
