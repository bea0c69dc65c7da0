//! Detection of new commands in the signal file.

use std::time::{Duration, SystemTime};
use wharfplank_rollout::SignalFileWatcher;

/// Guards against a command that is executed twice, executed again after a restart, or read before it is
/// written completely.
#[test]
fn command_is_new_once() {
    let at = |s: u64, length| Some((SystemTime::UNIX_EPOCH + Duration::from_secs(s), length));
    let mut watcher = SignalFileWatcher::default();
    let checks = [
        (at(1, 5), false),
        (at(1, 5), false),
        (at(2, 0), false),
        (at(2, 5), true),
        (at(2, 5), false),
        (None, false),
        (at(2, 5), true),
        (at(3, 5), true),
    ];
    for (n, (stamp, new)) in checks.into_iter().enumerate() {
        assert_eq!(watcher.has_new_command(stamp), new, "check {n}");
    }
    assert!(!SignalFileWatcher::default().has_new_command(None));
    let mut without_file = SignalFileWatcher::default();
    without_file.has_new_command(None);
    assert!(without_file.has_new_command(at(4, 5)), "the first command of a file that did not exist");
}

/// Guards against a command that is lost because the file could not be read temporarily.
#[test]
fn unreadable_command_is_new_again() {
    let at = |s: u64, length| Some((SystemTime::UNIX_EPOCH + Duration::from_secs(s), length));
    let mut watcher = SignalFileWatcher::default();
    assert!(!watcher.has_new_command(at(1, 5)), "a command from before the start is not new");
    assert!(watcher.has_new_command(at(2, 5)));
    watcher.on_read_failed();
    assert!(watcher.has_new_command(at(2, 5)), "a command that could not be read must be new again");
    assert!(!watcher.has_new_command(at(2, 5)), "a command that was read is not new");
}
