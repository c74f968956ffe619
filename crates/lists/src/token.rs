//! Digests of API tokens.

/// SHA-256 of an API token.
pub type TokenDigest = tenants::KeyDigest;

const DIGEST_BYTES: usize = 32;

/// Returns the SHA-256 of `token`.
#[must_use]
pub fn digest_token(token: &str) -> TokenDigest {
    tenants::digest_key(token.as_bytes())
}

/// Parses a digest in hexadecimal.
pub(crate) fn parse_digest(text: &str) -> Option<TokenDigest> {
    let digits = text.as_bytes();
    if digits.len() != 2 * DIGEST_BYTES {
        return None;
    }
    let mut digest = [0_u8; DIGEST_BYTES];
    for (byte, pair) in digest.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
    }
    Some(digest)
}

fn hex_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
