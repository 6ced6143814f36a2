//! Identifiers of processes, backend servers and units of work, and monotonic
//! time.

mod agent;
mod hex_number;
mod prompt_part;
mod random_id;
mod store_version;
mod text_id;
mod tick;

pub use agent::{AgentRef, Epoch};
pub use prompt_part::PromptPart;
pub use random_id::{IncarnationId, RequestId, WorkId};
pub use store_version::{StoreEra, StoreVersion, StoreVersionError};
pub use text_id::{AcceleratorType, BackendId, DomainId, EntryId, PoolId, WorkspaceId};
pub use tick::Tick;
