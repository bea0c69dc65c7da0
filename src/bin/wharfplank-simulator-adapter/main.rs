//! Hosts routers and speaks the wire on standard input and output.
#![forbid(unsafe_code)]

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use wharfplank::routing::settings::FieldError;
use wharfplank::routing::{Action, Event, Micros, Router};
use wire::{Dialect, Message};

struct Instance {
    router: Router,
    dialect: Dialect,
}

#[derive(Default)]
struct Adapter {
    now: Option<Micros>,
    lists: BTreeMap<u32, Vec<wire::ListEntry>>,
    open_list: Option<(u32, usize)>,
    instances: BTreeMap<u64, Instance>,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Takes one line; true when it ended a batch, so that the reply is due.
    fn line(&mut self, line: &str) -> Result<bool, FieldError> {
        if let Some((page, left)) = self.open_list {
            let entry = wire::list_entry(line)?;
            self.lists.entry(page).or_default().push(entry);
            self.open_list = (left > 1).then_some((page, left - 1));
            return Ok(false);
        }
        let message = wire::parse(line)?;
        match (&message, self.now) {
            (Message::Batch(now), None) => {
                self.now = Some(*now);
                return Ok(false);
            }
            (Message::Batch(_), Some(_)) => return Err(FieldError::new("BATCH", "inside a batch")),
            (_, None) => return Err(FieldError::new("BATCH", "missing before this line")),
            _ => {}
        }
        match message {
            Message::Batch(_) => {}
            Message::Commit => {
                self.now = None;
                self.reply.push_str("ACK\n");
                return Ok(true);
            }
            Message::Roster { page, members } => {
                self.lists.insert(page, Vec::new());
                self.open_list = (members > 0).then_some((page, members));
            }
            Message::Configure { who, settings, dialect } => {
                let mut router = Router::new(*settings);
                router.start(&mut self.actions);
                let instance = Instance { router, dialect };
                self.instances.insert(who, instance);
                self.write(who);
            }
            Message::Exit { who } => {
                self.instance(who)?;
                self.instances.remove(&who);
            }
            Message::Membership { who, page, scope } => {
                let dialect = &self.instance(who)?.dialect;
                let event = match scope {
                    wire::Scope::Broken => Event::SubscriptionLost,
                    _ => {
                        let list = self.lists.get(&page);
                        let list = list.ok_or_else(|| FieldError::new("Page", "names no list"))?;
                        let entries = list.iter().map(|e| dialect.entry(e)).collect();
                        match scope {
                            wire::Scope::Patch => Event::EndpointsChanged(entries),
                            _ => Event::EndpointList(entries),
                        }
                    }
                };
                self.handle(who, event)?;
            }
            Message::Incoming { who, fields } => {
                let event = self.instance(who)?.dialect.request(&fields)?;
                self.handle(who, event)?;
            }
            Message::Resolved { who, fields } => {
                let event = self.instance(who)?.dialect.outcome(&fields)?;
                self.handle(who, event)?;
            }
            Message::Echo { who, fields } => {
                let event = self.instance(who)?.dialect.probed(&fields)?;
                self.handle(who, event)?;
            }
            Message::Plain { who, event } => self.handle(who, event)?,
            Message::PassOver { who } => {
                self.instance(who)?;
            }
        }
        Ok(false)
    }

    fn instance(&self, who: u64) -> Result<&Instance, FieldError> {
        let found = self.instances.get(&who);
        found.ok_or_else(|| FieldError::new("Who", "names an instance that was not configured"))
    }

    fn handle(&mut self, who: u64, event: Event) -> Result<(), FieldError> {
        self.instance(who)?;
        if let (Some(instance), Some(now)) = (self.instances.get_mut(&who), self.now) {
            instance.router.handle(now, event, &mut self.actions);
        }
        self.write(who);
        Ok(())
    }

    fn write(&mut self, who: u64) {
        for action in self.actions.drain(..) {
            wire::write_action(&mut self.reply, who, &action);
        }
    }
}

fn run() -> Result<(), String> {
    let mut stdin = io::stdin().lock();
    let mut stdout = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut line = String::new();
    for place in 1.. {
        line.clear();
        let read = stdin.read_line(&mut line);
        if read.map_err(|e| format!("line {place}: not readable as text: {e}"))? == 0 {
            break;
        }
        let due = adapter.line(line.trim_end_matches(['\n', '\r']));
        if due.map_err(|fault| format!("line {place}: {fault}"))? {
            let sent = stdout.write_all(adapter.reply.as_bytes()).and_then(|()| stdout.flush());
            sent.map_err(|e| format!("standard output: {e}"))?;
            adapter.reply.clear();
        }
    }
    match adapter.now {
        Some(_) => Err("end of input: COMMIT missing".to_string()),
        None => Ok(()),
    }
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("wharfplank-simulator-adapter: {message}");
            std::process::ExitCode::FAILURE
        }
    }
}
