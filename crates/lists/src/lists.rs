//! A checked pair of lists.

use indexmap::IndexMap;
use subtle::ConstantTimeEq as _;

use crate::customer;
use crate::document;
use crate::plan;
use crate::token;

/// Customers and plans, with an index of customers by token digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists {
    /// Customers by id.
    customers: IndexMap<model::CustomerId, customer::Customer>,
    /// Plans by id.
    plans: IndexMap<model::PlanId, plan::Plan>,
    /// Position in `customers` by token digest.
    by_digest: IndexMap<token::TokenDigest, usize>,
}

impl Lists {
    /// Returns the pair, without checking that the plans of all customers are listed.
    #[must_use]
    pub fn new(
        customers: IndexMap<model::CustomerId, customer::Customer>,
        plans: IndexMap<model::PlanId, plan::Plan>,
    ) -> Self {
        let digests = customers.values().map(|customer| customer.token_sha256);
        let by_digest = digests.enumerate().map(|(index, digest)| (digest, index));
        Self {
            by_digest: by_digest.collect(),
            customers,
            plans,
        }
    }

    /// Parses both lists and checks that the plan of each customer is listed.
    ///
    /// # Errors
    ///
    /// Returns every finding in both lists; findings name the documents `customers` and `plans`.
    pub fn parse(customers_text: &str, plans_text: &str) -> Result<Self, settings::Findings> {
        let customers = document::Document::new("customers", customers_text);
        let plans = document::Document::new("plans", plans_text);
        Self::parse_documents(customers, plans)
    }

    /// Parses both lists under their own names and checks that the plan of each customer is listed.
    ///
    /// # Errors
    ///
    /// Returns every finding in both lists.
    pub fn parse_documents(
        customers: document::Document<'_>,
        plans: document::Document<'_>,
    ) -> Result<Self, settings::Findings> {
        let mut plans_loader = settings::Loader::new(plans.file, plans.text);
        let plans = plan::read_plans(&mut plans_loader);
        let mut loader = settings::Loader::new(customers.file, customers.text);
        let customers = customer::read_customers(&mut loader);
        if plans_loader.is_readable() {
            check_plans(&mut loader, &customers, &plans);
        }
        match (loader.finish(customers), plans_loader.finish(plans)) {
            (Ok(customers), Ok(plans)) => Ok(Self::new(customers, plans)),
            (customers, plans) => {
                let mut findings = customers.err().unwrap_or_default();
                findings.append(plans.err().unwrap_or_default());
                Err(findings)
            }
        }
    }

    /// Returns the customers by id.
    #[must_use]
    pub fn customers(&self) -> &IndexMap<model::CustomerId, customer::Customer> {
        &self.customers
    }

    /// Returns the plans by id.
    #[must_use]
    pub fn plans(&self) -> &IndexMap<model::PlanId, plan::Plan> {
        &self.plans
    }

    /// Returns the customer whose API token is `token`.
    ///
    /// Only the digest of the token is looked up, and the match is compared in constant time.
    #[must_use]
    pub fn authenticate(&self, token: &str) -> Option<&customer::Customer> {
        let digest = token::digest_token(token);
        let index = *self.by_digest.get(&digest)?;
        let (_, customer) = self.customers.get_index(index)?;
        let equal: bool = customer.token_sha256.ct_eq(&digest).into();
        equal.then_some(customer)
    }

    /// Returns the plan of `customer`; `None` if that plan is not listed.
    #[must_use]
    pub fn plan_of(&self, customer: &customer::Customer) -> Option<&plan::Plan> {
        self.plans.get(&customer.plan_id)
    }
}

fn check_plans(
    loader: &mut settings::Loader,
    customers: &IndexMap<model::CustomerId, customer::Customer>,
    plans: &IndexMap<model::PlanId, plan::Plan>,
) {
    for customer in customers.values() {
        let plan_id = &customer.plan_id;
        if plan_id.is_empty() || plans.contains_key(plan_id) {
            continue;
        }
        let names: Vec<_> = plans.keys().map(AsRef::as_ref).collect();
        let expected = names.join(", ");
        let message = format!("'{plan_id}' given, expected a listed plan: {expected}");
        loader.reject(&customer.customer_id, Some("plan"), message);
    }
}
