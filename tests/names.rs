//! The code contains no name of a customer's deployment: classes, zones, tenants and kinds come from the
//! settings.

use std::fs;
use std::path::{Path, PathBuf};

/// Names from customers' deployments: classes, zones, services, kinds.
const CUSTOMER_NAMES: [&str; 17] = [
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

fn collect_files(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("temporary directory").flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_files(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs" || e == "toml" || e == "xml" || e == "xsd") {
            found.push(path);
        }
    }
}

/// Guards against code that is specific to one customer: its names as string literals outside of tests.
#[test]
fn the_code_names_no_customer() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = vec![root.join("deploy/balancer.toml"), root.join("deploy/settings.example.xml")];
    collect_files(&root.join("src"), &mut found);
    for entry in fs::read_dir(root.join("crates")).expect("list the crates").flatten() {
        collect_files(&entry.path().join("src"), &mut found);
    }
    let mut occurrences = Vec::new();
    for path in &found {
        let text = fs::read_to_string(path).expect("a readable file");
        let is_quoted = |name: &&&str| text.contains(&format!("\"{name}\""));
        occurrences.extend(
            CUSTOMER_NAMES.iter().filter(is_quoted).map(|name| format!("{}: {name}", path.display())),
        );
    }
    assert!(found.len() > 100 && occurrences.is_empty(), "{occurrences:#?}");
}
