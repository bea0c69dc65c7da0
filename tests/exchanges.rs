//! Recorded exchanges, each played against the program of its own.

#[path = "common/play.rs"]
mod play;

use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn exchange(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    play::play(&std::fs::read_to_string(path).expect("a readable exchange"));
}

/// Guards against a proxy that starts with half a configuration, or ends without saying why.
#[rstest]
#[case::nothing(None, "BALANCER_CONFIG is not set")]
#[case::not_json(Some("{"), "not JSON")]
#[case::no_listen(Some("{}"), "listen is missing")]
#[case::no_settings(Some(r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}"#), "settings are missing")]
fn bad_configuration_is_named(#[case] text: Option<&str>, #[case] complaint: &str) {
    let path =
        std::env::temp_dir().join(format!("wharfplank-bad-{}-{}", std::process::id(), complaint.len()));
    let mut command = play::command();
    if let Some(text) = text {
        std::fs::write(&path, text).expect("written");
        command.env("BALANCER_CONFIG", &path);
    }
    let output = command.output().expect("the program runs");
    let _ = std::fs::remove_file(&path);
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && said.contains(complaint), "{said}");
}
