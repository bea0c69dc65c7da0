//! The file format of a permit server's ledger.

use wharfplank_rollout::{decode_ledger, encode_ledger, PermitLedger};

/// Guards against a permit server that opens with a ledger that is corrupt, truncated or not a ledger.
#[test]
fn truncated_or_corrupt_ledger_is_rejected() {
    let mut ledger = PermitLedger::default();
    ledger.revision = 300;
    let bytes = encode_ledger(&ledger);
    assert_eq!(decode_ledger(&bytes).ok(), Some(ledger));
    assert_eq!(decode_ledger(b"").ok(), Some(PermitLedger::default()));
    for end in 1..bytes.len() {
        assert_eq!(decode_ledger(&bytes[..end]).ok(), None, "{end} bytes");
    }
    for at in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[at] ^= 1;
        assert_eq!(decode_ledger(&bad).ok(), None, "byte {at}");
    }
}
