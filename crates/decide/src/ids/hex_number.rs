//! Serde adapter for numbers in hexadecimal.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// Serializes a `u128` as a string of 32 hexadecimal digits.
#[derive(Debug)]
pub(crate) struct HexNumber;

impl SerializeAs<u128> for HexNumber {
    fn serialize_as<S: Serializer>(number: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        format!("{number:032x}").serialize(serializer)
    }
}

impl<'de> DeserializeAs<'de, u128> for HexNumber {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
