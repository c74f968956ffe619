//! The newest valid lists that an instance has received.

use std::sync;

use indexmap::IndexMap;

use crate::customer;
use crate::document;
use crate::lists;
use crate::plan;

/// Result of applying an offered pair of lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApplyResult {
    /// Whether at least one list came into force.
    pub changed: bool,
    /// Faults of offered lists, which were not applied; each revision is reported once.
    pub findings: settings::Findings,
}

/// The lists in force, with the text and revision they came from.
///
/// The revision of each list never decreases, whatever the order in which lists are offered. Each
/// list is applied independently: if an offered pair arrives in parts, a customer may refer to a
/// plan that is not in force yet, and [`lists::Lists::plan_of`] returns `None` for it.
#[derive(Clone, Debug, Default)]
pub struct ListsInForce {
    state: model::ListsState,
    lists: sync::Arc<lists::Lists>,
    /// Revision of the latest faulty customers list; 0 before the first.
    faulty_customers_revision: model::Revision,
    /// Revision of the latest faulty plans list; 0 before the first.
    faulty_plans_revision: model::Revision,
}

impl ListsInForce {
    /// Returns empty lists at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the lists in force.
    #[must_use]
    pub fn lists(&self) -> sync::Arc<lists::Lists> {
        self.lists.clone()
    }

    /// Returns the text and revision of the lists in force, in the form sent to peers.
    #[must_use]
    pub fn state(&self) -> &model::ListsState {
        &self.state
    }

    /// Returns the revision of `list` in force; 0 if there is none.
    #[must_use]
    pub fn revision(&self, list: document::List) -> model::Revision {
        match list {
            document::List::Customers => self.state.customers.revision,
            document::List::Plans => self.state.plans.revision,
        }
    }

    /// Returns whether both lists are in force.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state.customers.revision > 0 && self.state.plans.revision > 0
    }

    /// Applies each valid list of `offered` that has a higher revision than the one in force.
    pub fn apply(&mut self, offered: &model::ListsState) -> ApplyResult {
        let mut findings = settings::Findings::default();
        let customers = self.apply_customers(&offered.customers, &mut findings);
        let plans = self.apply_plans(&offered.plans, &mut findings);
        let changed = customers.is_some() || plans.is_some();
        if changed {
            let customers = customers.unwrap_or_else(|| self.lists.customers().clone());
            let plans = plans.unwrap_or_else(|| self.lists.plans().clone());
            self.lists = sync::Arc::new(lists::Lists::new(customers, plans));
        }
        ApplyResult { changed, findings }
    }

    fn apply_customers(
        &mut self,
        offered: &model::ListText,
        findings: &mut settings::Findings,
    ) -> Option<IndexMap<model::CustomerId, customer::Customer>> {
        if !is_applicable(
            offered,
            &self.state.customers,
            self.faulty_customers_revision,
        ) {
            return None;
        }
        let file = file_name(document::List::Customers, offered);
        match customer::parse_customers(&file, &offered.text) {
            Ok(customers) => {
                self.state.customers = offered.clone();
                Some(customers)
            }
            Err(faults) => {
                self.faulty_customers_revision = offered.revision;
                findings.append(faults);
                None
            }
        }
    }

    fn apply_plans(
        &mut self,
        offered: &model::ListText,
        findings: &mut settings::Findings,
    ) -> Option<IndexMap<model::PlanId, plan::Plan>> {
        if !is_applicable(offered, &self.state.plans, self.faulty_plans_revision) {
            return None;
        }
        let file = file_name(document::List::Plans, offered);
        match plan::parse_plans(&file, &offered.text) {
            Ok(plans) => {
                self.state.plans = offered.clone();
                Some(plans)
            }
            Err(faults) => {
                self.faulty_plans_revision = offered.revision;
                findings.append(faults);
                None
            }
        }
    }
}

fn is_applicable(
    offered: &model::ListText,
    in_force: &model::ListText,
    faulty_revision: model::Revision,
) -> bool {
    offered.revision > in_force.revision && offered.revision != faulty_revision
}

fn file_name(list: document::List, offered: &model::ListText) -> String {
    format!("{list}@{}", offered.revision)
}
