//! The negative cache of one proxy: its entries and the closed timestamps that advance them.

use crate::{
    Announcement, ClosedTimestamps, EntryTable, Freshness, Lookup, LookupResult, Micros, MissReason,
    NegativeCacheConfig, NegativeEntry, SealedSlot, StatementHash,
};
use std::collections::VecDeque;

/// Maximum number of announcements queued for sending. When the queue is full, the oldest is dropped.
const MAX_QUEUED_ANNOUNCEMENTS: usize = 1_024;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// Counters of a negative cache's operations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Reads answered from the cache.
    pub hits: u64,
    /// Reads that had to be sent to a member.
    pub misses: u64,
    /// Entries rejected because they were expired, too old to be useful, or had a position ahead of the local
    /// clock.
    pub rejected: u64,
    /// Entries not announced to other proxies because the rate limit or the queue limit was reached.
    pub unannounced: u64,
}

/// The negative cache of one proxy.
pub struct NegativeCache {
    config: NegativeCacheConfig,
    entries: EntryTable,
    closed_timestamps: ClosedTimestamps,
    announcements: VecDeque<Announcement>,
    /// The second that `announced_in_second` refers to.
    announcement_second: Micros,
    announced_in_second: u32,
    /// Counters of the cache's operations.
    pub stats: Stats,
}

impl NegativeCache {
    /// Creates an empty cache for a fleet with `servers` lease servers. Without lease servers entries never
    /// advance, so an entry answers reads only as long as its original position allows.
    pub fn new(config: NegativeCacheConfig, servers: usize, now: Micros) -> NegativeCache {
        let entries = EntryTable::new(config.max_frequent_entries, config.max_recent_entries);
        let closed_timestamps = ClosedTimestamps::new(config.clone(), servers, now);
        NegativeCache {
            config,
            entries,
            closed_timestamps,
            announcements: VecDeque::new(),
            announcement_second: 0,
            announced_in_second: 0,
            stats: Stats::default(),
        }
    }

    /// Looks up whether the key of a read is known to be missing in a state that is fresh enough.
    pub fn lookup(&mut self, now: Micros, lookup: &Lookup, freshness: Freshness) -> LookupResult {
        let result = match self.needed_position(now, freshness) {
            Ok(needed) => self.lookup_at_least(now, lookup, needed),
            Err(reason) => LookupResult::Miss(reason),
        };
        match result {
            LookupResult::KnownMissing { .. } => self.stats.hits += 1,
            LookupResult::Miss(_) => self.stats.misses += 1,
        }
        result
    }

    /// Returns the lowest position that is fresh enough, or why the read must go to a member.
    fn needed_position(&self, now: Micros, freshness: Freshness) -> Result<Micros, MissReason> {
        match freshness {
            Freshness::Any => Ok(Micros::MIN),
            // The clock that stamps commits may be ahead of the local clock.
            Freshness::MaxStaleness(age) => Ok(now + self.config.max_clock_skew - age),
            Freshness::Session(position) => position.ok_or(MissReason::SessionPositionUnknown),
            Freshness::Latest => Err(MissReason::LatestRequired),
        }
    }

    fn lookup_at_least(&mut self, now: Micros, lookup: &Lookup, needed: Micros) -> LookupResult {
        let closed_timestamps = &self.closed_timestamps;
        let result = self.entries.access(lookup.statement, |entry| {
            if now >= entry.expires_at {
                return LookupResult::Miss(MissReason::Expired);
            }
            if entry.primary != lookup.primary {
                return LookupResult::Miss(MissReason::PrimaryChanged);
            }
            if entry.position < needed {
                entry.position =
                    closed_timestamps.advance_position(entry.position, lookup.key, lookup.whole_group);
            }
            if entry.position < needed {
                return LookupResult::Miss(MissReason::TooOld { needed, known: entry.position });
            }
            LookupResult::KnownMissing { position: entry.position, response: entry.response }
        });
        if let Some(LookupResult::Miss(MissReason::Expired | MissReason::PrimaryChanged)) = result {
            self.entries.remove(lookup.statement);
        }
        result.unwrap_or(LookupResult::Miss(MissReason::NotCached))
    }

