//! Reading and checking a settings file.

use crate::schema::Schema;
use crate::{xml_tree, Settings, SCHEMA};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use thiserror::Error;

/// What is wrong at one place of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {place}: {message}")]
pub struct SettingsFault {
    /// The line, from 1.
    pub line: usize,
    /// The element and the attribute, as in `records/@queue`.
    pub place: String,
    /// What is wrong, and what is allowed.
    pub message: String,
}

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{path}: {error}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        error: std::io::Error,
    },
    /// A value or an element is wrong.
    #[error("{path}: {fault}", path = path.display())]
    Fault {
        /// The file.
        path: PathBuf,
        /// The fault and its place.
        fault: SettingsFault,
    },
    /// An element needs another one that is absent.
    #[error("{path}: {requirement}", path = path.display())]
    MissingElement {
        /// The file.
        path: PathBuf,
        /// What the element needs.
        requirement: &'static str,
    },
}

/// Loads a settings file and reports all of its faults.
pub fn load(path: &Path) -> Result<Settings, Vec<LoadError>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![LoadError::Unreadable { path: path.to_path_buf(), error }])?;
    let in_file = |faults: Vec<SettingsFault>| -> Vec<LoadError> {
        faults.into_iter().map(|fault| LoadError::Fault { path: path.to_path_buf(), fault }).collect()
    };
    let settings = parse(&text).map_err(in_file)?;
    let faults = consistency_faults(&text, &settings);
    if !faults.is_empty() {
        return Err(in_file(faults));
    }
    if let Some(requirement) = missing_requirement(&settings) {
        return Err(vec![LoadError::MissingElement { path: path.to_path_buf(), requirement }]);
    }
    if let Some(fault) = budgets_fault(&text, &settings) {
        return Err(in_file(vec![fault]));
    }
    Ok(settings)
}

/// Parses the text of a settings file after checking it against the schema.
pub fn parse(text: &str) -> Result<Settings, Vec<SettingsFault>> {
    // The patterns of the schema are long, so they are compiled only once.
    static SETTINGS_SCHEMA: OnceLock<Result<Schema, Vec<SettingsFault>>> = OnceLock::new();
    let schema = SETTINGS_SCHEMA.get_or_init(|| Schema::parse(SCHEMA));
    check_against(schema.as_ref().map_err(Clone::clone)?, text)?;
    quick_xml::de::from_str(text).map_err(|error| {
        vec![SettingsFault { line: 1, place: "wharfplank".to_string(), message: error.to_string() }]
    })
}

/// Checks a text against a schema of the same form as the schema of the settings, see [`crate::schema`].
pub fn check(schema: &str, text: &str) -> Result<(), Vec<SettingsFault>> {
    check_against(&Schema::parse(schema)?, text)
}

fn check_against(schema: &Schema, text: &str) -> Result<(), Vec<SettingsFault>> {
    let faults = schema.check(&xml_tree::parse(text)?);
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

/// Finds values that do not fit each other although each of them is allowed.
pub fn consistency_faults(text: &str, settings: &Settings) -> Vec<SettingsFault> {
    let Some(rollout) = &settings.rollout else { return Vec::new() };
    let Ok(root) = xml_tree::parse(text) else { return Vec::new() };
    root.child("release").map(|element| rollout.consistency_faults(element)).unwrap_or_default()
}

/// The element that another element needs and that is absent.
fn missing_requirement(settings: &Settings) -> Option<&'static str> {
    if settings.shared_state.is_some() && settings.gossip.is_none() {
        return Some("replica rides on the talk between proxies: give a <peers> element beside it");
    }
    if settings.health.is_some() && settings.shared_state.is_none() {
        return Some("health is told as replicated state: give a <replica> element beside it");
    }
    None
}

fn budgets_fault(text: &str, settings: &Settings) -> Option<SettingsFault> {
    let message = settings.budgets.as_ref()?.consistency_fault()?;
    let line = text.lines().position(|line| line.contains("<budgets")).map_or(1, |index| index + 1);
    Some(SettingsFault { line, place: "wharfplank/budgets".to_string(), message })
}
