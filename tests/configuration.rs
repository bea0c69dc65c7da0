//! Starts of the real program with settings that cannot be meant: exit code 3, and one line that names the
//! field.

#[path = "common/config.rs"]
mod config;
#[path = "common/play.rs"]
#[allow(dead_code)]
mod play;

use config::{good, with};
use rstest::rstest;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};

#[rstest]
#[case::no_classes("/settings/Classes", json!([]), "field Classes:")]
#[case::negative_deadline("/settings/Classes/0/DeadlineUs", json!(-1), "field Classes.0.DeadlineUs:")]
#[case::worth_that_is_no_number("/settings/Classes/1/Worth", json!("NaN"), "field Classes.1.Worth:")]
#[case::two_of_a_name("/settings/Classes/1/Name", json!("look up"), "field Classes.1.Name:")]
#[case::colder_than_cold("/settings/Rules/ColdFrom", json!(7.5), "field Rules.ColdFrom:")]
#[case::nobody("/settings/Balancers", json!(0), "field Balancers:")]
#[case::group_that_is_none("/settings/Allowed", json!(5), "field Allowed:")]
#[case::sockets_as_text("/limits/sockets", json!("1024"), "field sockets:")]
#[case::memory_below_nothing("/limits/memory_mb", json!(-1), "field memory_mb:")]
fn the_start_ends_with_3_and_names_the_field(#[case] place: &str, #[case] value: Value, #[case] field: &str) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("config.json");
    std::fs::write(&path, with(&good(), place, value).to_string()).expect("written");
    let mut child = play::command().env("BALANCER_CONFIG", &path).spawn().expect("the program starts");
    let mut stderr = BufReader::new(child.stderr.take().expect("its standard error"));
    let mut said = String::new();
    stderr.read_line(&mut said).expect("text");
    if said.starts_with("started") {
        child.kill().and_then(|()| child.wait()).expect("it ends");
    }
    stderr.read_to_string(&mut said).expect("text");
    assert_eq!(child.wait().expect("it ends").code(), Some(3), "{said}");
    assert!(said.lines().count() == 1 && said.contains(field), "{said}");
}
