//! Applies the simulator's messages to the router instances.

use crate::error::LineError;
use crate::instance::{Instance, LineReader};
use crate::message::{self, MembershipScope, Message, RosterEntry};
use crate::reply::write_action;
use std::collections::BTreeMap;
use wharfplank::routing::{Action, Event, Micros, Router, Settings};

/// Whether a line completed a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchState {
    /// The batch is not complete yet.
    Open,
    /// The batch is complete, and its reply must be sent.
    Complete,
}

/// A ROSTER with entries that have not been read yet.
struct OpenRoster {
    page: u32,
    entries_left: usize,
}

/// The state of the adapter between lines.
#[derive(Default)]
pub struct Adapter {
    /// The time of the current batch; `None` between batches.
    now: Option<Micros>,
    rosters: BTreeMap<u32, Vec<RosterEntry>>,
    open_roster: Option<OpenRoster>,
    instances: BTreeMap<u64, Instance>,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Processes one line.
    pub fn handle_line(&mut self, line: &str) -> Result<BatchState, LineError> {
        if let Some(roster) = self.open_roster.take() {
            self.add_roster_entry(roster, line)?;
            return Ok(BatchState::Open);
        }
        let message = message::parse(line)?;
        match (&message, self.now) {
            (Message::BatchStart(now), None) => {
                self.now = Some(*now);
                Ok(BatchState::Open)
            }
            (Message::BatchStart(_), Some(_)) => Err(LineError::NestedBatch),
            (_, None) => Err(LineError::OutsideBatch),
            (Message::Commit, Some(_)) => {
                self.now = None;
                self.reply.push_str("ACK\n");
                Ok(BatchState::Complete)
            }
            (_, Some(now)) => {
                self.handle_message(message, now)?;
                Ok(BatchState::Open)
            }
        }
    }

    /// Returns whether a batch was started and not completed.
    pub fn is_batch_open(&self) -> bool {
        self.now.is_some()
    }

    /// Returns the reply to the lines since the last call.
    pub fn take_reply(&mut self) -> String {
        std::mem::take(&mut self.reply)
    }

    fn add_roster_entry(&mut self, roster: OpenRoster, line: &str) -> Result<(), LineError> {
        let entry = message::parse_roster_entry(line)?;
        self.rosters.entry(roster.page).or_default().push(entry);
        let entries_left = roster.entries_left - 1;
        if entries_left > 0 {
            self.open_roster = Some(OpenRoster { entries_left, ..roster });
        }
        Ok(())
    }

    fn handle_message(&mut self, message: Message<'_>, now: Micros) -> Result<(), LineError> {
        match message {
            // These start and end a batch and are processed by `handle_line`.
            Message::BatchStart(_) | Message::Commit => {}
            Message::Roster { page, members } => {
                self.rosters.insert(page, Vec::new());
                if members > 0 {
                    self.open_roster = Some(OpenRoster { page, entries_left: members });
                }
            }
            Message::Configure { who, settings, reader } => self.configure(who, *settings, reader),
            Message::Exit { who } => {
                self.instance(who)?;
                self.instances.remove(&who);
            }
            Message::Membership { who, page, scope } => {
                let event = self.membership_event(who, page, scope)?;
                self.handle_event(who, now, event)?;
            }
            Message::Request { who, fields } => {
                let event = self.instance(who)?.reader.request(&fields)?;
                self.handle_event(who, now, event)?;
            }
            Message::AttemptFinished { who, fields } => {
                let event = self.instance(who)?.reader.attempt_result(&fields)?;
                self.handle_event(who, now, event)?;
            }
            Message::ProbeFinished { who, fields } => {
                let event = self.instance(who)?.reader.probe_result(&fields)?;
                self.handle_event(who, now, event)?;
            }
            Message::Event { who, event } => self.handle_event(who, now, event)?,
            Message::Ignored { who } => {
                self.instance(who)?;
            }
        }
        Ok(())
    }

    fn configure(&mut self, who: u64, settings: Settings, reader: LineReader) {
        let mut router = Router::new(settings);
        router.start(&mut self.actions);
        self.instances.insert(who, Instance { router, reader });
        self.write_actions(who);
    }

    fn membership_event(&self, who: u64, page: u32, scope: MembershipScope) -> Result<Event, LineError> {
        let reader = &self.instance(who)?.reader;
        let endpoints = || {
            let roster = self.rosters.get(&page).ok_or(LineError::UnknownPage)?;
            Ok::<_, LineError>(roster.iter().map(|entry| reader.endpoint(entry)).collect())
        };
        Ok(match scope {
            MembershipScope::Broken => Event::SubscriptionLost,
            MembershipScope::Patch => Event::EndpointsChanged(endpoints()?),
            MembershipScope::Complete => Event::EndpointList(endpoints()?),
        })
    }

    fn instance(&self, who: u64) -> Result<&Instance, LineError> {
        self.instances.get(&who).ok_or(LineError::UnknownInstance)
    }

    fn handle_event(&mut self, who: u64, now: Micros, event: Event) -> Result<(), LineError> {
        let instance = self.instances.get_mut(&who).ok_or(LineError::UnknownInstance)?;
        instance.router.handle(now, event, &mut self.actions);
        self.write_actions(who);
        Ok(())
    }

    fn write_actions(&mut self, who: u64) {
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, who, &action);
        }
    }
}
