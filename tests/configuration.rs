//! The program with an invalid configuration: exit code 3 and one line that names the field.

#[path = "common/config.rs"]
mod config;
#[path = "common/play.rs"]
#[allow(dead_code)]
mod play;

use config::{valid_config, with_value};
use rstest::rstest;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};

#[rstest]
#[case::no_classes("/settings/Classes", json!([]), "field Classes:")]
#[case::negative_deadline("/settings/Classes/0/DeadlineUs", json!(-1), "field Classes.0.DeadlineUs:")]
#[case::worth_not_a_number("/settings/Classes/1/Worth", json!("NaN"), "field Classes.1.Worth:")]
#[case::duplicate_name("/settings/Classes/1/Name", json!("look up"), "field Classes.1.Name:")]
#[case::fraction_above_one("/settings/Rules/ColdFrom", json!(7.5), "field Rules.ColdFrom:")]
#[case::no_routers("/settings/Balancers", json!(0), "field Balancers:")]
#[case::group_not_an_object("/settings/Allowed", json!(5), "field Allowed:")]
#[case::sockets_as_text("/limits/sockets", json!("1024"), "field sockets:")]
#[case::negative_memory("/limits/memory_mb", json!(-1), "field memory_mb:")]
fn an_invalid_field_is_named_and_the_exit_code_is_3(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] field: &str,
) {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = directory.path().join("config.json");
    std::fs::write(&path, with_value(&valid_config(), pointer, value).to_string()).expect("write the file");
    let mut child = play::command().env("BALANCER_CONFIG", &path).spawn().expect("the proxy starts");
    let mut stderr = BufReader::new(child.stderr.take().expect("its standard error"));
    let mut output = String::new();
    stderr.read_line(&mut output).expect("read standard error");
    if output.starts_with("started") {
        child.kill().and_then(|()| child.wait()).expect("the process exits");
    }
    stderr.read_to_string(&mut output).expect("read standard error");
    assert_eq!(child.wait().expect("the process exits").code(), Some(3), "{output}");
    assert!(output.lines().count() == 1 && output.contains(field), "{output}");
}
