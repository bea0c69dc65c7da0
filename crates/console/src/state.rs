//! The time span and filters of the view, and the actions of keys.

use wharfplank_incidents::Micros;
use wharfplank_report::Facts;

const SECOND: Micros = 1_000_000;
/// The selectable lengths of the time span, in seconds.
const SPANS: [Micros; 7] = [30, 60, 120, 300, 900, 3600, 86_400];

/// An action that a key triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Pauses the live view, or resumes it.
    TogglePause,
    /// Moves the time span back by half its length.
    Earlier,
    /// Moves the time span forward by half its length.
    Later,
    /// Selects the next shorter time span.
    ZoomIn,
    /// Selects the next longer time span.
    ZoomOut,
    /// Selects the next group, or all groups after the last one.
    NextGroup,
    /// Selects the next class, or all classes after the last one.
    NextClass,
    /// Scrolls the members down.
    ScrollDown,
    /// Scrolls the members up.
    ScrollUp,
    /// Quits the console.
    Quit,
}

/// The state of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// The index of the span length in [`SPANS`].
    zoom: usize,
    /// The end of the time span while the view is paused; `None` while it follows the newest record.
    end: Option<Micros>,
    /// The time of the newest record.
    newest: Micros,
    /// The time of the oldest record.
    oldest: Micros,
    /// The group to which the view is restricted, if any.
    pub group: Option<u64>,
    /// The class to which the view is restricted, if any.
    pub class: Option<String>,
    /// The number of members that are scrolled off the top.
    pub scroll: usize,
    /// Whether the user has quit.
    pub should_quit: bool,
}

impl State {
    /// Creates a view that follows the newest record, with a time span of two minutes.
    pub fn new(oldest: Micros, newest: Micros) -> State {
        State { zoom: 2, end: None, newest, oldest, group: None, class: None, scroll: 0, should_quit: false }
    }

    /// Updates the times of the oldest and newest records. The newest time never moves back, for example when
    /// a store disappears.
    pub fn update_bounds(&mut self, oldest: Micros, newest: Micros) {
        self.newest = self.newest.max(newest);
        self.oldest = oldest;
    }

    /// Returns the time span to show.
    pub fn span(&self) -> (Micros, Micros) {
        let to = self.end.unwrap_or(self.newest);
        (to - SPANS[self.zoom] * SECOND, to)
    }

    /// Returns whether the view follows the newest record.
    pub fn is_following(&self) -> bool {
        self.end.is_none()
    }

    /// Applies an action. `facts` supplies the groups and classes to select from.
    pub fn apply(&mut self, action: Action, facts: &Facts) {
        let (_, to) = self.span();
        let step = SPANS[self.zoom] * SECOND / 2;
        match action {
            Action::TogglePause => self.end = if self.end.is_some() { None } else { Some(to) },
            Action::Earlier => self.end = Some((to - step).max(self.oldest.min(to))),
            // When the span reaches the newest record, the view follows it again.
            Action::Later => self.end = Some(to + step).filter(|to| self.end.is_some() && *to < self.newest),
            Action::ZoomIn => self.zoom = self.zoom.saturating_sub(1),
            Action::ZoomOut => self.zoom = (self.zoom + 1).min(SPANS.len() - 1),
            Action::NextGroup => {
                let mut groups: Vec<u64> = facts.members.iter().map(|m| m.group).collect();
                groups.sort_unstable();
                groups.dedup();
                self.group = next_filter(&groups, self.group);
                self.scroll = 0;
            }
            Action::NextClass => {
                let classes: Vec<String> = facts.classes.keys().cloned().collect();
                self.class = next_filter(&classes, self.class.take());
            }
            Action::ScrollDown => self.scroll = (self.scroll + 1).min(facts.members.len().saturating_sub(1)),
            Action::ScrollUp => self.scroll = self.scroll.saturating_sub(1),
            Action::Quit => self.should_quit = true,
        }
    }
}

/// Returns the value after `current`: `None` is followed by the first value, and the last value by `None`.
fn next_filter<T: Clone + PartialEq>(values: &[T], current: Option<T>) -> Option<T> {
    match current {
        None => values.first().cloned(),
        Some(current) => values.iter().skip_while(|value| **value != current).nth(1).cloned(),
    }
}
