//! The file format of a permit server's ledger. An empty file, which an operator creates, stands for a
//! ledger without permits. If a file can't be read completely, this is an error and the server stays
//! closed, because the permits that it granted are unknown.

use crate::PermitLedger;
use thiserror::Error;
use twox_hash::XxHash3_64;

/// The first bytes of the file.
const HEADER: &[u8] = b"wharfplank ledger 1\n";

/// The reason why a ledger file can't be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LedgerFileError {
    /// The file does not start with the header and the checksum.
    #[error("no ledger header")]
    Header,
    /// The checksum does not match because the file is truncated or corrupt.
    #[error("checksum mismatch")]
    Checksum,
    /// The contents can't be decoded.
    #[error("undecodable ledger")]
    Contents,
}

/// Encodes a ledger as the header, a checksum of the body, and the body.
pub fn encode_ledger(ledger: &PermitLedger) -> Vec<u8> {
    let body = postcard::to_allocvec(ledger).unwrap_or_default();
    let checksum = XxHash3_64::oneshot(&body).to_le_bytes();
    [HEADER, &checksum, &body].concat()
}

/// Decodes the contents of a ledger file.
///
/// # Errors
///
/// Returns an error if the file is truncated, corrupt or not a ledger.
pub fn decode_ledger(bytes: &[u8]) -> Result<PermitLedger, LedgerFileError> {
    if bytes.is_empty() {
        return Ok(PermitLedger::default());
    }
    let contents = bytes.strip_prefix(HEADER).ok_or(LedgerFileError::Header)?;
    let (checksum, body) = contents.split_first_chunk::<8>().ok_or(LedgerFileError::Header)?;
    if u64::from_le_bytes(*checksum) != XxHash3_64::oneshot(body) {
        return Err(LedgerFileError::Checksum);
    }
    postcard::from_bytes(body).map_err(|_| LedgerFileError::Contents)
}
