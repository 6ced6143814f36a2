//! Encoding and decoding of snapshots, durations and layer ranges.

use clementine_objects::{
    Catalog, LayerRange, Millis, Object, Priority, Revision, Snapshot, SnapshotError,
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 23;

fn quickcheck() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(64, SEED)).tests(1_000).max_tests(1_000)
}

fn snapshot(levels: &[u8]) -> Snapshot {
    let mut catalog = Catalog::default();
    for (number, level) in levels.iter().enumerate() {
        let name = format!("p{number}").parse().expect("valid name");
        catalog.put(Object::Priority(Priority { name, level: *level }));
    }
    Snapshot { revision: Revision(levels.len() as u64), catalog }
}

#[test]
fn encoded_snapshots_are_decoded_unchanged() {
    let holds = |levels: Vec<u8>| {
        let written = snapshot(&levels);
        Snapshot::decode(&written.encode()).is_ok_and(|read| read == written)
    };
    quickcheck().quickcheck(holds as fn(Vec<u8>) -> bool);
}

/// Guards against corrupted data being accepted: after one byte is overwritten,
/// decoding either fails or returns the original catalog.
#[test]
fn corruption_never_changes_the_content() {
    let holds = |levels: Vec<u8>, position: usize, byte: u8| {
        let written = snapshot(&levels);
        let mut bytes = written.encode();
        let position = position % bytes.len();
        bytes[position] = byte;
        Snapshot::decode(&bytes).map_or(true, |read| read.catalog == written.catalog)
    };
    quickcheck().quickcheck(holds as fn(Vec<u8>, usize, u8) -> bool);
}

#[test]
fn arbitrary_bytes_are_rejected_without_panic() {
    let holds = |bytes: Vec<u8>| Snapshot::decode(&bytes).is_err();
    quickcheck().quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn unsupported_format_versions_are_rejected() {
    let text = String::from_utf8(snapshot(&[1]).encode()).expect("UTF-8");
    let newer = text.replace("\"format\":1", "\"format\":2");
    let result = Snapshot::decode(newer.as_bytes());
    assert!(matches!(result, Err(SnapshotError::UnknownFormat { found: 2 })));
}

#[test]
fn durations_and_layer_ranges_are_parsed() {
    let durations = [("250ms", 250), ("30s", 30_000), ("5m", 300_000), ("168h", 604_800_000)];
    for (text, millis) in durations {
        assert_eq!(text.parse(), Ok(Millis(millis)));
    }
    assert_eq!(Millis(90_000).to_string(), "90s");
    for text in ["", "5", "ms", "-1s", "1.5s", "5 s", "99999999999999999999s"] {
        assert!(text.parse::<Millis>().is_err(), "{text}");
    }
    assert_eq!("3-7".parse(), Ok(LayerRange::new(3, 7).expect("valid range")));
    for text in ["7-3", "3", "a-b", "-1-3"] {
        assert!(text.parse::<LayerRange>().is_err(), "{text}");
    }
}
