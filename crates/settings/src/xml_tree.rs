//! An XML tree whose elements carry their line numbers.

use super::SettingsFault;
use quick_xml::events::{BytesStart, Event};
use quick_xml::Reader;

/// The limits on the depth of nested elements and on the size of a text; no settings file needs more.
const MAX_DEPTH: usize = 16;
const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// The place of a fault that does not belong to an element.
const WHOLE_FILE: &str = "the file";

/// An element.
#[derive(Debug)]
pub struct Element {
    /// The qualified name, with its prefix.
    pub name: String,
    /// The line at which it starts, counted from 1.
    pub line: usize,
    /// The attributes with their values, in document order.
    pub attributes: Vec<(String, String)>,
    /// The child elements, in document order.
    pub children: Vec<Element>,
    /// Whether it holds text other than white space.
    pub has_text: bool,
}

impl Element {
    /// Returns the value of an attribute.
    pub fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(other, _)| other == name).map(|(_, value)| &**value)
    }

    /// Returns the first child with a name.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }
}

/// The elements that have been read so far: those still open, and the root.
#[derive(Default)]
struct TreeBuilder {
    open: Vec<Element>,
    root: Option<Element>,
}

impl TreeBuilder {
    /// Adds a complete element to its parent, or makes it the root.
    fn close(&mut self, element: Element, line: usize) -> Result<(), Vec<SettingsFault>> {
        if let Some(parent) = self.open.last_mut() {
            parent.children.push(element);
            return Ok(());
        }
        if self.root.is_some() {
            return Err(fault(line, &element.name, "element after the end of the root element".to_string()));
        }
        self.root = Some(element);
        Ok(())
    }
}

/// Parses a text. Parsing stops at the first part that is not well-formed, so at most one fault is returned.
pub fn parse(text: &str) -> Result<Element, Vec<SettingsFault>> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(fault(1, WHOLE_FILE, format!("longer than {MAX_TEXT_BYTES} bytes")));
    }
    let mut reader = Reader::from_str(text);
    let mut tree = TreeBuilder::default();
    loop {
        let line = line_at(text, reader.buffer_position());
        let event = reader.read_event().map_err(|error| {
            let line = line_at(text, reader.error_position());
            fault(line, WHOLE_FILE, format!("invalid XML: {error}"))
        })?;
        match event {
            Event::Start(_) if tree.open.len() >= MAX_DEPTH => {
                return Err(fault(
                    line,
                    WHOLE_FILE,
                    format!("elements are nested more than {MAX_DEPTH} levels deep"),
                ));
            }
            Event::Start(start) => tree.open.push(parse_element(&start, line)?),
            Event::Empty(start) => tree.close(parse_element(&start, line)?, line)?,
            Event::End(_) => {
                if let Some(element) = tree.open.pop() {
                    tree.close(element, line)?;
                }
            }
            Event::Text(text) => {
                if let Some(element) = tree.open.last_mut() {
                    element.has_text |= !text.chars().all(char::is_whitespace);
                }
            }
            Event::CData(_) | Event::GeneralRef(_) => {
                tree.open.iter_mut().for_each(|element| element.has_text = true);
            }
            Event::DocType(_) => {
                let message = "a DOCTYPE is not allowed".to_string();
                return Err(fault(line, WHOLE_FILE, message));
            }
            Event::Eof => {
                if let Some(element) = tree.open.last() {
                    return Err(fault(line, &element.name, "element is not closed".to_string()));
                }
                break;
            }
            _ => {}
        }
    }
    tree.root.ok_or_else(|| fault(1, WHOLE_FILE, "no root element".to_string()))
}

/// Returns the line of a byte, counted from 1.
fn line_at(text: &str, position: u64) -> usize {
    let end = (position as usize).min(text.len());
    text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}

fn parse_element(start: &BytesStart<'_>, line: usize) -> Result<Element, Vec<SettingsFault>> {
    let name = start.name().as_ref().to_string();
    let mut attributes = Vec::new();
    for attribute in start.attributes() {
        let attribute =
            attribute.map_err(|error| fault(line, &name, format!("malformed attribute: {error}")))?;
        let value = attribute.normalized_value(quick_xml::XmlVersion::Implicit1_0);
        let value =
            value.map_err(|error| fault(line, &name, format!("malformed attribute value: {error}")))?;
        let key = attribute.key.as_ref().to_string();
        attributes.push((key, value.into_owned()));
    }
    Ok(Element { name, line, attributes, children: Vec::new(), has_text: false })
}

fn fault(line: usize, place: &str, message: String) -> Vec<SettingsFault> {
    vec![SettingsFault { line, place: place.to_string(), message }]
}
