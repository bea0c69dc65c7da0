//! XML as a tree whose elements know their lines.

use super::Fault;
use quick_xml::events::{BytesStart, Event};
use quick_xml::Reader;

/// A file deeper or larger than any that is meant.
const DEPTH_MOST: usize = 16;
const TEXT_MOST: usize = 1024 * 1024;

/// An element.
#[derive(Debug)]
pub struct Element {
    pub name: String,
    pub line: usize,
    pub attributes: Vec<(String, String)>,
    pub children: Vec<Element>,
    /// Whether there is text in it that is not white space.
    pub text: bool,
}

impl Element {
    pub fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(n, _)| n == name).map(|(_, value)| &**value)
    }

    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|c| c.name == name)
    }
}

/// Reads a file's text. What is not well-formed ends the reading: there can be one such fault.
pub fn parse(text: &str) -> Result<Element, Vec<Fault>> {
    if text.len() > TEXT_MOST {
        return Err(fault(1, "the file", format!("is longer than {TEXT_MOST} bytes")));
    }
    let line = |at: u64| {
        text.as_bytes()[..(at as usize).min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
    };
    let mut reader = Reader::from_str(text);
    let (mut open, mut root): (Vec<Element>, Option<Element>) = (Vec::new(), None);
    loop {
        let from = reader.buffer_position();
        let event = reader.read_event();
        let here = line(from);
        let event = event
            .map_err(|e| fault(line(reader.error_position()), "the file", format!("is not XML: {e}")))?;
        let closed = match event {
            Event::Start(start) if open.len() < DEPTH_MOST => {
                open.push(element(&start, here)?);
                None
            }
            Event::Start(_) => return Err(fault(here, "the file", "nests too deep".to_string())),
            Event::Empty(start) => Some(element(&start, here)?),
            Event::End(_) => open.pop(),
            Event::Text(text) => {
                if let Some(last) = open.last_mut() {
                    last.text |= !text.chars().all(char::is_whitespace);
                }
                None
            }
            Event::CData(_) | Event::GeneralRef(_) => {
                open.iter_mut().for_each(|e| e.text = true);
                None
            }
            Event::DocType(_) => {
                return Err(fault(here, "the file", "has a DOCTYPE, which is not allowed".to_string()))
            }
            Event::Eof if !open.is_empty() => {
                return Err(fault(here, &open[open.len() - 1].name, "is not closed".to_string()))
            }
            Event::Eof => break,
            _ => None,
        };
        match (closed, open.last_mut()) {
            (Some(element), Some(parent)) => parent.children.push(element),
            (Some(element), None) if root.is_none() => root = Some(element),
            (Some(element), None) => {
                return Err(fault(here, &element.name, "stands after the end".to_string()))
            }
            (None, _) => {}
        }
    }
    root.ok_or_else(|| fault(1, "the file", "has no element".to_string()))
}

fn element(start: &BytesStart<'_>, line: usize) -> Result<Element, Vec<Fault>> {
    let name = start.name().as_ref().to_string();
    let mut attributes = Vec::new();
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|e| fault(line, &name, format!("has a broken attribute: {e}")))?;
        let value = attribute.normalized_value(quick_xml::XmlVersion::Implicit1_0);
        let value = value.map_err(|e| fault(line, &name, format!("has a broken value: {e}")))?;
        let key = attribute.key.as_ref().to_string();
        attributes.push((key, value.into_owned()));
    }
    Ok(Element { name, line, attributes, children: Vec::new(), text: false })
}

fn fault(line: usize, place: &str, what: String) -> Vec<Fault> {
    vec![Fault { line, place: place.to_string(), what }]
}
