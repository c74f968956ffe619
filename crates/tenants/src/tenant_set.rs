//! The tenants of one version of the manifest.

use std::fmt;

use indexmap::IndexMap;

use crate::key;
use crate::tenant;

/// The tenants of one version of the manifest, by name and by API key.
///
/// Keys are kept and looked up as digests, so that the time of a lookup tells nothing about them; the
/// `Debug` output has only their number.
#[derive(Clone, Default, PartialEq)]
pub struct Tenants {
    tenants: IndexMap<model::TenantName, tenant::Tenant>,
    /// Index into `tenants` by the digest of a key.
    keys: IndexMap<key::KeyDigest, usize>,
}

impl Tenants {
    /// Adds a tenant with its API keys; replaces one of the same name.
    pub fn insert<'a>(
        &mut self,
        tenant: tenant::Tenant,
        api_keys: impl IntoIterator<Item = &'a str>,
    ) {
        let (index, _) = self
            .tenants
            .insert_full(model::TenantName::clone(&tenant.name), tenant);
        let digests = api_keys
            .into_iter()
            .map(|key| key::digest_key(key.as_bytes()));
        self.keys.extend(digests.map(|digest| (digest, index)));
    }

    /// Returns the tenant with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&tenant::Tenant> {
        self.tenants.get(name)
    }

    /// Returns the tenant that an API key belongs to.
    #[must_use]
    pub fn by_key(&self, key: &[u8]) -> Option<&tenant::Tenant> {
        let index = self.keys.get(&key::digest_key(key))?;
        self.tenants.get_index(*index).map(|(_, tenant)| tenant)
    }

    /// Returns all tenants, in the order of the manifest.
    pub fn iter(&self) -> impl Iterator<Item = &tenant::Tenant> {
        self.tenants.values()
    }

    /// Returns the sum of all weights.
    #[must_use]
    pub fn total_weight(&self) -> f64 {
        self.iter().map(|tenant| tenant.weight).sum()
    }
}

impl fmt::Debug for Tenants {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tenants")
            .field("tenants", &self.tenants)
            .field("key_count", &self.keys.len())
            .finish()
    }
}
