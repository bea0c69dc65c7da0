//! The subset of XML Schema that the settings use: elements with attributes and children (`xs:all`), and
//! simple types restricted by enumeration, integer bounds, length and pattern.

use super::xml_tree::{self, Element};
use super::SettingsFault;
use std::collections::BTreeMap;

/// A simple type: the values that an attribute may have.
#[derive(Debug, Default)]
pub struct SimpleType {
    /// Whether the value is an integer.
    pub is_integer: bool,
    /// The allowed values, empty if the type is not an enumeration.
    pub values: Vec<String>,
    /// The minimum of an integer.
    pub min: Option<i64>,
    /// The maximum of an integer.
    pub max: Option<i64>,
    /// The minimum number of characters.
    pub min_length: usize,
    /// The maximum number of characters.
    pub max_length: Option<usize>,
    /// The pattern that the whole value must match.
    pub pattern: Option<Pattern>,
    /// The description of the allowed values for error messages (`wp:shown`).
    pub description: Option<String>,
}

/// A pattern of the schema.
#[derive(Debug)]
pub struct Pattern {
    /// The pattern as written in the schema.
    pub source: String,
    /// The compiled pattern, anchored at both ends.
    pub regex: regex::Regex,
}

impl Pattern {
    /// Compiles a pattern of XML Schema, which must match the whole value.
    fn new(source: &str) -> Option<Self> {
        let regex = regex::Regex::new(&format!("^(?:{source})$")).ok()?;
        Some(Pattern { source: source.to_string(), regex })
    }
}

impl SimpleType {
    fn parse(element: &Element) -> Self {
        let description = element.attribute("wp:shown").map(str::to_string);
        let mut simple_type = SimpleType { description, ..SimpleType::default() };
        let Some(restriction) = element.child("xs:restriction") else { return simple_type };
        simple_type.is_integer = restriction.attribute("base") == Some("xs:integer");
        for facet in &restriction.children {
            simple_type.add_facet(&facet.name, facet.attribute("value").unwrap_or_default());
        }
        simple_type
    }

    fn add_facet(&mut self, name: &str, value: &str) {
        match name {
            "xs:enumeration" => self.values.push(value.to_string()),
            "xs:minInclusive" => self.min = value.parse().ok(),
            "xs:maxInclusive" => self.max = value.parse().ok(),
            "xs:minLength" => self.min_length = value.parse().unwrap_or(0),
            "xs:maxLength" => self.max_length = value.parse().ok(),
            "xs:pattern" => self.pattern = Pattern::new(value),
            _ => {}
        }
    }

    fn accepts(&self, value: &str) -> bool {
        let is_enumerated = self.values.is_empty() || self.values.iter().any(|allowed| allowed == value);
        let is_in_bounds = !self.is_integer || value.parse().is_ok_and(|number| self.bounds_contain(number));
        let length = value.chars().count();
        let has_length = length >= self.min_length && self.max_length.is_none_or(|max| length <= max);
        let matches = self.pattern.as_ref().is_none_or(|pattern| pattern.regex.is_match(value));
        is_enumerated && is_in_bounds && has_length && matches
    }

    fn bounds_contain(&self, number: i64) -> bool {
        self.min.is_none_or(|min| number >= min) && self.max.is_none_or(|max| number <= max)
    }

    /// Returns a description of the allowed values for error messages.
    fn describe(&self) -> String {
        if !self.values.is_empty() {
            return format!("one of {}", self.values.join(", "));
        }
        if let Some(pattern) = &self.pattern {
            let fallback = || format!("text of the form {}", pattern.source);
            return self.description.clone().unwrap_or_else(fallback);
        }
        if self.is_integer {
            return format!(
                "a whole number from {} to {}",
                describe_bound(self.min),
                describe_bound(self.max)
            );
        }
        format!("text of {} to {} characters", self.min_length, describe_bound(self.max_length))
    }
}

fn describe_bound<T: ToString>(bound: Option<T>) -> String {
    bound.map_or_else(|| "any".to_string(), |bound| bound.to_string())
}

/// An attribute of an element.
#[derive(Debug)]
pub struct Attribute {
    /// The name of its simple type.
    pub type_name: String,
    /// Whether the attribute is required.
    pub is_required: bool,
    /// The default value of an absent attribute.
    pub default: Option<String>,
}

/// The number of times that an element may occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occurrence {
    /// At most once.
    Optional,
    /// Exactly once.
    Once,
    /// Any number of times.
    Unbounded,
}

/// A child element in the type of an element.
#[derive(Debug)]
pub struct ChildElement {
    /// The type of the child.
    pub element_type: ElementType,
    /// The number of times that the child may occur.
    pub occurrence: Occurrence,
}

/// The type of an element.
#[derive(Debug, Default)]
pub struct ElementType {
    /// The attributes by name.
    pub attributes: BTreeMap<String, Attribute>,
    /// The children by name.
    pub children: BTreeMap<String, ChildElement>,
}

impl ElementType {
    fn parse(element: &Element) -> Self {
        let mut element_type = ElementType::default();
        let Some(complex_type) = element.child("xs:complexType") else { return element_type };
        for attribute in complex_type.children.iter().filter(|child| child.name == "xs:attribute") {
            element_type.attributes.insert(name_of(attribute), Attribute::parse(attribute));
        }
        for child in complex_type.child("xs:all").into_iter().flat_map(|all| &all.children) {
            let occurrence = Occurrence::parse(child);
            let child_element = ChildElement { element_type: ElementType::parse(child), occurrence };
            element_type.children.insert(name_of(child), child_element);
        }
        element_type
    }
}

