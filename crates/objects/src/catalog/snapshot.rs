//! Encoding of a catalog at one revision for storage and transfer.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use super::{Catalog, CatalogDigest, ChangeRecord};
use crate::Revision;

/// Version of the snapshot format that this program reads and writes.
const FORMAT_VERSION: u32 = 1;

/// A catalog at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Revision of the catalog.
    pub revision: Revision,
    /// The objects.
    pub catalog: Catalog,
}

/// Error from decoding a snapshot or applying a change to it.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The bytes are not valid JSON or lack expected fields.
    #[snafu(display("malformed snapshot: {source}"))]
    Malformed {
        /// Error from the JSON parser.
        source: serde_json::Error,
    },
    /// The snapshot has an unsupported format version.
    #[snafu(display(
        "unsupported snapshot format {found}; this program reads format {FORMAT_VERSION}"
    ))]
    UnknownFormat {
        /// Format version of the snapshot.
        found: u32,
    },
    /// The content does not match its recorded digest.
    #[snafu(display(
        "content of revision {revision} does not match its recorded digest {expected}"
    ))]
    DigestMismatch {
        /// Revision of the snapshot.
        revision: Revision,
        /// Recorded digest.
        expected: CatalogDigest,
    },
    /// The change is not the successor of the snapshot's revision.
    #[snafu(display("change to revision {found} cannot be applied to revision {revision}"))]
    NotNext {
        /// Revision of the snapshot.
        revision: Revision,
        /// Revision of the change.
        found: Revision,
    },
}

#[derive(Serialize)]
struct Encoded<'a> {
    format: u32,
    revision: Revision,
    digest: CatalogDigest,
    catalog: &'a Catalog,
}

#[derive(Deserialize)]
struct Header {
    format: u32,
}

#[derive(Deserialize)]
struct Decoded {
    revision: Revision,
    digest: CatalogDigest,
    catalog: Catalog,
}

impl Snapshot {
    /// Encodes the snapshot as JSON with its format version and digest.
    ///
    /// # Panics
    ///
    /// Never: every snapshot can be encoded as JSON.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = Encoded {
            format: FORMAT_VERSION,
            revision: self.revision,
            digest: self.catalog.digest(),
            catalog: &self.catalog,
        };
        serde_json::to_vec(&encoded).expect("snapshot is encodable as JSON")
    }

    /// Decodes the output of [`Snapshot::encode`].
    ///
    /// # Errors
    ///
    /// Returns an error for malformed input, an unsupported format version, or
    /// content that does not match its digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let header: Header = serde_json::from_slice(bytes).context(MalformedSnafu)?;
        ensure!(header.format == FORMAT_VERSION, UnknownFormatSnafu { found: header.format });
        let decoded: Decoded = serde_json::from_slice(bytes).context(MalformedSnafu)?;
        let Decoded { revision, digest, catalog } = decoded;
        let snapshot = Self { revision, catalog };
        ensure!(
            snapshot.catalog.digest() == digest,
            DigestMismatchSnafu { revision: snapshot.revision, expected: digest }
        );
        Ok(snapshot)
    }

    /// Applies the next published change and returns the new snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not the next revision, or if the result
    /// does not match the digest in the record.
    pub fn advance(&self, record: &ChangeRecord) -> Result<Self, SnapshotError> {
        let is_next = record.revision == self.revision.next();
        ensure!(is_next, NotNextSnafu { revision: self.revision, found: record.revision });
        let catalog = self.catalog.with_change(&record.change);
        let matches = catalog.digest() == record.digest;
        ensure!(
            matches,
            DigestMismatchSnafu { revision: record.revision, expected: record.digest }
        );
        Ok(Self { revision: record.revision, catalog })
    }
}
