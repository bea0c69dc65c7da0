//! The names of classes, members and proxies. Records refer to them by number.

use rusqlite::Connection;
use std::collections::BTreeMap;

/// The kind of object that a number in the records of a run refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NameKind {
    /// A request class.
    Class,
    /// A member.
    Member,
    /// The proxy itself, which has number 0.
    Proxy,
}

impl NameKind {
    /// Returns the kind with this name in the store, or `None` if this version does not know it.
    fn from_stored(kind: &str) -> Option<NameKind> {
        match kind {
            "class" => Some(NameKind::Class),
            "member" => Some(NameKind::Member),
            "proxy" => Some(NameKind::Proxy),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct NameKey {
    pub(super) run: i64,
    pub(super) kind: NameKind,
    pub(super) number: i64,
}

/// The name of a class, a member or a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name {
    /// The name; empty for the proxy itself.
    pub name: String,
    /// The latency objective of a class in microseconds, or the zone of a member or proxy.
    pub detail: String,
}

/// Reads the names of a store, except those of a kind that this version does not know.
pub(super) fn read_names(connection: &Connection) -> Result<BTreeMap<NameKey, Name>, rusqlite::Error> {
    let mut statement = connection.prepare("SELECT run, kind, number, name, more FROM names")?;
    let mut rows = statement.query([])?;
    let mut names = BTreeMap::new();
    while let Some(row) = rows.next()? {
        let stored_kind: String = row.get(1)?;
        let Some(kind) = NameKind::from_stored(&stored_kind) else { continue };
        let key = NameKey { run: row.get(0)?, kind, number: row.get(2)? };
        names.insert(key, Name { name: row.get(3)?, detail: row.get(4)? });
    }
    Ok(names)
}
