//! Whether one more may go out: what the allowance leaves, and what the bank knows of the release that asks.

use crate::bank::{Cause, CONTROLS_MOST};
use crate::{Ask, Bank, Id, Launch, Place, Refusal};

impl Bank {
    /// Whether one may go out, and whether only where it doesn't serve; an error without a reason: it may already.
    pub(crate) fn may_go(
        &mut self,
        out: &[(Place, Cause)],
        ask: &Ask,
        id: Id,
        launch: Launch,
    ) -> Result<bool, Option<Refusal>> {
        let place = self.roster.place(id).filter(|place| self.roster.bank_of(place.group) == self.me);
        let (Some(place), Some(ledger)) = (place, self.ledger.as_mut()) else {
            return Err(Some(Refusal::Closed));
        };
        if ask.roster != self.roster.digest() {
            return Err(Some(Refusal::Roster));
        }
        let control = ledger.controls.entry(ask.plan).or_default();
        let stale = ask.control < *control || self.sights.get(&id).is_some_and(|sight| sight.launch > launch);
        if ask.control > *control {
            *control = ask.control;
            ledger.changes += 1;
        }
        while ledger.controls.len() > CONTROLS_MOST {
            ledger.controls.pop_first();
        }
        if stale {
            return Err(Some(Refusal::Stale));
        }
        let down = self.sights.get(&id).is_some_and(|sight| sight.launch == launch && sight.down);
        match ledger.held.get(&id) {
            Some(held) if held.plan != ask.plan => return Err(Some(Refusal::Held)),
            Some(held) if held.permit.launch > launch => return Err(Some(Refusal::Stale)),
            Some(held) if held.permit.launch == launch => return Err(None),
            _ => {}
        }
        // What is out already adds nothing, as long as the order is followed only where it still doesn't serve. That
        // is for its agent to know: one that the broker alone doubts needs a place.
        if down {
            return Ok(true);
        }
        self.within(out, place).map_or(Ok(false), |refusal| Err(Some(refusal)))
    }

    /// What forbids that one more goes out.
    fn within(&self, out: &[(Place, Cause)], place: Place) -> Option<Refusal> {
        let (mine, allowance) = (|group| self.roster.bank_of(group) == self.me, self.roster.allowance());
        let others = |keep: &dyn Fn(&Place) -> bool| {
            out.iter().filter(|(other, _)| other.id != place.id && keep(other)).count() as u32
        };
        // What is out of another bank's groups beyond its part is taken from every other bank's: nobody knows which
        // of them would else let one more go.
        let beyond = |part: u32, keep: &dyn Fn(&Place) -> bool| -> u32 {
            let of = |bank| others(&|other| keep(other) && self.roster.bank_of(other.group) == bank);
            (0..self.roster.banks())
                .filter(|bank| *bank != self.me)
                .map(|bank| of(bank).saturating_sub(part))
                .sum()
        };
        if others(&|other| other.group == place.group) + 1 > allowance.group {
            return Some(Refusal::Group);
        }
        let (part, here) = (self.roster.zone_part(), |other: &Place| other.zone == place.zone);
        if others(&|other| here(other) && mine(other.group)) + 1 + beyond(part, &here) > part {
            return Some(Refusal::Zone);
        }
        let part = self.roster.fleet_part();
        if others(&|other| mine(other.group)) + 1 + beyond(part, &|_| true) > part {
            return Some(Refusal::Fleet);
        }
        self.role(out, place)
    }
}