    /// Records that a member answered "no row".
    ///
    /// `position` is a position that the member had applied when it executed the read, rounded down. `lookup`
    /// is the lookup made when the statement was sent. If the group's primary has changed since, the answer
    /// is unusable and the caller must drop it.
    pub fn record_missing(&mut self, now: Micros, lookup: &Lookup, position: Micros, response: u32) {
        let entry = NegativeEntry {
            position,
            expires_at: now + self.config.entry_ttl,
            key: lookup.key,
            primary: lookup.primary,
            response,
        };
        let known_primary = self.entries.access(lookup.statement, |known| known.primary);
        // An entry recorded under another primary is replaced regardless of its position.
        if known_primary.is_some_and(|primary| primary != lookup.primary) {
            self.entries.remove(lookup.statement);
        }
        if self.insert(now, lookup.statement, entry) {
            let is_first_lookup = known_primary.is_none();
            self.announce(now, Announcement { statement: lookup.statement, entry }, is_first_lookup);
        }
    }

    /// Queues an announcement. Announcements of statements that were looked up only once are rate-limited,
    /// because an attacker can cause any number of them.
    fn announce(&mut self, now: Micros, announcement: Announcement, is_first_lookup: bool) {
        let second = now.div_euclid(MICROS_PER_SECOND);
        if second != self.announcement_second {
            self.announcement_second = second;
            self.announced_in_second = 0;
        }
        if is_first_lookup {
            self.announced_in_second += 1;
            if self.announced_in_second > self.config.max_announcements_per_second {
                self.stats.unannounced += 1;
                return;
            }
        }
        if self.announcements.len() >= MAX_QUEUED_ANNOUNCEMENTS {
            self.stats.unannounced += 1;
            self.announcements.pop_front();
        }
        self.announcements.push_back(announcement);
    }

    /// Records that a member answered with a row.
    pub fn record_present(&mut self, lookup: &Lookup) {
        self.entries.remove(lookup.statement);
    }

    /// Handles an announcement from another proxy. Returns whether it was new and should be forwarded.
    pub fn on_announcement(&mut self, now: Micros, announcement: &Announcement) -> bool {
        let expires_at = announcement.entry.expires_at.min(now + self.config.entry_ttl);
        let entry = NegativeEntry { expires_at, ..announcement.entry };
        self.insert(now, announcement.statement, entry)
    }

    fn insert(&mut self, now: Micros, statement: StatementHash, entry: NegativeEntry) -> bool {
        let is_ahead = entry.position > now + self.config.max_clock_skew;
        let is_too_old = entry.position < now - self.config.entry_ttl;
        let is_expired = entry.expires_at <= now;
        if is_ahead || is_too_old || is_expired {
            self.stats.rejected += 1;
            return false;
        }
        self.entries.insert(statement, entry)
    }

    /// Removes and returns up to `max` queued announcements for the other proxies, oldest first.
    pub fn take_announcements(&mut self, max: usize) -> Vec<Announcement> {
        let count = max.min(self.announcements.len());
        self.announcements.drain(..count).collect()
    }

    /// Handles a slot sealed by a server. Returns whether the seal was new and should be forwarded.
    pub fn on_sealed_slot(&mut self, now: Micros, seal: &SealedSlot) -> bool {
        self.closed_timestamps.apply(now, seal)
    }

    /// Merges another proxy's closed timestamps into those of this proxy.
    pub fn merge_closed_timestamps(&mut self, now: Micros, other: &ClosedTimestamps) {
        self.closed_timestamps.advance(now);
        self.closed_timestamps.merge(other);
    }

    /// Returns the closed timestamps known to this proxy.
    pub fn closed_timestamps(&self) -> &ClosedTimestamps {
        &self.closed_timestamps
    }

    /// Returns the table of entries.
    pub fn entries(&mut self) -> &mut EntryTable {
        &mut self.entries
    }
}
