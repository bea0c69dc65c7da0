//! What is shown, and what a key does.

use wharfplank_incidents::Micros;
use wharfplank_report::Facts;

const SECOND: Micros = 1_000_000;
/// Spans that can be shown, in seconds.
const SPANS: [Micros; 7] = [30, 60, 120, 300, 900, 3600, 86_400];

/// A key that means something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// Stop following, or follow again.
    Pause,
    /// Half a span back or forth.
    Back,
    /// See [`Key::Back`].
    Forth,
    /// A shorter span.
    In,
    /// A longer span.
    Out,
    /// The next filter of groups.
    Filter,
    /// The next class.
    Class,
    /// Scroll the members.
    Down,
    /// See [`Key::Down`].
    Up,
    /// Ends.
    Quit,
}

/// What is shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// Index into the spans.
    zoom: usize,
    /// The end of the span where it does not follow the newest record.
    held: Option<Micros>,
    /// The newest record, and the oldest.
    newest: Micros,
    oldest: Micros,
    /// Only this group.
    pub group: Option<u64>,
    /// Only this class.
    pub class: Option<String>,
    /// Members passed over at the top.
    pub scroll: usize,
    /// Whether it is over.
    pub over: bool,
}

impl State {
    /// Follows the newest record, two minutes long.
    pub fn new(oldest: Micros, newest: Micros) -> State {
        State { zoom: 2, held: None, newest, oldest, group: None, class: None, scroll: 0, over: false }
    }

    /// Records go so far now. A store that ended, or went back, changes nothing.
    pub fn reach(&mut self, oldest: Micros, newest: Micros) {
        self.newest = self.newest.max(newest);
        self.oldest = oldest;
    }

    /// The span to show.
    pub fn span(&self) -> (Micros, Micros) {
        let to = self.held.unwrap_or(self.newest);
        (to - SPANS[self.zoom] * SECOND, to)
    }

    /// Whether it follows the newest record.
    pub fn follows(&self) -> bool {
        self.held.is_none()
    }

    /// Does what a key means. Groups and classes are those of the facts shown.
    pub fn key(&mut self, key: Key, facts: &Facts) {
        let (_, to) = self.span();
        let step = SPANS[self.zoom] * SECOND / 2;
        match key {
            Key::Pause => self.held = if self.held.is_some() { None } else { Some(to) },
            Key::Back => self.held = Some((to - step).max(self.oldest.min(to))),
            // At the newest record it follows again.
            Key::Forth => self.held = Some(to + step).filter(|to| self.held.is_some() && *to < self.newest),
            Key::In => self.zoom = self.zoom.saturating_sub(1),
            Key::Out => self.zoom = (self.zoom + 1).min(SPANS.len() - 1),
            Key::Filter => {
                let mut groups: Vec<u64> = facts.members.iter().map(|m| m.group).collect();
                groups.sort_unstable();
                groups.dedup();
                self.group = next(&groups, self.group);
                self.scroll = 0;
            }
            Key::Class => {
                let classes: Vec<String> = facts.classes.keys().cloned().collect();
                self.class = next(&classes, self.class.take());
            }
            Key::Down => self.scroll = (self.scroll + 1).min(facts.members.len().saturating_sub(1)),
            Key::Up => self.scroll = self.scroll.saturating_sub(1),
            Key::Quit => self.over = true,
        }
    }
}

/// None, then each in turn, then none again.
fn next<T: Clone + PartialEq>(all: &[T], now: Option<T>) -> Option<T> {
    match now {
        None => all.first().cloned(),
        Some(now) => all.iter().skip_while(|one| **one != now).nth(1).cloned(),
    }
}
