//! Who an instance says it is on a link.

use std::fmt;

/// What both ends of a link prove to each other.
#[derive(Clone)]
pub struct Identity {
    instance_id: model::InstanceId,
    cluster: String,
    secret: String,
}

impl Identity {
    /// Creates the identity of an instance, with empty cluster name and secret.
    #[must_use]
    pub fn new(instance_id: impl Into<model::InstanceId>) -> Self {
        Self {
            instance_id: instance_id.into(),
            cluster: String::new(),
            secret: String::new(),
        }
    }

    /// Sets the cluster name, which both ends must have in common.
    #[must_use]
    pub fn cluster(mut self, cluster: impl Into<String>) -> Self {
        self.cluster = cluster.into();
        self
    }

    /// Sets the secret, which both ends must have in common.
    #[must_use]
    pub fn secret(mut self, secret: impl Into<String>) -> Self {
        self.secret = secret.into();
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

    pub(crate) fn secret_text(&self) -> &str {
        &self.secret
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
