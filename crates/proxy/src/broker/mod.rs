//! The broker: it alone owns the router and the tables of requests and attempts. It feeds the drivers'
//! events to the router and carries its actions out.

mod admin_calls;
mod attempts;
mod budgets;
mod endpoints;
mod handover;
mod health_checks;
mod lifecycle;
mod negative_cache;
mod requests;
mod streaming;

use attempts::{Allowed, Flight};
use budgets::Barred;
use endpoints::{hash, suspects, zone_number};
use handover::Replacement;
use requests::Open;

use super::clock::Clock;
use super::config::{Config, SEND_MARGIN};
use super::counts::{self, Counts};
use super::journal::{recorded, Ended, Journal};
use super::log;
use super::missing::Lookups;
use super::release::Releases;
use super::talk::Talk;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_admin::{Cordons, Succession};
use wharfplank_discovery::{SendDeadline, Staleness, SuspectReason, WatchEvent};
use wharfplank_pool_policy::Opening;
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};
use wharfplank_protocol::load_report::{self, ReportValue};
use wharfplank_protocol::member_response::MemberResponse;
use wharfplank_protocol::pipeline::{FinalResponse, RequestNumber};
use wharfplank_protocol::request_comment::MAX_ID_BYTES;
use wharfplank_routing::settings::Terms;
use wharfplank_routing::{
    self as routing, Action, AttemptNo, ClassId, Ending, Entry, GroupId, HostId, Listed, Micros, Outcome,
    Probed, Request, RequestId, Role, Router, SessionKey,
};
use wharfplank_transport::admin::Asking;
use wharfplank_transport::client::Lane;
use wharfplank_transport::clients::Clients;
use wharfplank_transport::discovery::Watch;
use wharfplank_transport::fleet::Witness;
use wharfplank_transport::members::{Member, Report, Shared, Stage};
use wharfplank_transport::{Asked, Event, Statement};

/// The client counts its wait from its own send: answers are due this much earlier here.
const ANSWER_MARGIN: Micros = 5_000;
/// Pools are tended at this pace.
const TEND: Micros = 1_000_000;
/// Names past which those of members long gone are forgotten.
const NAMES_MOST: usize = 4096;
/// A position further ahead of the clock than this is none: all machines read one clock.
const AHEAD_MOST: Micros = 50_000;
/// Time for the last answers to be written.
const LAST_WORDS: Micros = 100_000;

/// Why the broker goes on after a wait.
enum Woken {
    Operator(Asking),
    Event(Event),
    Closed,
    Time,
}

/// The broker.
pub struct Broker {
    clock: Clock,
    router: Router,
    terms: Terms,
    allowed: Allowed,
    shared: Rc<Shared>,
    clients: Rc<Clients>,
    events: Sender<Event>,
    watch: Watch,
    journal: Journal,
    counts: Counts,
    requests: HashMap<RequestId, Open>,
    tickets: HashMap<RequestNumber, RequestId>,
    /// The ids of open requests, as clients gave them.
    ids: HashSet<String>,
    flights: HashMap<(RequestId, u32), Flight>,
    passing: streaming::Values,
    members: BTreeMap<HostId, Rc<Member>>,
    names: HashMap<String, HostId>,
    /// The list as discovery tells it, without what operators say; and its version.
    listed: BTreeMap<String, EndpointRecord>,
    seq: u64,
    cordons: Cordons,
    /// Where this process may be replaced while it serves.
    replacement: Option<Replacement>,
    talk: Talk,
    lookups: Lookups,
    releases: Releases,
    barred: Barred,
    timers: BinaryHeap<Reverse<Micros>>,
    /// Outcomes that are known at once; the router hears of them after the event in hand.
    ended: VecDeque<(RequestId, u32, HostId, Micros, Ending)>,
    started: Micros,
    told: bool,
    ready: bool,
    opening: Opening,
    tend_at: Micros,
    leaving_at: Option<Micros>,
    closed: bool,
    gave_up: bool,
}

