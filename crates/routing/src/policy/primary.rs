//! Which member of a group is its primary, what it may be asked, and how it is found when none is known.

use super::*;

/// First and longest pause between rounds of probes for a primary, and the pause after a round of
/// writes that tried all members; a searching write keeps attempts back for the primary.
const SEARCH_PAUSE: Micros = 150_000;
const SEARCH_LONGEST: Micros = 1_200_000;
const ROUND_PAUSE: Micros = 1_000_000;
const SPARE_ATTEMPTS: u32 = 2;
/// The part of a primary's limit for reads that replicas could serve, and how much sooner they are shed.
const SPILL_SHARE: f64 = 0.75;
const SPILL_WEIGHT: f64 = 3.0;

impl Router {
    /// The member with the newest proof of being primary that nothing newer denies.
    pub(super) fn leader(&self, group: GroupId) -> Option<HostId> {
        let claims =
            self.kin(group).filter(|(_, m)| m.status == EndpointStatus::Up && m.primary_at > m.replica_at);
        claims.max_by_key(|(_, m)| m.primary_at).map(|(host, _)| host)
    }

    /// The leader, if it may be asked this now; `spilled`: a read that replicas could serve.
    pub(super) fn ask_leader(&mut self, id: RequestId, group: GroupId, spilled: bool) -> Option<HostId> {
        let Some(leader) = self.leader(group).filter(|h| self.members[h].usable()) else {
            self.search(group);
            return None;
        };
        self.groups.get_mut(&group)?.search_pause = SEARCH_PAUSE;
        let (m, p) = (&self.members[&leader], self.pending.get(&id)?);
        let crowded = m.flights.len() as f64 + 1.0 > m.limit * SPILL_SHARE;
        let admitted = !spilled || (!crowded && self.admitted(id, p, true, SPILL_WEIGHT));
        let able = m.room(self.now) && self.doubt(m) < WARY && self.budget(m) >= 1.0;
        (admitted && able).then_some(leader)
    }

    /// Writes find the primary by trying members in turn, one at a time for the whole group; after
    /// a round of misses probes go on looking.
    pub(super) fn write(&mut self, id: RequestId, group: GroupId) -> Option<HostId> {
        if self.leader(group).is_some_and(|h| self.members[&h].usable()) {
            self.groups.get_mut(&group)?.tried.clear();
            return self.ask_leader(id, group, false);
        }
        let (g, p) = (self.groups.get(&group)?, self.pending.get(&id)?);
        let scouting = g.scout.is_some_and(|s| s != id && self.pending.contains_key(&s));
        let spare = p.attempts + SPARE_ATTEMPTS < self.settings.max_attempts;
        if scouting || self.now < g.round_at || !spare || p.ran_at.is_some() {
            self.search(group);
            return None;
        }
        let able = |(h, m): &(HostId, &Member)| m.usable() && !g.tried.contains(h) && self.budget(m) >= 1.0;
        let rank = |m: &Member| (m.primary_at > m.replica_at, m.head, -m.replica_at, m.position, m.local);
        let next = self.kin(group).filter(able).max_by_key(|(_, m)| rank(m)).map(|(host, _)| host);
        let g = self.groups.get_mut(&group)?;
        g.scout = next.map(|_| id);
        g.tried.extend(next);
        if next.is_none() {
            g.round_at = self.now + ROUND_PAUSE;
            g.tried.clear();
            self.search(group);
        }
        next
    }

    fn search(&mut self, group: GroupId) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        if self.settings.may_probe && self.now >= g.search_at {
            g.search_pause = (g.search_pause * 2).clamp(SEARCH_PAUSE, SEARCH_LONGEST);
            g.search_at = self.now + g.search_pause;
            g.members.clone().into_iter().for_each(|host| self.probe(host, ProbePurpose::PrimarySearch));
        }
    }
}
