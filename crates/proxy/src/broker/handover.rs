//! A process that replaces this one, or that this one replaces: the two form one proxy.

use super::*;
use std::path::PathBuf;
use wharfplank_admin::{Call, Holds, Learned, State, Ways, Word};
use wharfplank_protocol::endpoint_list;
use wharfplank_transport::handover::{self as handover_socket, Inherited, Link, Other, Post};

/// How often the other process is told what this one holds.
const TELL_EVERY: Micros = 100_000;

/// What there is to replace a process with.
pub(super) struct Replacement {
    post: PathBuf,
    /// Listens there; dropping it ends that, so that one listens at a time however many successors die.
    posted: Option<Task<()>>,
    /// Until this process takes no connections any more: it closes then, unless another has it too.
    listener: Option<Rc<Async<TcpListener>>>,
    all: Holds,
    succession: Succession,
    link: Option<Link>,
    /// Calls whose answers wait for the other process.
    waiting: Vec<(u64, Asking, String)>,
    learned: Vec<Learned>,
    told: Holds,
    tell_at: Micros,
    serves: bool,
}

impl Broker {
    /// Another process may take over from now on, and `inherited` is what this one took over.
    pub fn replaceable(
        &mut self,
        post: PathBuf,
        listener: Rc<Async<TcpListener>>,
        all: Holds,
        inherited: Option<Inherited>,
    ) {
        let mut r = Replacement {
            post,
            posted: None,
            listener: Some(listener),
            all,
            succession: Succession::default(),
            link: None,
            waiting: Vec::new(),
            learned: Vec::new(),
            told: Holds::default(),
            tell_at: 0,
            serves: inherited.is_none(),
        };
        match inherited {
            Some(inherited) => {
                let state = inherited.state.clone();
                log::replacement("replaces another", state.out.len());
                self.cordons = Cordons::new(state.out, state.back);
                (r.learned, r.succession) = (state.learned, Succession::younger(state.holds));
                r.link = Some(inherited.link(&self.shared.executor, self.events.clone()));
            }
            None => r.posted = self.open_post(&r.post),
        }
        self.replacement = Some(r);
        self.share_out();
    }

    /// Lets the next process find this one.
    fn open_post(&self, path: &std::path::Path) -> Option<Task<()>> {
        let post = Post::open(path);
        let fault = |e| log::replacement(&format!("cannot be replaced: {}: {e}", path.display()), 0);
        let post = post.map_err(fault).ok()?;
        Some(self.shared.executor.spawn(post.listen(self.events.clone())))
    }

    /// Puts this process in the place where the next one looks, whoever stands there.
    fn take_post(&mut self) {
        let Some(post) = self.replacement.as_ref().map(|r| r.post.clone()) else { return };
        let posted = self.open_post(&post);
        if let Some(r) = &mut self.replacement {
            r.posted = posted;
        }
    }

    /// Tells the router what the process before this one had learnt of members.
    pub(super) fn recall(&mut self) {
        let learned = self.replacement.as_mut().map(|r| std::mem::take(&mut r.learned)).unwrap_or_default();
        let now = self.clock.now();
        let told = learned.into_iter().filter_map(|l| {
            let (host, traits) = (*self.names.get(&l.id)?, l.ways.map(|ways| ways.traits(now)));
            Some(routing::Told { host, position: l.position, suspected_at: l.suspected_at, traits })
        });
        let told: Vec<_> = told.collect();
        if !told.is_empty() {
            self.tell(routing::Event::Told(told));
        }
    }

    /// Carries out an operator's call, and answers it once the other process has heard of it too, if there is one.
    pub(super) fn operator(&mut self, asking: Asking) {
        let text = self.operate(&asking.call);
        let (id, out) = match &asking.call {
            Call::Cordon(id) => (id.clone(), true),
            Call::Uncordon(id) => (id.clone(), false),
            _ => return asking.answer(text),
        };
        let at = self.clock.now();
        let Some(r) = self.replacement.as_mut().filter(|_| text.starts_with("ok")) else {
            return asking.answer(text);
        };
        match (r.succession.call(at), &r.link) {
            (Some(number), Some(link)) if link.say(Word::Cordon { number, id, out, at }) => {
                r.waiting.push((number, asking, text))
            }
            _ => asking.answer(text),
        }
    }

