//! Retention: removes expired data, and the oldest blocks of a store that is too large.

use super::{Store, StoreError};
use crate::record::Micros;
use rusqlite::params;

/// The maximum number of expired blocks that one step removes, so that a step stays short.
const MAX_BLOCKS_PER_STEP: usize = 512;
/// The maximum number of blocks that one step removes because the file is too large.
const MAX_BLOCKS_PER_STEP_OVER_SIZE: usize = MAX_BLOCKS_PER_STEP / 8;
/// The maximum number of free pages that one step returns to the file system.
const VACUUM_PAGES_PER_STEP: usize = MAX_BLOCKS_PER_STEP * 4;

impl Store {
    /// Removes expired and excess data in one short step. Returns whether there may be more to remove.
    ///
    /// # Errors
    ///
    /// Returns an error from `SQLite`; part of the step may already have been applied.
    pub fn apply_retention(&mut self, now: Micros) -> Result<bool, StoreError> {
        let is_over_size = self.used_bytes()? > self.limits.max_bytes;
        let removed = self.remove_blocks(now, is_over_size)?;
        self.remove_summaries(now)?;
        if removed > 0 {
            self.connection.execute_batch(&format!("PRAGMA incremental_vacuum({VACUUM_PAGES_PER_STEP})"))?;
        }
        Ok(removed == MAX_BLOCKS_PER_STEP || (is_over_size && removed > 0))
    }

    /// Returns the size of the file without its free pages, in bytes.
    fn used_bytes(&self) -> Result<u64, rusqlite::Error> {
        let page_size = self.pragma("page_size")?;
        let used_pages = self.pragma("page_count")? - self.pragma("freelist_count")?;
        Ok(u64::try_from(used_pages * page_size).unwrap_or(0))
    }

    fn pragma(&self, name: &str) -> Result<i64, rusqlite::Error> {
        self.connection.query_row(&format!("PRAGMA {name}"), [], |row| row.get(0))
    }

    /// Removes the oldest blocks: expired ones, or blocks of any age if the file is too large.
    fn remove_blocks(&self, now: Micros, is_over_size: bool) -> Result<usize, rusqlite::Error> {
        let oldest = now - self.limits.block_retention;
        let max_blocks = if is_over_size { MAX_BLOCKS_PER_STEP_OVER_SIZE } else { MAX_BLOCKS_PER_STEP };
        self.connection.execute(
            "DELETE FROM blocks WHERE id IN (SELECT id FROM blocks WHERE until < ?1 OR ?2 ORDER BY until LIMIT ?3)",
            params![oldest, is_over_size, max_blocks as i64],
        )
    }

    /// Removes expired summaries, and the names and runs of that time. The current run is kept.
    fn remove_summaries(&self, now: Micros) -> Result<(), rusqlite::Error> {
        let oldest = now - self.limits.summary_retention;
        self.connection.execute("DELETE FROM sums WHERE window < ?1", [oldest])?;
        self.connection
            .execute("DELETE FROM names WHERE run IN (SELECT run FROM runs WHERE alive < ?1)", [oldest])?;
        self.connection
            .execute("DELETE FROM runs WHERE alive < ?1 AND run != ?2", params![oldest, self.run])?;
        Ok(())
    }
}
