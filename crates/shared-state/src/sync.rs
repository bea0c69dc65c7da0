//! Anti-entropy between two proxies, without state between messages: one asks with the digests of its leaves; the other
//! tells, range by range, all that it holds of the leaves that differ; the first merges that and fills in what the
//! other lacked or had older. Any message may be lost, come twice or late: each is true by itself.

use crate::entry::{Entry, Key};
use crate::store::Store;
use serde::{Deserialize, Serialize};

/// The most bytes of one message's body.
pub const BODY_MOST: usize = 1200;

/// What proxies send each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// What changed; it rides on the membership's datagrams.
    Delta(Vec<(Key, Entry)>),
    /// The digests of the sender's leaves: tell what differs.
    Ask(Vec<u64>),
    /// All that the sender holds of ranges of keys.
    Tell(Vec<Range>),
    /// What the receiver lacked or had older.
    Fill(Vec<(Key, Entry)>),
}

/// All that a proxy holds of a leaf's keys from one key on and before another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Range {
    /// The leaf.
    pub leaf: u16,
    /// From this key on; `None`: from the first.
    pub from: Option<Key>,
    /// Before this key; `None`: to the last.
    pub to: Option<Key>,
    /// What is held there.
    pub entries: Vec<(Key, Entry)>,
}

/// The bytes that an entry takes in a message.
pub fn size(key: &Key, entry: &Entry) -> usize {
    postcard::to_allocvec(&(key, entry)).map_or(BODY_MOST, |bytes| bytes.len())
}

/// The leaves whose digests differ. Digests of another number of leaves, which no proxy of this version sends, differ
/// nowhere: nothing is told then.
pub fn differing(store: &Store, digests: &[u64]) -> Vec<usize> {
    if digests.len() != store.leaves().len() {
        return Vec::new();
    }
    let pairs = store.leaves().iter().zip(digests).enumerate();
    pairs.filter(|(_, (mine, theirs))| mine != theirs).map(|(leaf, _)| leaf).collect()
}

/// Tells what is held of the leaves that differ, in at most so many messages. It begins with leaf `first`, so that
/// where not all fit another exchange gets to the others.
pub fn tell(store: &Store, digests: &[u64], first: usize, messages: usize) -> Vec<Message> {
    let mut leaves = differing(store, digests);
    let start = leaves.iter().position(|leaf| *leaf >= first).unwrap_or(0);
    leaves.rotate_left(start);
    let (mut out, mut ranges, mut bytes) = (Vec::new(), Vec::new(), 0);
    for leaf in leaves {
        let mut range = Range { leaf: leaf as u16, from: None, to: None, entries: Vec::new() };
        bytes += 8;
        for (key, entry) in store.leaf(leaf, None) {
            let needs = size(key, entry);
            if bytes + needs > BODY_MOST && bytes > 8 {
                range.to = Some(*key);
                let next = Range { leaf: leaf as u16, from: Some(*key), to: None, entries: Vec::new() };
                ranges.push(std::mem::replace(&mut range, next));
                out.push(Message::Tell(std::mem::take(&mut ranges)));
                if out.len() >= messages {
                    return out;
                }
                bytes = 8 + 12;
            }
            bytes += needs;
            range.entries.push((*key, *entry));
        }
        ranges.push(range);
    }
    if !ranges.is_empty() {
        out.push(Message::Tell(ranges));
    }
    out
}

/// What the sender of a range lacks or has older, now that what it told has been merged.
pub fn lacking(store: &Store, range: &Range) -> Vec<(Key, Entry)> {
    let within = |key: &Key| range.to.is_none_or(|to| *key < to);
    let told: std::collections::BTreeMap<&Key, &Entry> = range.entries.iter().map(|(k, e)| (k, e)).collect();
    let mine = store.leaf(usize::from(range.leaf), range.from).take_while(|(key, _)| within(key));
    let lacks = |(key, entry): &(&Key, &Entry)| told.get(key).is_none_or(|theirs| *theirs != *entry);
    mine.filter(lacks).map(|(key, entry)| (*key, *entry)).collect()
}

/// Entries as messages that fit, at most so many.
pub fn fill(entries: Vec<(Key, Entry)>, messages: usize) -> Vec<Message> {
    let (mut out, mut now, mut bytes) = (Vec::new(), Vec::new(), 0);
    for (key, entry) in entries {
        let needs = size(&key, &entry);
        if bytes + needs > BODY_MOST && !now.is_empty() {
            out.push(Message::Fill(std::mem::take(&mut now)));
            bytes = 0;
        }
        bytes += needs;
        now.push((key, entry));
    }
    if !now.is_empty() {
        out.push(Message::Fill(now));
    }
    out.truncate(messages);
    out
}
