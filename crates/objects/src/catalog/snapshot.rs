//! A catalog at one revision, as stored and sent between processes.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use super::{Catalog, CatalogDigest, ChangeRecord};
use crate::Revision;

/// Version of the snapshot format that this program writes and reads.
const FORMAT_VERSION: u32 = 1;

/// A catalog at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Revision of the catalog.
    pub revision: Revision,
    /// The objects.
    pub catalog: Catalog,
}

/// Why bytes are not a usable snapshot.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The bytes are not JSON of the expected shape.
    #[snafu(display("the snapshot can't be read: {source}"))]
    Malformed {
        /// Cause given by the JSON reader.
        source: serde_json::Error,
    },
    /// The snapshot was written by a program with another format.
    #[snafu(display(
        "the snapshot has format {found}, this program reads format {FORMAT_VERSION}"
    ))]
    UnknownFormat {
        /// Format of the snapshot.
        found: u32,
    },
    /// The content does not match the digest that came with it.
    #[snafu(display("revision {revision} does not match its digest {expected}"))]
    DigestMismatch {
        /// Revision of the snapshot.
        revision: Revision,
        /// Digest that came with the content.
        expected: CatalogDigest,
    },
    /// A change does not follow the snapshot's revision.
    #[snafu(display("a change to revision {found} can't follow revision {revision}"))]
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
    /// Writes the snapshot as JSON with its format and digest.
    ///
    /// # Panics
    ///
    /// Never: a snapshot always has a JSON form.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = Encoded {
            format: FORMAT_VERSION,
            revision: self.revision,
            digest: self.catalog.digest(),
            catalog: &self.catalog,
        };
        serde_json::to_vec(&encoded).expect("a snapshot has a JSON form")
    }

    /// Reads what [`Snapshot::encode`] wrote.
    ///
    /// # Errors
    ///
    /// Refuses malformed bytes, other formats, and content that does not
    /// match its digest.
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

    /// The snapshot after the next published change.
    ///
    /// # Errors
    ///
    /// Refuses a change that is not the next one, and a result that does not
    /// match the digest in the record.
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
