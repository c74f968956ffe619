//! Customers and their plans.

use std::sync;

use indexmap::IndexMap;

use crate::token;

/// One customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The customer; the name of its section.
    pub customer_id: model::CustomerId,
    /// Plan that its tasks are charged to.
    pub plan_id: model::PlanId,
    /// Region that it calls from.
    pub region: model::Region,
    /// SHA-256 of its API token; unique among customers.
    pub token_sha256: token::TokenDigest,
}

/// Parses a list of customers; findings refer to it as `file`.
///
/// # Errors
///
/// Returns every finding.
pub fn parse_customers(
    file: &str,
    text: &str,
) -> Result<IndexMap<model::CustomerId, Customer>, settings::Findings> {
    let mut loader = settings::Loader::new(file, text);
    let customers = read_customers(&mut loader);
    loader.finish(customers)
}

pub(crate) fn read_customers(
    loader: &mut settings::Loader,
) -> IndexMap<model::CustomerId, Customer> {
    let mut customers = IndexMap::new();
    let mut seen = IndexMap::<token::TokenDigest, String>::new();
    for name in loader.section_names() {
        let mut section = loader.section(&name);
        let customer = read_customer(&name, &mut section);
        match seen.get(&customer.token_sha256) {
            Some(other) if customer.token_sha256 != PLACEHOLDER_DIGEST => {
                let message = format!("the same as that of [{other}], expected one of its own");
                section.reject("token_sha256", message);
            }
            _ => {
                seen.insert(customer.token_sha256, name.clone());
            }
        }
        customers.insert(customer.customer_id.clone(), customer);
    }
    customers
}

/// Replaces a missing or invalid digest, so that reading continues.
const PLACEHOLDER_DIGEST: token::TokenDigest = [0; 32];

fn read_customer(name: &str, section: &mut settings::Section<'_>) -> Customer {
    let plan = section.required_text("plan");
    let region = section.required_text("region");
    let digest_text = section.required_text("token_sha256");
    let digest = token::parse_digest(&digest_text);
    if digest.is_none() && !digest_text.is_empty() {
        let message = "not a digest, expected the sha-256 of the token in 64 hexadecimal digits";
        section.reject("token_sha256", message);
    }
    Customer {
        customer_id: sync::Arc::from(name),
        plan_id: sync::Arc::from(plan),
        region: sync::Arc::from(region),
        token_sha256: digest.unwrap_or(PLACEHOLDER_DIGEST),
    }
}
