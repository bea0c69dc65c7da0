//! The event loop of the console.

use crate::screen;
use crate::state::{Action, State};
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use wharfplank_incidents::gather::gather;
use wharfplank_records::reader::StoreSet;
use wharfplank_report::Facts;

/// The interval at which the stores are reopened.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

fn action_for(code: KeyCode) -> Option<Action> {
    Some(match code {
        KeyCode::Char(' ') => Action::TogglePause,
        KeyCode::Left => Action::Earlier,
        KeyCode::Right => Action::Later,
        KeyCode::Char('+') => Action::ZoomIn,
        KeyCode::Char('-') => Action::ZoomOut,
        KeyCode::Char('g') => Action::NextGroup,
        KeyCode::Char('c') => Action::NextClass,
        KeyCode::Down => Action::ScrollDown,
        KeyCode::Up => Action::ScrollUp,
        KeyCode::Char('q') | KeyCode::Esc => Action::Quit,
        _ => return None,
    })
}

/// Shows the stores at these paths until the user quits.
pub fn run(paths: &[PathBuf]) -> Result<(), String> {
    if !std::io::stdout().is_terminal() || !std::io::stdin().is_terminal() {
        return Err("the console needs a terminal; 'wharfplank report' writes a file instead".to_string());
    }
    let mut reader = StoreSet::open(paths);
    let span = reader.span().ok_or_else(|| {
        format!(
            "no records found; name a directory with PROXY.wharfplank files. {}",
            reader.problem_texts().join("; ")
        )
    })?;
    let mut state = State::new(span.0, span.1);
    let mut terminal = ratatui::try_init().map_err(|e| format!("terminal: {e}"))?;
    let result = (|| {
        let mut facts = load_facts(&reader, &state);
        let (mut read_at, mut message) = (Instant::now(), String::new());
        while !state.should_quit {
            terminal.draw(|frame| screen::draw(frame, &state, &facts, &message))?;
            let mut changed = false;
            if event::poll(REFRESH_INTERVAL.saturating_sub(read_at.elapsed()))? {
                match event::read()? {
                    // A resize needs no handling: each iteration draws the screen.
                    Event::Key(key) if key.kind != KeyEventKind::Release => {
                        let is_ctrl_c =
                            key.code == KeyCode::Char('c') && key.modifiers.contains(KeyModifiers::CONTROL);
                        let action = if is_ctrl_c { Some(Action::Quit) } else { action_for(key.code) };
                        if let Some(action) = action {
                            state.apply(action, &facts);
                            changed = true;
                        }
                    }
                    _ => {}
                }
            }
            if read_at.elapsed() >= REFRESH_INTERVAL {
                // Stores may have appeared or disappeared since. If all are gone, the last data stays on the
                // screen.
                let reopened = StoreSet::open(paths);
                message = reopened.problem_texts().join("; ");
                match reopened.span() {
                    Some((oldest, newest)) => {
                        state.update_bounds(oldest, newest);
                        reader = reopened;
                    }
                    None => message = format!("the stores are gone; showing the last data read. {message}"),
                }
                read_at = Instant::now();
                changed |= state.is_following();
            }
            if changed {
                facts = load_facts(&reader, &state);
            }
        }
        Ok::<(), std::io::Error>(())
    })();
    ratatui::restore();
    result.map_err(|e| format!("terminal: {e}"))
}

fn load_facts(reader: &StoreSet, state: &State) -> Facts {
    let (from, to) = state.span();
    Facts::from_evidence(gather(reader, from, to))
}
