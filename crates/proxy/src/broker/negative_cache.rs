//! What is known to be missing, on a request's way: it may answer a read at once, and a write needs leave.

use super::*;

/// When a client whose write found no leave is to come back: a bank answers within this, or is away.
const LEAVE_MS: i64 = 500;

impl Broker {
    /// Asks what is known to be missing from now on.
    pub fn remembers(&mut self, lookups: Lookups) {
        self.lookups = lookups;
    }

    /// Answers a request that has just been taken, where no member needs to be asked or none may be.
    pub(super) fn settled_at_once(&mut self, id: RequestId, now: Micros, after_ms: Option<i64>) -> bool {
        let Some(open) = self.requests.get(&id) else { return false };
        let class = open.class;
        let known = open.touch.as_ref().and_then(|asked| self.lookups.answer(now, class, asked, after_ms));
        if let Some(messages) = known {
            self.count(id, "served", "missing");
            self.note_end(id, |journal, ended| journal.served(ended));
            self.answer(id, FinalResponse::Served(messages));
            return true;
        }
        if self.lookups.may_send(now, class) {
            return false;
        }
        self.count(id, "refused", "no_leave");
        self.answer(id, FinalResponse::Rejected { retry_after_ms: LEAVE_MS });
        true
    }

    /// A member's whole answer has come: what it tells of the key that was asked for.
    pub(super) fn looked_up(&self, id: RequestId, position: Option<Micros>, answer: &MemberResponse) {
        let open = self.requests.get(&id);
        if let Some((open, asked)) = open.and_then(|open| Some((open, open.touch.as_ref()?))) {
            self.lookups.heard(self.clock.now(), open.class, asked, position, answer);
        }
    }
}
