//! Permits: the messages, the permit server that grants permits within the disruption budget, and its
//! durable ledger.

mod admission;
mod ledger;
mod ledger_file;
mod messages;
mod observation;
mod server;

pub use ledger::PermitLedger;
pub use ledger_file::{decode_ledger, encode_ledger, LedgerFileError};
pub use messages::{
    Candidate, Permit, PermitRequest, PermitResponse, PermitReturn, RejectReason, Rejection, RestartOrder,
};
pub use observation::{NodeObservation, OutageCause};
pub use server::{Outage, PermitServer};
