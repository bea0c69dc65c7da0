//! Recorded exchanges, each played against a proxy process of its own.

#[path = "common/play.rs"]
mod play;

use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn exchange(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    play::play(&std::fs::read_to_string(path).expect("a readable exchange"));
}

/// Guards against a proxy that starts with an incomplete configuration, or exits without naming the reason.
#[rstest]
#[case::no_file(None, "BALANCER_CONFIG is not set")]
#[case::not_json(Some("{"), "not JSON")]
#[case::no_listen(Some("{}"), "listen is missing")]
#[case::no_settings(Some(r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}"#), "settings are missing")]
fn an_invalid_configuration_is_reported(#[case] text: Option<&str>, #[case] message: &str) {
    let path = std::env::temp_dir().join(format!("wharfplank-bad-{}-{}", std::process::id(), message.len()));
    let mut command = play::command();
    if let Some(text) = text {
        std::fs::write(&path, text).expect("write the file");
        command.env("BALANCER_CONFIG", &path);
    }
    let output = command.output().expect("the program runs");
    let _ = std::fs::remove_file(&path);
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && log.contains(message), "{log}");
}
