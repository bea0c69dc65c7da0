//! Tests that pin the bytes in which proxies of different versions exchange their votes. The expected
//! values come from the release before the types were renamed.

use wharfplank_failover::{decode_votes, encode_votes, Vote, ZoneVote};

#[test]
fn votes_keep_their_encoding() {
    let votes =
        [ZoneVote::new("a", Vote::Down), ZoneVote::new("bc", Vote::Up), ZoneVote::new("d", Vote::Unknown)];
    let encoded = [3, 1, 97, 2, 2, 98, 99, 1, 1, 100, 0];
    assert_eq!(encode_votes(&votes), encoded);
    assert_eq!(decode_votes(&encoded).unwrap(), votes);
    assert!(decode_votes(&encoded[..4]).is_err());
}
