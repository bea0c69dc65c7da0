//! The terminal, the keys and the stores.

use crate::screen;
use crate::state::{Key, State};
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use wharfplank_incidents::gather::gather;
use wharfplank_records::reader::StoreSet;
use wharfplank_report::Facts;

/// How often the stores are read anew while it follows.
const REFRESH: Duration = Duration::from_secs(1);

fn meaning(code: KeyCode) -> Option<Key> {
    Some(match code {
        KeyCode::Char(' ') => Key::Pause,
        KeyCode::Left => Key::Back,
        KeyCode::Right => Key::Forth,
        KeyCode::Char('+') => Key::In,
        KeyCode::Char('-') => Key::Out,
        KeyCode::Char('g') => Key::Filter,
        KeyCode::Char('c') => Key::Class,
        KeyCode::Down => Key::Down,
        KeyCode::Up => Key::Up,
        KeyCode::Char('q') | KeyCode::Esc => Key::Quit,
        _ => return None,
    })
}

/// Shows the stores in some directories until the user ends it.
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
    let done = (|| {
        let mut facts = show(&reader, &state);
        let (mut read_at, mut note) = (Instant::now(), String::new());
        while !state.over {
            terminal.draw(|frame| screen::draw(frame, &state, &facts, &note))?;
            let mut changed = false;
            if event::poll(REFRESH.saturating_sub(read_at.elapsed()))? {
                match event::read()? {
                    // A resize is drawn anew by itself.
                    Event::Key(key) if key.kind != KeyEventKind::Release => {
                        let ends =
                            key.code == KeyCode::Char('c') && key.modifiers.contains(KeyModifiers::CONTROL);
                        let key = if ends { Some(Key::Quit) } else { meaning(key.code) };
                        if let Some(key) = key {
                            state.key(key, &facts);
                            changed = true;
                        }
                    }
                    _ => {}
                }
            }
            if read_at.elapsed() >= REFRESH {
                // A proxy may have begun or ended its store meanwhile; what is gone stays said.
                let again = StoreSet::open(paths);
                note = again.problem_texts().join("; ");
                match again.span() {
                    Some((oldest, newest)) => {
                        state.reach(oldest, newest);
                        reader = again;
                    }
                    None => note = format!("the stores are gone; the last of them is shown. {note}"),
                }
                read_at = Instant::now();
                changed |= state.follows();
            }
            if changed {
                facts = show(&reader, &state);
            }
        }
        Ok::<(), std::io::Error>(())
    })();
    ratatui::restore();
    done.map_err(|e| format!("terminal: {e}"))
}

fn show(reader: &StoreSet, state: &State) -> Facts {
    let (from, to) = state.span();
    Facts::of(gather(reader, from, to))
}
