//! The JSON datagrams between a proxy and the members' agents.

use wharfplank_rollout::{AgentCommand, AgentRequest, AgentStatus};

/// Guards the documented format, for which agents are written.
#[test]
fn requests_and_replies_have_the_documented_format() {
    let restart = AgentCommand::Restart { incarnation: 17, version: 7, only_if_down: false };
    let request = AgentRequest { sequence: 4, command: restart };
    let text = br#"{"number":4,"ask":"leave","launch":17,"version":7,"down":false}"#;
    assert_eq!(request.to_bytes(), text);
    assert_eq!(AgentRequest::from_bytes(text).ok(), Some(request));
    let poll = AgentRequest { sequence: 5, command: AgentCommand::Status };
    assert_eq!(poll.to_bytes(), br#"{"number":5,"ask":"status"}"#);
    let hand_over = br#"{"number":6,"ask":"hand-over","launch":17}"#;
    assert_eq!(
        AgentRequest::from_bytes(hand_over).ok().map(|request| request.command),
        Some(AgentCommand::HandOver { incarnation: 17 })
    );
    let status = br#"{"number":4,"launch":17,"version":6,"ready":true}"#;
    assert_eq!(
        AgentStatus::from_bytes(status).ok(),
        Some(AgentStatus { sequence: 4, incarnation: 17, version: 6, ready: true })
    );
    for bad in [&b"{}"[..], b"", b"[1]", &[b' '; 2000]] {
        assert_eq!(AgentStatus::from_bytes(bad).ok(), None);
    }
}
