//! The simulator adapter: its line protocol and its messages for invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "CONFIGURE Who=0 RngSeed=1 Allowed.MayProbe=true Allowed.MaxAttempts=4 Az=a \
    Balancers=1 Classes.count=1 Classes.0.Name=look Classes.0.TargetUs=300000 Classes.0.Repeat=retryable \
    Classes.0.Worth=1.0 Specifics.Consistency=eventual Novel.Key=1";
const LIST: &str = "ROSTER Page=0 Members=2\nM Heft=1 Head=1 Shard=5 Health=up Host=10 Campus=a\n\
    M Heft=1 Head=0 Shard=5 Health=up Host=11 Campus=b Novel=x\nMEMBERSHIP Who=0 Page=0 SeqNo=1 Scope=stale_copy";
const ID: &str = "5d3a91c4-6d75-48c5-a84c-05bd7edbb904";

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wharfplank-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("its standard input is open");
    // The write fails if the adapter has already exited at an earlier invalid line.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(lines: &str) -> String {
    format!("BATCH NowUs=1000\n{lines}\nCOMMIT\n")
}

fn error_message(input: &str) -> String {
    let output = run(input);
    assert!(!output.status.success(), "the adapter accepted {input:?}");
    let text = String::from_utf8(output.stderr).expect("plain text");
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(!text.contains("panicked"), "{text}");
    text
}

#[test]
fn an_empty_batch_is_acknowledged() {
    let output = run("BATCH NowUs=5\nCOMMIT\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"ACK\n");
}

#[test]
fn a_request_is_relayed_to_a_replica_and_unknown_keys_are_ignored() {
    let request = format!("INCOMING Who=0 Id={ID} Cls=look GiveUpAtUs=900000 GroupNo=5 Novel=7");
    let output = run(&batch(&format!("{SETTINGS}\n{LIST}\n{request}")));
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("plain text");
    assert!(text.contains(&format!("RELAY Who=0 Id={ID} WithinUs=300000 Host=11\n")), "{text}");
    assert!(text.ends_with("ACK\n"));
}

#[test]
fn events_for_unknown_requests_and_members_are_ignored() {
    let late = format!(
        "GONE Who=0 Id={ID}\nRESOLVED Who=0 Id={ID} Rc=done Terminal=1 Host=99 SendNo=0\nECHO Who=0 Host=99 Rc=done"
    );
    assert!(run(&batch(&format!("{SETTINGS}\n{LIST}\n{late}"))).status.success());
}

#[test]
fn an_instance_can_be_configured_again_after_it_exits() {
    let configured_twice = format!("{SETTINGS}\n{LIST}\nEXIT Who=0\n{SETTINGS}\n{LIST}");
    assert!(run(&batch(&configured_twice)).status.success());
}

#[test]
fn errors_name_the_line_and_the_field() {
    let cases = [
        ("COMMIT\n".to_string(), "line 1", "BATCH"),
        ("BATCH NowUs=soon\n".to_string(), "line 1", "NowUs"),
        (batch("WHISTLE Who=0"), "line 2", "WHISTLE"),
        (batch("TIMER Handle=sweep"), "line 2", "Who"),
        (batch("TIMER Who=7 Handle=sweep"), "line 2", "Who"),
        (batch("MEMBERSHIP Who=7 Page=0 SeqNo=1 Scope=whole"), "line 2", "Who"),
        (batch(&format!("{SETTINGS}\nMEMBERSHIP Who=0 Page=3 SeqNo=1 Scope=whole")), "line 3", "Page"),
        (batch(&format!("{SETTINGS}\nGONE Who=0 Id=short")), "line 3", "Id"),
        (batch(&format!("{SETTINGS}\nECHO Who=0 Host=-4 Rc=done")), "line 3", "Host"),
        (batch("ROSTER Page=0 Members=2\nM Shard=1 Health=well Host=1"), "line 3", "Health"),
        (batch("ROSTER Page=0 Members=2\nM Shard=1 Health=up Host=1"), "line 4", "Members"),
        (batch(&format!("{SETTINGS} Classes.0.TargetUs=x")), "line 2", "Classes.0.TargetUs"),
        ("BATCH NowUs=5\n".to_string(), "end of input", "COMMIT"),
    ];
    for (input, line, field) in cases {
        let text = error_message(&input);
        assert!(text.contains(line) && text.contains(field), "{input:?}: {text}");
    }
}
