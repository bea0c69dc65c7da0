//! Named values, with typed accessors whose errors name the field.

use super::error::{check_span, FieldError, FieldProblem};
use crate::api::Micros;
use serde_json::Value;
use std::borrow::Cow;
use std::str::FromStr;

/// The maximum span that is accepted, one year. Sums of such spans and times stay far from overflow.
pub const MAX_SPAN: Micros = 365 * 24 * 3_600 * 1_000_000;

/// Named values: the pairs of a line of the simulator's protocol, or a JSON object flattened to the same
/// form.
#[derive(Debug, Default)]
pub struct Fields<'a>(Vec<(Cow<'a, str>, Cow<'a, str>)>);

impl<'a> Fields<'a> {
    /// Parses `name=value` parts.
    pub fn from_pairs(parts: impl Iterator<Item = &'a str>) -> Result<Self, FieldError> {
        let pair = |part: &'a str| {
            let (name, value) =
                part.split_once('=').ok_or_else(|| FieldError::new(part, FieldProblem::NoValue))?;
            Ok((Cow::Borrowed(name), Cow::Borrowed(value)))
        };
        Ok(Fields(parts.filter(|p| !p.is_empty()).map(pair).collect::<Result<_, _>>()?))
    }

    /// Flattens a JSON object as the simulator's protocol does: dotted paths, plain lists joined with commas,
    /// and lists of objects with their length under `.count`.
    pub fn from_json(object: &Value) -> Fields<'static> {
        let mut fields = Fields(Vec::new());
        fields.flatten("", object);
        fields
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Null => {}
            Value::Object(map) if map.is_empty() => self.put(&below(""), String::new()),
            Value::Object(map) => map.iter().for_each(|(name, v)| self.flatten(&below(name), v)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.put(&below("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, v)| self.flatten(&below(&i.to_string()), v));
            }
            Value::Array(items) => {
                let texts: Vec<String> = items.iter().map(plain_text).collect();
                self.put(path, texts.join(","));
            }
            _ => self.put(path, plain_text(value)),
        }
    }

    /// Adds a value, which hides any earlier one of that name.
    pub fn put(&mut self, name: &str, value: String) {
        self.0.push((Cow::Owned(name.to_string()), Cow::Owned(value)));
    }

    /// Returns the last value of that name, if there is one.
    pub fn find(&self, name: &str) -> Option<&str> {
        self.0.iter().rev().find(|(n, _)| n == name).map(|(_, value)| &**value)
    }

    /// Whether the name denotes an object or a list of objects, with values below it.
    fn is_object(&self, name: &str) -> bool {
        self.0.iter().any(|(n, _)| n.strip_prefix(name).is_some_and(|rest| rest.starts_with('.')))
    }

    /// Returns the parsed value, if it is present and not empty.
    pub fn get<T: FromStr>(&self, name: &str) -> Result<Option<T>, FieldError> {
        if self.is_object(name) {
            return Err(FieldError::new(name, FieldProblem::NotPlainValue));
        }
        let Some(text) = self.find(name).filter(|t| !t.is_empty()) else {
            return Ok(None);
        };
        let value =
            text.parse().map_err(|_| FieldError::new(name, FieldProblem::Unreadable(text.to_string())))?;
        Ok(Some(value))
    }

    /// Returns the parsed value, which must be present.
    pub fn required<T: FromStr>(&self, name: &str) -> Result<T, FieldError> {
        self.get(name)?.ok_or_else(|| FieldError::new(name, FieldProblem::Missing))
    }

    /// Returns the parsed value, or a default if it is absent.
    pub fn get_or<T: FromStr>(&self, name: &str, default: T) -> Result<T, FieldError> {
        Ok(self.get(name)?.unwrap_or(default))
    }

    /// Returns a finite number.
    pub fn number(&self, name: &str) -> Result<Option<f64>, FieldError> {
        match self.get::<f64>(name)? {
            Some(value) if !value.is_finite() => Err(FieldError::new(name, FieldProblem::NotFinite)),
            other => Ok(other),
        }
    }

    /// Returns a number from 0 to `max`.
    pub fn number_up_to(&self, name: &str, max: f64) -> Result<Option<f64>, FieldError> {
        match self.number(name)? {
            Some(value) if value < 0.0 => Err(FieldError::new(name, FieldProblem::Negative(value))),
            Some(value) if value > max => Err(FieldError::new(name, FieldProblem::TooLarge { max, value })),
            other => Ok(other),
        }
    }

    /// Returns a span in microseconds, from 0 to [`MAX_SPAN`].
    pub fn span(&self, name: &str) -> Result<Option<Micros>, FieldError> {
        self.get(name)?.map(|span| check_span(name, span)).transpose()
    }

    /// Returns a span for each part between commas; an empty part, or null, is 0.
    pub fn spans(&self, name: &str) -> Result<Vec<Micros>, FieldError> {
        let span = |text: &str| {
            let read = if text.is_empty() { Ok(0) } else { text.parse() };
            check_span(
                name,
                read.map_err(|_| FieldError::new(name, FieldProblem::NotSpan(text.to_string())))?,
            )
        };
        self.parts(name)?.into_iter().map(span).collect()
    }

    /// Returns a word, empty if it is absent. It must start with a letter: a number or a list was meant for
    /// another field.
    pub fn word(&self, name: &str) -> Result<&str, FieldError> {
        let text = self.plain(name)?;
        match text.is_empty() || text.starts_with(char::is_alphabetic) {
            true => Ok(text),
            false => Err(FieldError::new(name, FieldProblem::NotWord(text.to_string()))),
        }
    }

    /// Checks that the name denotes an object or is absent; a plain value is an error.
    pub fn section(&self, name: &str) -> Result<(), FieldError> {
        match self.text(name) {
            "" => Ok(()),
            other => Err(FieldError::new(name, FieldProblem::NotSection(other.to_string()))),
        }
    }

    /// Returns a boolean, `false` if it is absent.
    pub fn flag(&self, name: &str) -> Result<bool, FieldError> {
        if self.is_object(name) {
            return Err(FieldError::new(name, FieldProblem::NotPlainValue));
        }
        match self.find(name) {
            None | Some("" | "0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(FieldError::new(name, FieldProblem::Unreadable(other.to_string()))),
        }
    }

    /// Returns the text, empty if it is absent.
    pub fn text(&self, name: &str) -> &str {
        self.find(name).unwrap_or_default()
    }

    /// Returns the text, empty if it is absent; an object is an error.
    pub fn plain(&self, name: &str) -> Result<&str, FieldError> {
        match self.is_object(name) {
            true => Err(FieldError::new(name, FieldProblem::NotPlainValue)),
            false => Ok(self.text(name)),
        }
    }

    /// Returns the parts between commas, empty ones included.
    pub fn parts(&self, name: &str) -> Result<Vec<&str>, FieldError> {
        let text = self.plain(name)?;
        Ok(if text.is_empty() { Vec::new() } else { text.split(',').collect() })
    }

    /// Returns the non-empty parts between commas.
    pub fn list(&self, name: &str) -> Vec<&str> {
        self.text(name).split(',').filter(|t| !t.is_empty()).collect()
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