impl Broker {
    /// A broker with nothing in its tables.
    pub fn new(
        config: &Config,
        clock: Clock,
        shared: Rc<Shared>,
        clients: Rc<Clients>,
        events: Sender<Event>,
        watch: Watch,
        journal: Journal,
    ) -> Self {
        let now = clock.now();
        Broker {
            clock,
            router: Router::new(config.settings.clone()),
            terms: config.terms.clone(),
            allowed: Allowed::by(&config.settings),
            shared,
            clients,
            events,
            watch,
            journal,
            counts: Counts::start(),
            requests: HashMap::new(),
            tickets: HashMap::new(),
            ids: HashSet::new(),
            flights: HashMap::new(),
            passing: streaming::Values::new(&config.settings),
            members: BTreeMap::new(),
            names: HashMap::new(),
            listed: BTreeMap::new(),
            seq: 0,
            cordons: Cordons::default(),
            replacement: None,
            talk: Talk::new(&config.settings.classes),
            lookups: Lookups::default(),
            releases: Releases::default(),
            barred: Barred::default(),
            timers: BinaryHeap::new(),
            ended: VecDeque::new(),
            started: now,
            told: false,
            ready: false,
            opening: Opening::new(config.settings.seed, config.terms.connect_timeout),
            tend_at: now + TEND,
            leaving_at: None,
            closed: false,
            gave_up: false,
        }
    }

    /// Passes what members do on to the fleet's talk from now on.
    pub fn witness(&mut self, witness: Witness) {
        self.talk.start(witness);
    }

    /// Tells the release's thread of members from now on.
    pub fn releases(&mut self, releases: Releases) {
        self.releases = releases;
    }

    /// Works until the process is to end.
    pub async fn run(mut self, known: EndpointList, received: Receiver<Event>, operators: Receiver<Asking>) {
        let mut actions = Vec::new();
        self.router.start(&mut actions);
        self.perform(self.clock.now(), actions);
        // The list as last known may be old, but nothing else is known yet: it counts as whole.
        self.list(EndpointList { complete: true, ..known });
        self.recall();
        loop {
            let wake_at = self.wake_at();
            let pause = Duration::from_micros((wake_at - self.clock.now()).max(0) as u64);
            let timer = async {
                Timer::after(pause).await;
                Woken::Time
            };
            let event = async { received.recv().await.map_or(Woken::Closed, Woken::Event) };
            let work = future::or(event, timer);
            // Operators come first: their answers are due whatever waits behind them.
            let call = async {
                match operators.recv().await {
                    Ok(asking) => Woken::Operator(asking),
                    Err(_) => future::pending().await,
                }
            };
            let woken = future::or(call, work).await;
            self.talk.runs(self.clock.now());
            match woken {
                Woken::Operator(asking) => self.operator(asking),
                Woken::Event(event) => self.event(event),
                Woken::Closed => return,
                Woken::Time => {}
            }
            self.due();
            self.attend();
            if self.over() {
                return;
            }
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Asked(asked) => self.asked(*asked),
            Event::Gone(ticket) => self.gone(ticket),
            Event::Cancelled(ticket) => self.cancelled(ticket),
            Event::Attempt { id, attempt, report } => self.attempt_ended(id, attempt, report),
            Event::Passed { id, attempt, report } => self.passed(id, attempt, report),
            Event::Probed { host, report } => self.probed(host, report),
            Event::Told(news) => {
                let told = self.talk.told(&news, self.clock.now() + AHEAD_MOST);
                self.tell(routing::Event::Told(told));
            }
            Event::Heard(news, age) => self.heard(news, age),
            Event::Shares(shares) => {
                let shares = shares.iter().map(|(zone, share)| (zone_number(zone), *share)).collect();
                self.tell(routing::Event::Shares(shares));
            }
            Event::Factors(factors) => {
                let factors = self.talk.factors(&factors);
                self.tell(routing::Event::Factors(factors));
            }
            Event::Other(other) => self.other(other),
            Event::Reload => self.reload(),
            Event::Terminate => self.terminate(),
        }
    }
}
