//! Validated construction of the tenants of a manifest.

use std::collections;
use std::fmt;

use crate::tenant;
use crate::tenant_set;

/// Most findings in a message: a line of the log has to fit into the buffer of 512 KB with others.
const MAX_SHOWN: usize = 500;

/// Collects the tenants of a manifest and everything that is wrong with them.
#[derive(Debug, Default)]
pub struct TenantsBuilder {
    tenants: tenant_set::Tenants,
    /// Number of tenants added so far, valid or not; names those without a name in findings.
    added: usize,
    findings: Vec<Finding>,
}

/// Something wrong with a tenant. It names the tenant and never an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the tenant, or its position in the list if it has none.
    pub tenant: String,
    /// What is wrong.
    pub fault: Fault,
}

/// What is wrong with a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It has no name.
    MissingName,
    /// An earlier tenant has the same name.
    DuplicateName,
    /// A key has no characters.
    EmptyKey,
    /// A key is listed twice.
    RepeatedKey,
    /// An earlier tenant has one of the keys.
    KeyOfTenant(model::TenantName),
    /// The weight is not a finite number above 0.
    InvalidWeight,
    /// A limit of the cap, with its name in the manifest, is negative or not a number.
    InvalidCap(&'static str),
    /// A field, with its name in the manifest, has another type than expected.
    WrongType(&'static str),
}

/// Everything that is wrong with the tenants of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

/// A tenant as it stands in a manifest; has no `Debug` output, as it has the API keys.
pub struct TenantEntry<'a> {
    /// Name; empty if there is none.
    pub name: &'a str,
    /// The API keys.
    pub api_keys: Vec<&'a str>,
    /// Weight; `None` if it is not a number.
    pub weight: Option<f64>,
    /// Limit of what the tenant may have running.
    pub cap: tenant::Cap,
    /// Faults that were found when the entry was decoded.
    pub faults: Vec<Fault>,
}

impl TenantsBuilder {
    /// Adds a tenant.
    #[must_use]
    pub fn tenant(mut self, entry: TenantEntry<'_>) -> Self {
        self.added += 1;
        let mut faults = entry.faults;
        if entry.name.is_empty() {
            faults.push(Fault::MissingName);
        } else if self.tenants.get(entry.name).is_some() {
            faults.push(Fault::DuplicateName);
        }
        let weight = entry
            .weight
            .filter(|weight| weight.is_finite() && *weight > 0.0);
        if weight.is_none() {
            faults.push(Fault::InvalidWeight);
        }
        faults.extend(self.key_faults(&entry.api_keys));
        if faults.is_empty() {
            let tenant = tenant::Tenant {
                name: entry.name.into(),
                weight: weight.unwrap_or_default(),
                cap: entry.cap,
            };
            self.tenants.insert(tenant, entry.api_keys);
            return self;
        }
        let name = if entry.name.is_empty() {
            format!("tenant {} of the list", self.added)
        } else {
            entry.name.to_owned()
        };
        let findings = faults.into_iter().map(|fault| Finding {
            tenant: name.clone(),
            fault,
        });
        self.findings.extend(findings);
        // Its name and keys count as taken, so that later findings are complete. `build` fails.
        let tenant = tenant::Tenant {
            name: name.into(),
            weight: 1.0,
            cap: entry.cap,
        };
        self.tenants.insert(tenant, entry.api_keys);
        self
    }

    /// Returns the tenants.
    ///
    /// # Errors
    ///
    /// Returns all findings if there are any.
    pub fn build(self) -> Result<tenant_set::Tenants, Findings> {
        if self.findings.is_empty() {
            Ok(self.tenants)
        } else {
            Err(Findings(self.findings))
        }
    }

    fn key_faults(&self, api_keys: &[&str]) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut seen = collections::HashSet::new();
        for key in api_keys {
            if key.is_empty() {
                faults.push(Fault::EmptyKey);
            } else if !seen.insert(*key) {
                faults.push(Fault::RepeatedKey);
            } else if let Some(owner) = self.tenants.by_key(key.as_bytes()) {
                faults.push(Fault::KeyOfTenant(model::TenantName::clone(&owner.name)));
            }
        }
        faults
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "tenant {:?}: ", self.tenant)?;
        match &self.fault {
            Fault::MissingName => f.write_str("the name is missing"),
            Fault::DuplicateName => f.write_str("the name is listed twice"),
            Fault::EmptyKey => f.write_str("an API key is empty"),
            Fault::RepeatedKey => f.write_str("an API key is listed twice"),
            Fault::KeyOfTenant(owner) => {
                write!(f, "an API key is also listed for tenant {owner:?}")
            }
            Fault::InvalidWeight => f.write_str("expected a weight that is a number above 0"),
            Fault::InvalidCap(limit) => {
                write!(f, "expected cap.{limit} to be a number not below 0")
            }
            Fault::WrongType(field) => write!(f, "{field} has a wrong type"),
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().take(MAX_SHOWN).enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{finding}")?;
        }
        match self.0.len().saturating_sub(MAX_SHOWN) {
            0 => Ok(()),
            others => write!(f, "; and {others} more"),
        }
    }
}
