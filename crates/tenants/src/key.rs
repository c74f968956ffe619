//! Digests of API keys, and of customers' tokens in `lists`.

use sha2::Digest as _;

/// SHA-256 of an API key.
pub type KeyDigest = [u8; 32];

/// Returns the digest of an API key.
#[must_use]
pub fn digest_key(key: &[u8]) -> KeyDigest {
    sha2::Sha256::digest(key).into()
}
