//! What the fleet's thread tells the serving thread: a ring, and behind it what waits for the broker, where the newer
//! takes the place of the older. Writes in doubt never wait for the broker: they are merged when they are asked about.

use super::Said;
use crate::worker::RingReceiver;
use crate::ProxyEvent;
use async_channel::Sender;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use wharfplank_routing::Micros;
use wharfplank_shared_state::{InDoubtWrites, StateUpdate, WriteOutcome, WriteRecord, MAX_ENTRIES};

/// News that may wait for the broker; past that the oldest go. They are lower bounds, and come again.
const NEWS_MOST: usize = 4096;

/// What the fleet's thread tells.
#[derive(Debug)]
pub enum Told {
    /// The part of reads that each named zone may take; others take all.
    Shares(Vec<(String, f64)>),
    /// The members that the fleet does not hold sound, and what the latency of each counts for.
    Factors(Vec<(u64, f64)>),
    /// What other proxies learned.
    News(Vec<StateUpdate>),
}

/// The serving thread's end.
pub(super) struct Heard {
    told: RingReceiver<Told>,
    doubts: InDoubtWrites,
    shares: Option<Vec<(String, f64)>>,
    factors: Option<Vec<(u64, f64)>>,
    news: Vec<StateUpdate>,
}

impl Heard {
    /// Nothing heard yet but the writes in doubt that a snapshot brought.
    pub(super) fn new(told: RingReceiver<Told>, known: Vec<WriteRecord>) -> Heard {
        let mut doubts = InDoubtWrites::new(MAX_ENTRIES);
        known.into_iter().for_each(|record| doubts.merge(record));
        Heard { told, doubts, shares: None, factors: None, news: Vec::new() }
    }

    /// What this proxy knows itself of a write: it holds here at once, whatever the fleet's thread does.
    pub(super) fn doubt(&mut self, now: Micros, write: u64, outcome: WriteOutcome) {
        self.doubts.expire(now);
        self.doubts.merge(WriteRecord { write, outcome, refreshed_at: now });
    }

    /// Whether a write may have run, by all that the fleet's thread has told until now.
    pub(super) fn in_doubt(&mut self, write: u64) -> bool {
        while let Some(told) = self.told.try_recv() {
            self.take(told);
        }
        self.doubts.contains(write)
    }

    fn take(&mut self, told: Told) {
        match told {
            Told::Shares(shares) => self.shares = Some(shares),
            Told::Factors(factors) => self.factors = Some(factors),
            Told::News(news) => news.into_iter().for_each(|news| match news {
                StateUpdate::Write(record) => self.doubts.merge(record),
                other => self.news.push(other),
            }),
        }
        let over = self.news.len().saturating_sub(NEWS_MOST);
        self.news.drain(..over);
    }

    /// The next event for the broker; `None` once the thread has ended.
    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<ProxyEvent>> {
        let ended = loop {
            match self.told.poll_recv(cx) {
                Poll::Ready(Some(told)) => self.take(told),
                Poll::Ready(None) => break true,
                Poll::Pending => break false,
            }
        };
        let shares = self.shares.take().map(ProxyEvent::ZoneShares);
        let factors = || self.factors.take().map(ProxyEvent::MemberFactors);
        let next = shares.or_else(factors).or_else(|| {
            (!self.news.is_empty()).then(|| ProxyEvent::PeerNews(std::mem::take(&mut self.news)))
        });
        match next {
            Some(event) => Poll::Ready(Some(event)),
            None if ended => Poll::Ready(None),
            None => Poll::Pending,
        }
    }
}

/// Passes on to the broker what is told. Where the thread failed, nobody will say when a zone is back or a member sound:
/// all zones and members count in full again, as they do alone.
pub(super) async fn relay(heard: Rc<RefCell<Heard>>, events: Sender<ProxyEvent>, say: fn(Said<'_>)) {
    while let Some(event) = poll_fn(|cx| heard.borrow_mut().poll_event(cx)).await {
        let _ = events.send(event).await;
    }
    if heard.borrow().told.has_panicked() {
        say(Said::Failed);
        for event in [ProxyEvent::ZoneShares(Vec::new()), ProxyEvent::MemberFactors(Vec::new())] {
            let _ = events.send(event).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::worker::ring;
    use futures_lite::future::{block_on, poll_once};

    fn doubt(write: u64) -> StateUpdate {
        StateUpdate::Write(WriteRecord { write, outcome: WriteOutcome::InDoubt, refreshed_at: 1 })
    }

    #[test]
    fn a_doubt_holds_as_soon_as_it_is_told_and_the_broker_still_hears_the_rest() {
        let (mut told, inbox) = ring(8);
        let mut heard = Heard::new(
            inbox,
            vec![WriteRecord { write: 1, outcome: WriteOutcome::Executed, refreshed_at: 1 }],
        );
        told.send(Told::Shares(vec![("a".to_string(), 0.0)]));
        told.send(Told::News(vec![doubt(2), StateUpdate::Suspected { member: 7, since: 3 }]));
        assert!(heard.in_doubt(1) && heard.in_doubt(2) && !heard.in_doubt(3));
        heard.doubt(5, 3, WriteOutcome::InDoubt);
        assert!(heard.in_doubt(3));
        told.send(Told::Shares(vec![("a".to_string(), 1.0)]));
        drop(told);
        let events: Vec<Option<ProxyEvent>> =
            (0..3).map(|_| block_on(poll_fn(|cx| heard.poll_event(cx)))).collect();
        assert!(
            matches!(&events[0], Some(ProxyEvent::ZoneShares(shares)) if shares[0].1 == 1.0),
            "the newest alone"
        );
        let news = |news: &[StateUpdate]| news == [StateUpdate::Suspected { member: 7, since: 3 }];
        assert!(matches!(&events[1], Some(ProxyEvent::PeerNews(told)) if news(told)));
        assert!(events[2].is_none());
    }

    #[test]
    fn what_waits_for_the_broker_is_bounded() {
        let (mut told, inbox) = ring(8);
        let mut heard = Heard::new(inbox, Vec::new());
        for nth in 0..3 * NEWS_MOST as u64 {
            told.send(Told::News(vec![StateUpdate::Suspected { member: nth, since: 1 }]));
            assert!(!heard.in_doubt(9));
        }
        assert_eq!((heard.news.len(), told.dropped()), (NEWS_MOST, 0));
        assert!(matches!(
            block_on(poll_once(poll_fn(|cx| heard.poll_event(cx)))),
            Some(Some(ProxyEvent::PeerNews(_)))
        ));
    }

    #[test]
    fn a_thread_that_failed_leaves_no_zone_out() {
        let (mut told, inbox) = ring(8);
        let heard = Rc::new(RefCell::new(Heard::new(inbox, Vec::new())));
        let (events, received) = async_channel::bounded(8);
        let failing = std::thread::spawn(move || {
            told.send(Told::Shares(vec![("a".to_string(), 0.0)]));
            panic!("as the test wants it");
        });
        assert!(failing.join().is_err());
        block_on(relay(heard, events, |said| assert!(matches!(said, Said::Failed))));
        let heard: Vec<ProxyEvent> = std::iter::from_fn(|| received.try_recv().ok()).collect();
        assert!(
            matches!(&heard[..], [ProxyEvent::ZoneShares(left), ProxyEvent::ZoneShares(back), ProxyEvent::MemberFactors(none)]
            if left.len() == 1 && back.is_empty() && none.is_empty())
        );
    }
}
