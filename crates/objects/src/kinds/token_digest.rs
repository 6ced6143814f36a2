//! Digests of bearer tokens.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// SHA-256 digest of a bearer token, written as 64 hexadecimal digits.
///
/// The token itself is never stored or logged.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct TokenDigest([u8; 32]);

/// Error for a string that is not a SHA-256 digest.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a SHA-256 digest; expected 64 hexadecimal digits"))]
pub struct TokenDigestError {
    text: CompactString,
}

impl TokenDigest {
    /// Computes the digest of a bearer token.
    pub fn of_token(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }
}

impl fmt::Display for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for TokenDigest {
    type Err = TokenDigestError;

    fn from_str(text: &str) -> Result<Self, TokenDigestError> {
        let error = || TokenDigestError { text: text.into() };
        if text.len() != 64 || !text.is_ascii() {
            return Err(error());
        }
        let mut digest = [0; 32];
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| error())?;
        }
        Ok(Self(digest))
    }
}