impl Attribute {
    fn parse(element: &Element) -> Self {
        Attribute {
            type_name: element.attribute("type").unwrap_or_default().to_string(),
            is_required: element.attribute("use") == Some("required"),
            default: element.attribute("default").map(str::to_string),
        }
    }
}

impl Occurrence {
    fn parse(element: &Element) -> Self {
        match (element.attribute("minOccurs"), element.attribute("maxOccurs")) {
            (_, Some("unbounded")) => Occurrence::Unbounded,
            (Some("0"), _) => Occurrence::Optional,
            _ => Occurrence::Once,
        }
    }
}

fn name_of(element: &Element) -> String {
    element.attribute("name").unwrap_or_default().to_string()
}

/// A schema with one root element.
#[derive(Debug)]
pub struct Schema {
    /// The simple types by name.
    pub simple_types: BTreeMap<String, SimpleType>,
    /// The name of the root element.
    pub root_name: String,
    /// The type of the root element.
    pub root_type: ElementType,
}

impl Schema {
    /// Parses the text of a schema.
    pub fn parse(text: &str) -> Result<Schema, Vec<SettingsFault>> {
        let tree = xml_tree::parse(text)?;
        let simple_types = tree.children.iter().filter(|child| child.name == "xs:simpleType");
        let simple_types =
            simple_types.map(|element| (name_of(element), SimpleType::parse(element))).collect();
        let root = tree.child("xs:element");
        Ok(Schema {
            simple_types,
            root_name: root.map(name_of).unwrap_or_default(),
            root_type: root.map(ElementType::parse).unwrap_or_default(),
        })
    }

    /// Validates a document and returns all of its faults.
    pub fn check(&self, root: &Element) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        if root.name == self.root_name {
            self.check_element(root, &self.root_type, "", &mut faults);
        } else {
            let message = format!("unexpected root element; expected {}", self.root_name);
            faults.push(SettingsFault { line: root.line, place: root.name.clone(), message });
        }
        faults
    }

    /// Validates an element and its children. `parent_path` ends with a slash unless it is empty.
    fn check_element(
        &self,
        element: &Element,
        element_type: &ElementType,
        parent_path: &str,
        faults: &mut Vec<SettingsFault>,
    ) {
        let path = format!("{parent_path}{}", element.name);
        self.check_attributes(element, element_type, &path, faults);
        self.check_required_attributes(element, element_type, &path, faults);
        if element.has_text {
            let message = "contains text; only elements and attributes are allowed".to_string();
            faults.push(SettingsFault { line: element.line, place: path.clone(), message });
        }
        check_occurrences(element, element_type, &path, faults);
        for child in &element.children {
            let Some(expected) = element_type.children.get(&child.name) else {
                let message = format!("unknown element; {}", describe_names(element_type.children.keys()));
                let place = format!("{path}/{}", child.name);
                faults.push(SettingsFault { line: child.line, place, message });
                continue;
            };
            self.check_element(child, &expected.element_type, &format!("{path}/"), faults);
        }
    }

    /// Validates the attributes that are present.
    fn check_attributes(
        &self,
        element: &Element,
        element_type: &ElementType,
        path: &str,
        faults: &mut Vec<SettingsFault>,
    ) {
        for (name, value) in &element.attributes {
            let mut add_fault = |message| {
                let place = format!("{path}/@{name}");
                faults.push(SettingsFault { line: element.line, place, message });
            };
            let Some(attribute) = element_type.attributes.get(name) else {
                let allowed = describe_names(element_type.attributes.keys());
                add_fault(format!("unknown attribute; {allowed}"));
                continue;
            };
            let simple_type = self.simple_types.get(&attribute.type_name);
            if let Some(simple_type) = simple_type.filter(|simple_type| !simple_type.accepts(value)) {
                add_fault(format!("'{value}' is invalid; expected {}", simple_type.describe()));
            }
        }
    }

    fn check_required_attributes(
        &self,
        element: &Element,
        element_type: &ElementType,
        path: &str,
        faults: &mut Vec<SettingsFault>,
    ) {
        for (name, attribute) in &element_type.attributes {
            if !attribute.is_required || element.attribute(name).is_some() {
                continue;
            }
            let simple_type = self.simple_types.get(&attribute.type_name);
            let allowed = simple_type.map(SimpleType::describe).unwrap_or_default();
            let message = format!("required attribute is missing; expected {allowed}");
            faults.push(SettingsFault { line: element.line, place: format!("{path}/@{name}"), message });
        }
    }
}

/// Validates the number of occurrences of each child.
fn check_occurrences(
    element: &Element,
    element_type: &ElementType,
    path: &str,
    faults: &mut Vec<SettingsFault>,
) {
    for (name, child) in &element_type.children {
        let mut occurrences = element.children.iter().filter(|child| child.name == *name);
        let mut add_fault = |line, message: &str| {
            let place = format!("{path}/{name}");
            faults.push(SettingsFault { line, place, message: message.to_string() });
        };
        if occurrences.next().is_none() && child.occurrence == Occurrence::Once {
            add_fault(element.line, "required element is missing");
        }
        if child.occurrence != Occurrence::Unbounded {
            for repeated in occurrences {
                add_fault(repeated.line, "occurs more than once");
            }
        }
    }
}

fn describe_names<'a>(names: impl Iterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.map(String::as_str).collect();
    if names.is_empty() {
        return "none is allowed here".to_string();
    }
    format!("expected one of {}", names.join(", "))
}
