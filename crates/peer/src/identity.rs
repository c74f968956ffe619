//! Identity with which an instance authenticates on a link.

use std::fmt;
use std::fmt::Write as _;

use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

const PROOF_CONTEXT: &[u8] = b"sapphireferry peer link";

/// Id of an instance, with the cluster name and the proof of the shared secret.
///
/// The proof is a digest of the secret that the connecting end sends as a bearer token. It is the
/// same for each connection, so anyone who can read the traffic can replay it: this suffices on a
/// private network only.
#[derive(Clone)]
pub struct Identity {
    instance_id: model::InstanceId,
    cluster: String,
    /// Digest of the secret in hexadecimal; `None` without a secret: then no proof matches.
    proof: Option<String>,
}

impl Identity {
    /// Creates the identity of an instance, without cluster name and secret.
    #[must_use]
    pub fn new(instance_id: impl Into<model::InstanceId>) -> Self {
        Self {
            instance_id: instance_id.into(),
            cluster: String::new(),
            proof: None,
        }
    }

    /// Sets the cluster name, which must be the same at both ends.
    #[must_use]
    pub fn cluster(mut self, cluster: impl Into<String>) -> Self {
        self.cluster = cluster.into();
        self
    }

    /// Sets the secret, which must be the same at both ends; an empty one never matches.
    #[must_use]
    pub fn secret(mut self, secret: impl AsRef<[u8]>) -> Self {
        let secret = secret.as_ref();
        self.proof = (!secret.is_empty()).then(|| secret_proof(secret));
        self
    }

    /// Returns the id of the instance.
    #[must_use]
    pub fn instance_id(&self) -> &model::InstanceId {
        &self.instance_id
    }

    pub(crate) fn cluster_name(&self) -> &str {
        &self.cluster
    }

    pub(crate) fn proof(&self) -> &str {
        self.proof.as_deref().unwrap_or_default()
    }

    /// Returns whether `presented` is the proof of the own secret; compares in constant time.
    pub(crate) fn accepts_proof(&self, presented: &[u8]) -> bool {
        let own = self.proof.as_deref();
        own.is_some_and(|own| own.as_bytes().ct_eq(presented).into())
    }
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Identity")
            .field("instance_id", &self.instance_id)
            .field("cluster", &self.cluster)
            .finish_non_exhaustive()
    }
}

fn secret_proof(secret: &[u8]) -> String {
    let mut hasher = sha2::Sha256::new();
    hasher.update(PROOF_CONTEXT);
    hasher.update(secret);
    let digest = hasher.finalize();
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
