//! A bank's ledger as the bytes of its file. An empty file is a ledger that nothing was given out by: an operator makes
//! it. Anything that can't be read whole is none, and the bank stays closed: what it gave out is not known.

use crate::Ledger;
use twox_hash::XxHash3_64;

/// What the file begins with.
const FORM: &[u8] = b"wharfplank ledger 1\n";

/// A ledger as its file holds it: the form, a sum of what follows, the ledger.
pub fn write_ledger(ledger: &Ledger) -> Vec<u8> {
    let body = postcard::to_allocvec(ledger).unwrap_or_default();
    [FORM, &XxHash3_64::oneshot(&body).to_le_bytes(), &body].concat()
}

/// The ledger in a file's bytes.
pub fn read_ledger(bytes: &[u8]) -> Option<Ledger> {
    if bytes.is_empty() {
        return Some(Ledger::default());
    }
    let (sum, body) = bytes.strip_prefix(FORM)?.split_first_chunk::<8>()?;
    let whole = u64::from_le_bytes(*sum) == XxHash3_64::oneshot(body);
    whole.then(|| postcard::from_bytes(body).ok()).flatten()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a bank that opens by a ledger that is torn, cut short or not its own.
    #[test]
    fn a_ledger_is_read_whole_or_not_at_all() {
        let mut ledger = Ledger::default();
        ledger.changes = 300;
        let bytes = write_ledger(&ledger);
        assert_eq!(read_ledger(&bytes), Some(ledger));
        assert_eq!(read_ledger(b""), Some(Ledger::default()));
        for end in 1..bytes.len() {
            assert_eq!(read_ledger(&bytes[..end]), None, "{end} bytes");
        }
        for at in 0..bytes.len() {
            let mut bad = bytes.clone();
            bad[at] ^= 1;
            assert_eq!(read_ledger(&bad), None, "byte {at}");
        }
    }
}