    /// Takes what is heard of the other process.
    pub(super) fn other(&mut self, other: Other) {
        let held = self.held();
        let Some(r) = &mut self.replacement else { return };
        match other {
            Other::Asks(stream) => {
                // Without a socket to give it is as if nobody had been asked.
                let Some(listener) = r.listener.clone() else { return };
                if r.succession.asked(held) {
                    let state = self.state(held);
                    log::replacement("is being replaced", state.out.len());
                    let Some(r) = &mut self.replacement else { return };
                    let (executor, events) = (&self.shared.executor, self.events.clone());
                    r.link = Some(Link::give(executor, stream, listener, &state, events));
                } else {
                    self.shared.executor.spawn(handover_socket::turn_away(stream)).detach();
                }
            }
            Other::Says(Word::Serving) => {
                log::replacement("the other serves", 0);
                r.succession.relieved();
            }
            Other::Says(Word::Holds(holds)) => r.succession.holds(holds),
            Other::Says(Word::Heard(number)) => {
                if r.succession.heard(number) {
                    self.answer_calls(&[number]);
                }
            }
            Other::Says(Word::Cordon { number, id, out, at }) => {
                // It was known there: here, too, or it is about to be.
                let done =
                    if out { self.cordons.cordon(&id, true) } else { self.cordons.uncordon(&id, true, at) };
                self.cordoned(&id, done);
                let link = self.replacement.as_ref().and_then(|r| r.link.as_ref());
                link.into_iter().for_each(|link| {
                    link.say(Word::Heard(number));
                });
            }
            Other::Lost => {
                log::replacement("the other is gone", 0);
                r.link = None;
                // The successor may have put its own socket in the place of this one's.
                let older = r.succession.tells_holds();
                let waited = r.succession.lost();
                if older && r.listener.is_some() {
                    self.take_post();
                }
                self.answer_calls(&waited);
            }
        }
        self.share_out();
    }

    /// Gives up the listening socket, and the place where the next process would ask for it.
    pub(super) fn leave_socket(&mut self) {
        if let Some(r) = &mut self.replacement {
            (r.listener, r.posted) = (None, None);
        }
    }

    fn answer_calls(&mut self, numbers: &[u64]) {
        let Some(r) = &mut self.replacement else { return };
        let waiting = std::mem::take(&mut r.waiting);
        let (done, left): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(n, ..)| numbers.contains(n));
        r.waiting = left;
        done.into_iter().for_each(|(_, asking, text)| asking.answer(text));
    }

    /// What the clock brings about between the two.
    pub(super) fn attend(&mut self) {
        let (now, ready, held) = (self.clock.now(), self.ready, self.held());
        let Some(r) = &mut self.replacement else { return };
        let late = r.succession.overdue(now);
        if r.succession.tells_holds() && now >= r.tell_at && held != r.told {
            (r.tell_at, r.told) = (now + TELL_EVERY, held);
            r.link.iter().for_each(|link| {
                link.say(Word::Holds(held));
            });
        }
        let begins = ready && !r.serves;
        r.serves |= ready;
        if begins {
            r.link.iter().for_each(|link| {
                link.say(Word::Serving);
            });
            self.take_post();
            self.share_out();
        }
        if !late.is_empty() {
            self.answer_calls(&late);
        }
    }

    /// When [`Broker::attend`] has something to do although nothing happens.
    pub(super) fn attends_at(&self) -> Micros {
        let Some(r) = &self.replacement else { return Micros::MAX };
        let tell = if r.succession.tells_holds() { self.clock.now() + TELL_EVERY } else { Micros::MAX };
        r.succession.due().unwrap_or(Micros::MAX).min(tell)
    }

    fn held(&self) -> Holds {
        Holds { clients: self.clients.open(), members: self.shared.open.get() }
    }

    /// Puts this process's share of connections into force.
    fn share_out(&mut self) {
        let Some(r) = &self.replacement else { return };
        let most = r.succession.most(r.all);
        self.clients.limit(most.clients);
        self.shared.most.set(most.members);
        self.clients.take_new(r.succession.takes(self.ready));
    }

    fn state(&self, holds: Holds) -> State {
        let names = self.by_host();
        let learned = self.router.view().filter_map(|view| {
            let (id, suspected_at) = (names.get(&view.host)?.to_string(), view.suspected.unwrap_or(0));
            Some(Learned { id, position: view.position, suspected_at, ways: Some(Ways::of(view.traits)) })
        });
        let hosts = self.listed.values().cloned().collect();
        State {
            version: wharfplank_admin::succession::VERSION,
            list: endpoint_list::to_json(&EndpointList {
                version: self.seq,
                complete: true,
                endpoints: hosts,
            }),
            out: self.cordons.out().map(str::to_string).collect(),
            back: self.cordons.back().map(|(id, at)| (id.to_string(), at)).collect(),
            learned: learned.collect(),
            holds,
        }
    }
}
