//! An operator's words on a release, as they stand in the signal file.

use crate::Version;
use std::str::FromStr;

/// A word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// `start TARGET BACK`: all members go to one version, from the other.
    Start {
        /// What they are to run.
        target: Version,
        /// What they run.
        back: Version,
    },
    /// `halt`.
    Halt,
    /// `resume`.
    Resume,
    /// `undo`.
    Undo,
}

impl FromStr for Word {
    type Err = String;

    fn from_str(text: &str) -> Result<Word, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let version = |word: &str| word.parse().map_err(|_| format!("{word:?} is no version"));
        match words[..] {
            ["start", target, back] if target != back => {
                Ok(Word::Start { target: version(target)?, back: version(back)? })
            }
            ["halt"] => Ok(Word::Halt),
            ["resume"] => Ok(Word::Resume),
            ["undo"] => Ok(Word::Undo),
            _ => Err(String::from("wants one of: start TARGET BACK, halt, resume, undo")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_are_read_whole_or_not_at_all() {
        assert_eq!("start 7 6\n".parse(), Ok(Word::Start { target: 7, back: 6 }));
        assert_eq!(" undo ".parse(), Ok(Word::Undo));
        for bad in ["", "start 7", "start 7 7", "start 7 six", "halt now", "start 7 6 5"] {
            assert!(bad.parse::<Word>().is_err(), "{bad:?}");
        }
    }
}
