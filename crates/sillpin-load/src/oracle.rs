//! The response that a stand-in engine must send to a prompt, so that responses can be checked from
//! outside.
//!
//! Each token is a function of the complete prompt and of the token's position. A token that is lost,
//! repeated, out of order or of another prompt is therefore detected.

/// The expected response to one prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedAnswer {
    digest: [u8; 8],
}

impl ExpectedAnswer {
    /// Returns the expected response to `prompt`.
    pub fn of(prompt: &str) -> Self {
        let hash = blake3::hash(prompt.as_bytes());
        let mut digest = [0; 8];
        digest.copy_from_slice(&hash.as_bytes()[..8]);
        Self { digest }
    }

    /// Returns the text of the token at `index`.
    pub fn token(&self, index: u32) -> String {
        let digest = u64::from_le_bytes(self.digest);
        let mixed = (digest ^ u64::from(index).wrapping_mul(0x9e37_79b9_7f4a_7c15)).rotate_left(17);
        format!("{index}:{:06x} ", mixed & 0xff_ffff)
    }

    /// Returns the text of the first `tokens` tokens.
    pub fn text(&self, tokens: u32) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}
