//! The hand-over between a predecessor and its successor.

use wharfplank_admin::handover::{CONFIRMATION_TIMEOUT, MAX_CONCURRENCY_LIMIT, MAX_UNCONFIRMED};
use wharfplank_admin::{
    CommandId, ConnectionCounts, Handover, HandoverMessage, HandoverState, MemberKnowledge, MemberTraits,
};

const TOTAL: ConnectionCounts = ConnectionCounts { clients: 100, members: 80 };

/// Guards against a time in which neither process accepts connections, and against the two processes together
/// holding more connections than one process may.
#[test]
fn connections_are_shared_during_a_handover() {
    let held = ConnectionCounts { clients: 60, members: 30 };
    let (mut old, mut new) = (Handover::default(), Handover::successor_of(held));
    assert!(old.begin(held) && !old.begin(held), "only one successor at a time");
    assert!(old.accepts_connections(true) && !new.accepts_connections(false));
    let sum = |old: &Handover, new: &Handover| {
        let (a, b) = (old.connection_limit(TOTAL), new.connection_limit(TOTAL));
        ConnectionCounts { clients: a.clients + b.clients, members: a.members + b.members }
    };
    assert_eq!(sum(&old, &new), TOTAL);
    // The successor is ready; until its message arrives both processes accept connections.
    assert!(new.accepts_connections(true) && old.accepts_connections(true));
    old.on_successor_serving();
    assert!(!old.accepts_connections(true) && new.accepts_connections(true));
    new.on_predecessor_connections(ConnectionCounts { clients: 10, members: 10 });
    assert_eq!(new.connection_limit(TOTAL), ConnectionCounts { clients: 90, members: 66 });
    new.on_peer_lost();
    assert_eq!(new.connection_limit(TOTAL), TOTAL);
    // A successor that is killed after it started to serve leaves the predecessor serving as before.
    old.on_peer_lost();
    assert!(old.accepts_connections(true) && !old.has_peer());
    assert_eq!(old.connection_limit(TOTAL), TOTAL);
    assert!(old.begin(held), "another hand-over can begin");
    assert!(Handover::successor_of(TOTAL).connection_limit(TOTAL).clients > 0);
}

/// Guards against an answer to the operator before the other process has applied the cordon, and against a
/// command that waits forever.
#[test]
fn commands_wait_for_the_peer_until_a_timeout() {
    let mut handover = Handover::default();
    assert_eq!(handover.register_command(0), None, "no other process");
    assert!(handover.begin(TOTAL));
    let (a, b, c) =
        (handover.register_command(0), handover.register_command(10), handover.register_command(20));
    assert_eq!((a, b, c), (Some(CommandId(1)), Some(CommandId(2)), Some(CommandId(3))));
    assert!(handover.confirm_command(CommandId(2)) && !handover.confirm_command(CommandId(2)));
    assert!(handover.expire_commands(CONFIRMATION_TIMEOUT - 1).is_empty());
    assert_eq!(handover.expire_commands(CONFIRMATION_TIMEOUT), [CommandId(1)]);
    assert_eq!(handover.next_deadline(), Some(CONFIRMATION_TIMEOUT + 20));
    assert_eq!(handover.on_peer_lost(), [CommandId(3)]);
    assert!(handover.begin(TOTAL));
    let registered = (0..2 * MAX_UNCONFIRMED).filter_map(|_| handover.register_command(0)).count();
    assert_eq!(registered, MAX_UNCONFIRMED);
}

#[test]
fn cordon_message_keeps_its_serialized_form() {
    let message =
        HandoverMessage::Cordon { number: CommandId(7), id: "m\"1".to_string(), is_cordoned: true, at: -1 };
    let text = serde_json::to_string(&message).expect("text");
    assert_eq!(text, r#"{"Cordon":{"number":7,"id":"m\"1","out":true,"at":-1}}"#);
    assert_eq!(serde_json::from_str::<HandoverMessage>(&text).ok(), Some(message));
}

/// Guards against changed names in the serialized form: the other process may run another release.
#[test]
fn other_messages_and_state_keep_their_serialized_form() {
    let connections = ConnectionCounts { clients: 1, members: 2 };
    let message_texts = [
        (HandoverMessage::CordonApplied(CommandId(7)), r#"{"Heard":7}"#),
        (HandoverMessage::Serving, r#""Serving""#),
        (HandoverMessage::Connections(connections), r#"{"Holds":{"clients":1,"members":2}}"#),
    ];
    for (message, expected) in message_texts {
        assert_eq!(serde_json::to_string(&message).expect("text"), expected);
    }
    let traits = MemberTraits {
        concurrency_limit: 7.5,
        relative_latency: 1.5,
        answer_rate: 40.0,
        primary_at: 9,
        replica_at: 3,
    };
    let member = MemberKnowledge { id: "m1".to_string(), position: 5, suspected_at: 0, traits: Some(traits) };
    let state = HandoverState {
        version: 1,
        endpoint_list: serde_json::json!({}),
        cordoned: vec!["m2".to_string()],
        uncordoned_at: vec![("m3".to_string(), 4)],
        members: vec![member],
        connections,
    };
    let expected = concat!(
        r#"{"version":1,"list":{},"out":["m2"],"back":[["m3",4]],"#,
        r#""learned":[{"id":"m1","position":5,"suspected_at":0,"#,
        r#""ways":{"limit":7.5,"slowness":1.5,"rate":40.0,"primary_at":9,"replica_at":3}}],"#,
        r#""holds":{"clients":1,"members":2}}"#
    );
    assert_eq!(serde_json::to_string(&state).expect("text"), expected);
}

/// Guards against a predecessor whose release does not send member traits, and against values from another
/// process that would keep a member from ever receiving requests.
#[test]
fn foreign_member_traits_are_clamped() {
    let without_traits: MemberKnowledge =
        serde_json::from_str(r#"{"id":"m1","position":5,"suspected_at":0}"#).expect("traits are optional");
    assert_eq!(without_traits.traits, None);
    let traits = MemberTraits {
        concurrency_limit: 7.5,
        relative_latency: 1.5,
        answer_rate: 40.0,
        primary_at: 9,
        replica_at: 3,
    };
    assert_eq!(MemberTraits::from(traits.to_learned(10)), traits);
    let implausible = MemberTraits {
        concurrency_limit: 0.0,
        relative_latency: f64::NAN,
        answer_rate: -1.0,
        primary_at: 99,
        replica_at: -9,
    };
    let clamped = MemberTraits {
        concurrency_limit: 1.0,
        relative_latency: 0.0,
        answer_rate: 0.0,
        primary_at: 10,
        replica_at: 0,
    };
    assert_eq!(MemberTraits::from(implausible.to_learned(10)), clamped);
    assert_eq!(
        MemberTraits::from(MemberTraits { concurrency_limit: 1e9, ..traits }.to_learned(10))
            .concurrency_limit,
        MAX_CONCURRENCY_LIMIT
    );
}
