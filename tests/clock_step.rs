//! A wall clock that is stepped before the process starts or while it runs: requests are served as usual.

#[path = "common/proxy_process.rs"]
mod proxy_process;
#[path = "common/syscall_faults.rs"]
mod syscall_faults;

use proxy_process::{free_port, request_once, start_member, Process};
use rstest::rstest;
use std::time::Duration;
use syscall_faults::SyscallFaults;

const HOUR: i64 = 3_600;
const REQUESTS: usize = 60;

/// Guards against deadlines, waits or a member's age that are computed from the wall clock.
#[rstest]
#[case::ahead_at_the_start(HOUR, HOUR)]
#[case::behind_at_the_start(-HOUR, -HOUR)]
#[case::seconds_ahead_at_the_start(30, 30)]
#[case::seconds_behind_at_the_start(-30, -30)]
#[case::forward_while_it_runs(0, HOUR)]
#[case::back_while_it_runs(0, -HOUR)]
#[case::back_and_forth(HOUR, -HOUR)]
fn a_stepped_wall_clock_loses_no_request(#[case] at_start: i64, #[case] later: i64) {
    let folder = tempfile::tempdir().expect("temporary directory");
    let (address, _) = start_member();
    let port = free_port();
    let faults = SyscallFaults { clock_offset_s: (at_start, later), ..SyscallFaults::default() };
    let environment = faults.environment(folder.path(), port);
    let environment: Vec<(&str, &str)> = environment.iter().map(|(name, value)| (*name, &**value)).collect();
    let mut process =
        Process::start_with_environment(folder.path(), port, &[("m1", &address)], &environment, |config| {
            config
        });
    process.wait_until_ready();
    for number in 0..REQUESTS {
        assert_eq!(request_once(port, &format!("r-{number}")).as_deref(), Some("TDCZ"), "request {number}");
    }
    process.terminate();
    assert_eq!(
        process.wait_for_exit(Duration::from_millis(3_700)),
        Some(0),
        "clean exit before SIGKILL would come"
    );
}
