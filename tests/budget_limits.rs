//! Budgets of the settings that a process without lease allocators enforces by its static quota.

#[path = "common/proxy_process.rs"]
mod proxy_process;

use proxy_process::{free_port, request_once, start_member, Process};
use std::thread;
use std::time::{Duration, Instant};

/// The requests per second of the tenant to which the requests of this test belong.
const TENANT_REQUESTS: usize = 5;
const REQUESTS: usize = 60;
/// A new process spends nothing for a second, as the one before it may have spent its quota.
const QUOTA_WAIT: Duration = Duration::from_millis(1_500);

/// Guards against a tenant's budget that limits nothing because it is not registered.
#[test]
fn a_tenant_gets_no_more_than_its_budget() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let settings = folder.path().join("settings.xml");
    let text = format!(
        r#"<wharfplank><budgets listen="127.0.0.1:0" banks="none" proxies="1" even="100" requests="1000"
            tenants="2={TENANT_REQUESTS}"/></wharfplank>"#
    );
    std::fs::write(&settings, text).expect("write the file");
    let (address, _) = start_member();
    let port = free_port();
    let members = [("m1", address.as_str())];
    let process =
        Process::start_with_settings(folder.path(), port, &members, |config| config, Some(&settings));
    process.wait_until_ready();
    thread::sleep(QUOTA_WAIT);
    let started_at = Instant::now();
    let tags: Vec<_> = (0..REQUESTS).map(|number| request_once(port, &format!("r-{number}"))).collect();
    let seconds = started_at.elapsed().as_secs() as usize + 2;
    let served = tags.iter().filter(|tags| tags.as_deref() == Some("TDCZ")).count();
    assert!(
        (1..=TENANT_REQUESTS * seconds).contains(&served),
        "{served} of {REQUESTS} requests served in {seconds} s, by a budget of {TENANT_REQUESTS}/s: {tags:?}"
    );
}
