//! The hand-over between a predecessor and its successor.

use wharfplank_admin::handover::{CONFIRMATION_TIMEOUT, MAX_CONCURRENCY_LIMIT, MAX_UNCONFIRMED};
use wharfplank_admin::{
    CommandId, ConnectionCounts, Handover, HandoverMessage, HandoverState, MemberKnowledge, MemberTraits,
};

const ALL: ConnectionCounts = ConnectionCounts { clients: 100, members: 80 };

/// Guards against a moment in which neither accepts connections, or the two together hold more than one may.
#[test]
fn both_processes_act_as_one_proxy() {
    let held = ConnectionCounts { clients: 60, members: 30 };
    let (mut old, mut new) = (Handover::default(), Handover::successor_of(held));
    assert!(old.begin(held) && !old.begin(held), "a second one is too late");
    assert!(old.accepts_connections(true) && !new.accepts_connections(false));
    let sum = |old: &Handover, new: &Handover| {
        let (a, b) = (old.connection_limit(ALL), new.connection_limit(ALL));
        ConnectionCounts { clients: a.clients + b.clients, members: a.members + b.members }
    };
    assert_eq!(sum(&old, &new), ALL);
    // The successor is ready and says so; until that arrives both accept connections.
    assert!(new.accepts_connections(true) && old.accepts_connections(true));
    old.on_successor_serving();
    assert!(!old.accepts_connections(true) && new.accepts_connections(true));
    new.on_predecessor_connections(ConnectionCounts { clients: 10, members: 10 });
    assert_eq!(new.connection_limit(ALL), ConnectionCounts { clients: 90, members: 66 });
    new.on_peer_lost();
    assert_eq!(new.connection_limit(ALL), ALL);
    // Killed after it was accepted, the successor leaves the predecessor as it was.
    old.on_peer_lost();
    assert!(old.accepts_connections(true) && !old.has_peer());
    assert_eq!(old.connection_limit(ALL), ALL);
    assert!(old.begin(held), "the next one may come");
    assert!(Handover::successor_of(ALL).connection_limit(ALL).clients > 0);
}

/// Guards against a confirmation before the other process has the cordon, and against a command that waits for good.
#[test]
fn a_command_waits_for_the_other_process_for_a_while() {
    let mut one = Handover::default();
    assert_eq!(one.register_command(0), None, "there is no other");
    assert!(one.begin(ALL));
    let (a, b, c) = (one.register_command(0), one.register_command(10), one.register_command(20));
    assert_eq!((a, b, c), (Some(CommandId(1)), Some(CommandId(2)), Some(CommandId(3))));
    assert!(one.confirm_command(CommandId(2)) && !one.confirm_command(CommandId(2)));
    assert!(one.expire_commands(CONFIRMATION_TIMEOUT - 1).is_empty());
    assert_eq!(one.expire_commands(CONFIRMATION_TIMEOUT), [CommandId(1)]);
    assert_eq!(one.next_deadline(), Some(CONFIRMATION_TIMEOUT + 20));
    assert_eq!(one.on_peer_lost(), [CommandId(3)]);
    assert!(one.begin(ALL));
    let numbered = (0..2 * MAX_UNCONFIRMED).filter_map(|_| one.register_command(0)).count();
    assert_eq!(numbered, MAX_UNCONFIRMED);
}

#[test]
fn messages_keep_their_serialised_form() {
    let message =
        HandoverMessage::Cordon { number: CommandId(7), id: "m\"1".to_string(), is_cordoned: true, at: -1 };
    let text = serde_json::to_string(&message).expect("text");
    assert_eq!(text, r#"{"Cordon":{"number":7,"id":"m\"1","out":true,"at":-1}}"#);
    assert_eq!(serde_json::from_str::<HandoverMessage>(&text).ok(), Some(message));
}

/// Guards against an upgrade from or to a version that has other names for the same things.
#[test]
fn other_messages_and_the_state_keep_their_serialised_names() {
    let connections = ConnectionCounts { clients: 1, members: 2 };
    let message_texts = [
        (HandoverMessage::CordonApplied(CommandId(7)), r#"{"Heard":7}"#),
        (HandoverMessage::Serving, r#""Serving""#),
        (HandoverMessage::Connections(connections), r#"{"Holds":{"clients":1,"members":2}}"#),
    ];
    for (message, wanted) in message_texts {
        assert_eq!(serde_json::to_string(&message).expect("text"), wanted);
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
    let wanted = concat!(
        r#"{"version":1,"list":{},"out":["m2"],"back":[["m3",4]],"#,
        r#""learned":[{"id":"m1","position":5,"suspected_at":0,"#,
        r#""ways":{"limit":7.5,"slowness":1.5,"rate":40.0,"primary_at":9,"replica_at":3}}],"#,
        r#""holds":{"clients":1,"members":2}}"#
    );
    assert_eq!(serde_json::to_string(&state).expect("text"), wanted);
}

/// Guards against an upgrade from a version that does not report how members answer, and against numbers of another
/// process that would stop a member's work for good.
#[test]
fn member_traits_of_another_process_are_clamped() {
    let bare: MemberKnowledge =
        serde_json::from_str(r#"{"id":"m1","position":5,"suspected_at":0}"#).expect("as before");
    assert_eq!(bare.traits, None);
    let traits = MemberTraits {
        concurrency_limit: 7.5,
        relative_latency: 1.5,
        answer_rate: 40.0,
        primary_at: 9,
        replica_at: 3,
    };
    assert_eq!(MemberTraits::from(traits.to_learned(10)), traits);
    let wild = MemberTraits {
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
    assert_eq!(MemberTraits::from(wild.to_learned(10)), clamped);
    assert_eq!(
        MemberTraits::from(MemberTraits { concurrency_limit: 1e9, ..traits }.to_learned(10))
            .concurrency_limit,
        MAX_CONCURRENCY_LIMIT
    );
}
