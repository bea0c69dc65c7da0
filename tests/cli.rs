//! The command line: exit codes, and lab runs that are short enough for a test.

use std::path::Path;
use std::process::{Command, Output, Stdio};

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wharfplank"));
    command.args(arguments).env_remove("BALANCER_CONFIG").stdin(Stdio::null());
    let Output { status, stdout, stderr } = command.output().expect("the command runs");
    (status.code(), String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned())
}

fn file(directory: &Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    std::fs::write(&path, text).expect("write the file");
    path.to_string_lossy().into_owned()
}

/// Guards against exit codes that differ from the documentation, and against faults in settings that are
/// reported one at a time or without their line.
#[test]
fn exit_codes_match_the_documentation() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let good = file(dir.path(), "good.xml", "<wharfplank>\n  <log format=\"json\"/>\n</wharfplank>\n");
    let bad =
        file(dir.path(), "bad.xml", "<wharfplank>\n  <log format=\"loud\"/>\n  <records/>\n</wharfplank>\n");
    assert_eq!(run(&["check", "--settings", &good]), (Some(0), "no fault found\n".to_string()));
    let (code, printed) = run(&["check", "--settings", &bad, "--config", &good]);
    assert_eq!(code, Some(3), "{printed}");
    let faults = [
        "bad.xml: line 2: wharfplank/log/@format: 'loud'",
        "line 3: wharfplank/records/@directory",
        "not JSON",
    ];
    faults.iter().for_each(|fault| assert!(printed.contains(fault), "{printed}"));
    assert_eq!(run(&["serve", "--settings", &bad]).0, Some(3));
    assert_eq!(run(&["fly"]).0, Some(2));
    assert_eq!(run(&["check"]).0, Some(2));
    let empty = dir.path().to_string_lossy().into_owned();
    for command in ["records", "report"] {
        let (code, printed) = run(&[command, &empty]);
        assert!(code == Some(1) && printed.contains("no records found"), "{printed}");
    }
    let (code, printed) = run(&["console", &empty]);
    assert!(code == Some(1) && printed.contains("needs a terminal"), "{printed}");
    assert!(run(&["completions", "bash"]).1.contains("wharfplank"));
}

/// Guards against a store that is damaged by a kill during a write, and against the loss of records that were
/// reported as flushed. `make kills` plays two hundred kills.
#[test]
fn kills_lose_no_acknowledged_records() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let place = dir.path().join("kills").to_string_lossy().into_owned();
    let (code, printed) = run(&["lab", "kills", "--times", "10", "-o", &place]);
    assert_eq!(code, Some(0), "{printed}");
    assert!(printed.starts_with("10 kills: ") && printed.contains(" 0 stores damaged"), "{printed}");
    let (code, printed) = run(&["records", &place]);
    assert!(code == Some(0) && printed.matches("killed and started again").count() == 9, "{printed}");
}
