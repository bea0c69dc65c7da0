//! Anti-entropy: the exchange by which two proxies find and repair the differences between their stores.
//!
//! 1. The first proxy sends the digests of its buckets ([`Message::DigestRequest`]).
//! 2. The second answers with all its entries in the buckets that differ, range by range
//!    ([`Message::Ranges`]).
//! 3. The first merges these and sends back the entries that the second lacks or holds in an older version
//!    ([`Message::Repair`]).
//!
//! No state is kept between the messages, so each may be lost, duplicated or delayed.

use crate::claims::ClaimMessage;
use crate::entry::Entry;
use crate::key::Key;
use crate::store::Store;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum size of the body of one message, in bytes.
pub const MAX_BODY_BYTES: usize = 1200;

/// The size of an empty range in a message body, and the additional size of its start key, in bytes.
const RANGE_BYTES: usize = 8;
const RANGE_START_BYTES: usize = 12;

/// A message between proxies.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Entries that changed. Most are piggybacked on the membership's datagrams.
    Delta(Vec<(Key, Entry)>),
    /// The digests of all of the sender's buckets; requests the entries of those that differ.
    #[serde(rename = "Ask")]
    DigestRequest(Vec<u64>),
    /// All entries that the sender holds in the given key ranges.
    #[serde(rename = "Tell")]
    Ranges(Vec<KeyRange>),
    /// Entries that the receiver lacked or held in an older version.
    #[serde(rename = "Fill")]
    Repair(Vec<(Key, Entry)>),
    /// A message about the claim of a write. Proxies of earlier versions do not decode it.
    Claim(ClaimMessage),
}

/// All entries that a proxy holds in a range of keys of one bucket.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The bucket.
    #[serde(rename = "leaf")]
    pub bucket: u16,
    /// The first key of the range; `None`: the start of the bucket.
    pub from: Option<Key>,
    /// The first key after the range; `None`: the end of the bucket.
    pub to: Option<Key>,
    /// The entries of the range in key order.
    pub entries: Vec<(Key, Entry)>,
}

impl KeyRange {
    fn starting_at(bucket: usize, from: Option<Key>) -> KeyRange {
        KeyRange { bucket: bucket as u16, from, to: None, entries: Vec::new() }
    }
}

/// Returns the number of bytes that an entry takes in a message.
pub fn encoded_size(key: &Key, entry: &Entry) -> usize {
    postcard::to_allocvec(&(key, entry)).map_or(MAX_BODY_BYTES, |bytes| bytes.len())
}

/// Returns the buckets whose digests differ from those of a peer: none if the peer has a different number of
/// buckets, which no proxy of this version has.
pub fn differing_buckets(store: &Store, peer_digests: &[u64]) -> Vec<usize> {
    let digests = store.bucket_digests();
    if peer_digests.len() != digests.len() {
        return Vec::new();
    }
    let pairs = digests.iter().zip(peer_digests).enumerate();
    pairs.filter(|(_, (own, peer))| own != peer).map(|(bucket, _)| bucket).collect()
}

/// Answers a [`Message::DigestRequest`] with all entries of the buckets that differ, in at most
/// `max_messages` messages.
///
/// The answer begins with the first differing bucket from `first_bucket` on. If not all entries fit, a later
/// exchange that begins at another bucket covers the rest.
pub fn range_messages(
    store: &Store,
    peer_digests: &[u64],
    first_bucket: usize,
    max_messages: usize,
) -> Vec<Message> {
    let mut buckets = differing_buckets(store, peer_digests);
    let start = buckets.iter().position(|bucket| *bucket >= first_bucket).unwrap_or(0);
    buckets.rotate_left(start);

    let mut messages = Vec::new();
    let mut ranges = Vec::new();
    let mut body_bytes = 0;
    for bucket in buckets {
        let mut range = KeyRange::starting_at(bucket, None);
        body_bytes += RANGE_BYTES;
        for (key, entry) in store.bucket_entries(bucket, None) {
            let entry_bytes = encoded_size(key, entry);
            if body_bytes + entry_bytes > MAX_BODY_BYTES && body_bytes > RANGE_BYTES {
                range.to = Some(*key);
                ranges.push(range);
                messages.push(Message::Ranges(std::mem::take(&mut ranges)));
                if messages.len() >= max_messages {
                    return messages;
                }
                range = KeyRange::starting_at(bucket, Some(*key));
                body_bytes = RANGE_BYTES + RANGE_START_BYTES;
            }
            body_bytes += entry_bytes;
            range.entries.push((*key, *entry));
        }
        ranges.push(range);
    }
    if !ranges.is_empty() {
        messages.push(Message::Ranges(ranges));
    }
    messages
}

/// Returns the entries that the sender of a range lacks or holds in an older version. The entries of the
/// range must have been merged into the store before.
pub fn entries_missing_at_peer(store: &Store, range: &KeyRange) -> Vec<(Key, Entry)> {
    let peer_entries: BTreeMap<&Key, &Entry> =
        range.entries.iter().map(|(key, entry)| (key, entry)).collect();
    store
        .bucket_entries(usize::from(range.bucket), range.from)
        .take_while(|(key, _)| range.to.is_none_or(|to| **key < to))
        .filter(|(key, entry)| peer_entries.get(key).is_none_or(|peer_entry| *peer_entry != *entry))
        .map(|(key, entry)| (*key, *entry))
        .collect()
}

/// Splits entries into repair messages of at most [`MAX_BODY_BYTES`] and returns the first `max_messages` of
/// them.
pub fn repair_messages(entries: Vec<(Key, Entry)>, max_messages: usize) -> Vec<Message> {
    let mut messages = Vec::new();
    let mut body = Vec::new();
    let mut body_bytes = 0;
    for (key, entry) in entries {
        let entry_bytes = encoded_size(&key, &entry);
        if body_bytes + entry_bytes > MAX_BODY_BYTES && !body.is_empty() {
            messages.push(Message::Repair(std::mem::take(&mut body)));
            body_bytes = 0;
        }
        body_bytes += entry_bytes;
        body.push((key, entry));
    }
    if !body.is_empty() {
        messages.push(Message::Repair(body));
    }
    messages.truncate(max_messages);
    messages
}
