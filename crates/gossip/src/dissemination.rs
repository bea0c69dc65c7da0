//! Receipt of notes piggybacked on SWIM's messages: stores them and tells foca which of them to disseminate
//! further.

use crate::note::{Note, NoteKey};
use crate::note_store::NoteStore;
use foca::BroadcastHandler;
use std::cell::RefCell;
use std::rc::Rc;

/// A note cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("received note cannot be decoded")]
pub struct NoteDecodeError;

/// foca's broadcast handler. The store is shared with the [`Membership`](crate::Membership), whose owner
/// reads it between calls.
pub(crate) struct NoteReceiver(pub(crate) Rc<RefCell<NoteStore>>);

impl<T> BroadcastHandler<T> for NoteReceiver {
    type Key = NoteKey;
    type Error = NoteDecodeError;

    fn receive_item(&mut self, data: &[u8], _sender: Option<&T>) -> Result<Option<NoteKey>, NoteDecodeError> {
        let mut store = self.0.borrow_mut();
        let Ok(note) = postcard::from_bytes::<Note>(data) else {
            store.invalid += 1;
            return Err(NoteDecodeError);
        };
        let key = note.key();
        Ok(store.insert(note).is_ok().then_some(key))
    }
}
