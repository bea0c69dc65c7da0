//! Loading and validating a settings file.

use crate::schema::Schema;
use crate::{xml_tree, Settings, SCHEMA};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use thiserror::Error;

/// A fault at one place of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {place}: {message}")]
pub struct SettingsFault {
    /// The line number, starting at 1.
    pub line: usize,
    /// The path of the element or attribute, such as `records/@queue`.
    pub place: String,
    /// A description of the fault and of the allowed values.
    pub message: String,
}

/// The reason why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{path}: {error}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        error: std::io::Error,
    },
    /// A value or an element is invalid.
    #[error("{path}: {fault}", path = path.display())]
    Fault {
        /// The file.
        path: PathBuf,
        /// The fault and its place.
        fault: SettingsFault,
    },
    /// An element requires another one that is absent.
    #[error("{path}: {requirement}", path = path.display())]
    MissingElement {
        /// The file.
        path: PathBuf,
        /// A description of the requirement.
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

/// Parses the text of a settings file after validating it against the schema.
pub fn parse(text: &str) -> Result<Settings, Vec<SettingsFault>> {
    // The patterns of the schema are large, so they are compiled only once.
    static SETTINGS_SCHEMA: OnceLock<Result<Schema, Vec<SettingsFault>>> = OnceLock::new();
    let schema = SETTINGS_SCHEMA.get_or_init(|| Schema::parse(SCHEMA));
    check_against(schema.as_ref().map_err(Clone::clone)?, text)?;
    quick_xml::de::from_str(text).map_err(|error| {
        vec![SettingsFault { line: 1, place: "wharfplank".to_string(), message: error.to_string() }]
    })
}

/// Validates a text against a schema that uses the supported subset of XML Schema, see [`crate::schema`].
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

/// Returns the faults of values that are valid individually but not in combination.
pub fn consistency_faults(text: &str, settings: &Settings) -> Vec<SettingsFault> {
    let Some(rollout) = &settings.rollout else { return Vec::new() };
    let Ok(root) = xml_tree::parse(text) else { return Vec::new() };
    root.child("release").map(|element| rollout.consistency_faults(element)).unwrap_or_default()
}

/// Returns a description of the first required element that is absent.
fn missing_requirement(settings: &Settings) -> Option<&'static str> {
    if settings.shared_state.is_some() && settings.gossip.is_none() {
        return Some("<replica> is replicated over gossip and requires a <peers> element");
    }
    if settings.health.is_some() && settings.shared_state.is_none() {
        return Some("<health> uses replicated state and requires a <replica> element");
    }
    None
}

fn budgets_fault(text: &str, settings: &Settings) -> Option<SettingsFault> {
    let message = settings.budgets.as_ref()?.consistency_fault()?;
    let line = text.lines().position(|line| line.contains("<budgets")).map_or(1, |index| index + 1);
    Some(SettingsFault { line, place: "wharfplank/budgets".to_string(), message })
}
