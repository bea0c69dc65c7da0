//! Classifies request classes by their treatment in the negative cache.

use crate::config::Config;
use wharfplank_routing::{ClassId, Consistency};
use wharfplank_settings::NegativeCacheSettings;

/// The treatment of a request by the negative cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// The request is not relevant to the cache.
    Other,
    /// The request reads one key with this consistency.
    Read(Consistency),
    /// The request writes one key if `is_keyed`, and otherwise any keys of its group.
    Write { is_keyed: bool },
}

/// The kind of each class.
pub(super) struct RequestKinds(Vec<RequestKind>);

impl RequestKinds {
    pub(super) fn new(settings: &NegativeCacheSettings, config: &Config) -> Self {
        let classes = config.parameters.class_names.iter().zip(&config.settings.classes);
        let kinds = classes.map(|(name, class)| match class.consistency {
            Consistency::Write => RequestKind::Write { is_keyed: includes(&settings.write_classes, name) },
            consistency if includes(&settings.read_classes, name) => RequestKind::Read(consistency),
            _ => RequestKind::Other,
        });
        RequestKinds(kinds.collect())
    }

    pub(super) fn of(&self, class: ClassId) -> RequestKind {
        self.0.get(class.0).copied().unwrap_or(RequestKind::Other)
    }
}

/// Returns whether a space-separated list contains the name.
fn includes(names: &str, name: &str) -> bool {
    names.split(' ').any(|listed| listed == name)
}
