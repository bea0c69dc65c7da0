//! What the requests of each class mean to the negative cache.

use crate::config::Config;
use wharfplank_routing::{ClassId, Consistency};
use wharfplank_settings::NegativeCacheSettings;

/// What a request means to the negative cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// Nothing.
    Other,
    /// It reads one key with this consistency.
    Read(Consistency),
    /// It writes one key where `is_keyed`, and otherwise any keys of its group.
    Write { is_keyed: bool },
}

/// The kind of each class.
pub(super) struct RequestKinds(Vec<RequestKind>);

impl RequestKinds {
    pub(super) fn new(settings: &NegativeCacheSettings, config: &Config) -> Self {
        let classes = config.terms.class_names.iter().zip(&config.settings.classes);
        let kinds = classes.map(|(name, class)| match class.consistency {
            Consistency::Write => RequestKind::Write { is_keyed: lists(&settings.write_classes, name) },
            consistency if lists(&settings.read_classes, name) => RequestKind::Read(consistency),
            _ => RequestKind::Other,
        });
        RequestKinds(kinds.collect())
    }

    pub(super) fn of(&self, class: ClassId) -> RequestKind {
        self.0.get(class.0).copied().unwrap_or(RequestKind::Other)
    }
}

/// Whether a list of names, separated by spaces, has this one.
fn lists(names: &str, name: &str) -> bool {
    names.split(' ').any(|listed| listed == name)
}
