//! The signal file: when what stands in it is a new word.

use std::time::SystemTime;

/// When a file was changed last, and its length.
pub type Stamp = (SystemTime, u64);

/// What is known of the signal file.
#[derive(Clone, Debug, Default)]
pub struct Signal {
    looked: bool,
    last: Option<Stamp>,
}

impl Signal {
    /// The file as it is now, or that there is none; whether its word is to be read. What stood there before this
    /// process is an old word: a proxy that starts again must not start a release again.
    pub fn is_new(&mut self, stamp: Option<Stamp>) -> bool {
        let first = !std::mem::replace(&mut self.looked, true);
        let changed = std::mem::replace(&mut self.last, stamp) != stamp;
        // An empty file is one that is being written.
        changed && !first && stamp.is_some_and(|(_, length)| length > 0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    /// Guards against a word that is obeyed twice, after a restart, or before it is written.
    #[test]
    fn a_word_is_new_once() {
        let at = |s: u64, length| Some((SystemTime::UNIX_EPOCH + Duration::from_secs(s), length));
        let mut signal = Signal::default();
        let looks = [
            (at(1, 5), false),
            (at(1, 5), false),
            (at(2, 0), false),
            (at(2, 5), true),
            (at(2, 5), false),
            (None, false),
            (at(2, 5), true),
            (at(3, 5), true),
        ];
        for (n, (stamp, new)) in looks.into_iter().enumerate() {
            assert_eq!(signal.is_new(stamp), new, "look {n}");
        }
        assert!(!Signal::default().is_new(None));
        let mut none = Signal::default();
        none.is_new(None);
        assert!(none.is_new(at(4, 5)), "the first word of a file that was not there");
    }
}
