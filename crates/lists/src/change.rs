//! Differences between two pairs of lists.

use std::fmt;

use crate::customer;
use crate::document;
use crate::lists;
use crate::plan;

const NO_LIMIT: &str = "no limit";

/// A value that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Key in the list.
    pub key: &'static str,
    /// Value before.
    pub old: String,
    /// Value after.
    pub new: String,
}

/// How a section differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Only the new list has it.
    Added,
    /// Only the old list has it.
    Removed,
    /// Both lists have it with different values; not empty.
    Changed(Vec<FieldChange>),
}

/// One section that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The list.
    pub list: document::List,
    /// The section.
    pub section: String,
    /// How the section differs.
    pub kind: ChangeKind,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} [{}]", self.list, self.section)?;
        match &self.kind {
            ChangeKind::Added => f.write_str(" added"),
            ChangeKind::Removed => f.write_str(" removed"),
            ChangeKind::Changed(fields) => {
                for (index, field) in fields.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma} {}: {} -> {}", field.key, field.old, field.new)?;
                }
                Ok(())
            }
        }
    }
}

/// Returns the sections that differ: customers first, then plans. Within a list they are in the
/// order of `new`, with removed sections last.
#[must_use]
pub fn diff(old: &lists::Lists, new: &lists::Lists) -> Vec<Change> {
    let mut changes = Vec::new();
    let customers = document::List::Customers;
    compare(
        &mut changes,
        customers,
        rows_by_section(old.customers().values().map(customer_row)),
        rows_by_section(new.customers().values().map(customer_row)),
    );
    let plans = document::List::Plans;
    compare(
        &mut changes,
        plans,
        rows_by_section(old.plans().values().map(plan_row)),
        rows_by_section(new.plans().values().map(plan_row)),
    );
    changes
}

/// A section with its values as text, in a fixed order of keys.
struct Row {
    section: String,
    fields: Vec<(&'static str, String)>,
}

type Rows = indexmap::IndexMap<String, Row>;

fn rows_by_section(rows: impl Iterator<Item = Row>) -> Rows {
    rows.map(|row| (row.section.clone(), row)).collect()
}

fn compare(changes: &mut Vec<Change>, list: document::List, old: Rows, new: Rows) {
    for (section, row) in &new {
        let kind = match old.get(section) {
            None => ChangeKind::Added,
            Some(before) => ChangeKind::Changed(changed_fields(before, row)),
        };
        if kind != ChangeKind::Changed(Vec::new()) {
            let section = section.clone();
            changes.push(Change {
                list,
                section,
                kind,
            });
        }
    }
    for section in old.into_keys() {
        if !new.contains_key(&section) {
            changes.push(Change {
                list,
                section,
                kind: ChangeKind::Removed,
            });
        }
    }
}

fn changed_fields(old: &Row, new: &Row) -> Vec<FieldChange> {
    let pairs = old.fields.iter().zip(&new.fields);
    let changed = pairs.filter(|((_, before), (_, after))| before != after);
    let fields = changed.map(|((key, before), (_, after))| FieldChange {
        key,
        old: before.clone(),
        new: after.clone(),
    });
    fields.collect()
}

fn customer_row(customer: &customer::Customer) -> Row {
    let bytes = customer.token_sha256.iter();
    let digest: String = bytes.map(|byte| format!("{byte:02x}")).collect();
    Row {
        section: customer.customer_id.to_string(),
        fields: vec![
            ("plan", customer.plan_id.to_string()),
            ("region", customer.region.to_string()),
            ("token_sha256", digest),
        ],
    }
}

fn plan_row(plan: &plan::Plan) -> Row {
    let limits = &plan.limits;
    Row {
        section: plan.plan_id.to_string(),
        fields: vec![
            ("weight", plan.weight.to_string()),
            ("processors_milli", limit_text(limits.processors_milli)),
            ("memory_mb", limit_text(limits.memory_mb)),
            ("accelerators", limit_text(limits.accelerators)),
            ("tasks_at_once", limit_text(limits.tasks)),
            ("tasks_per_second_milli", limit_text(limits.rate_milli)),
            ("classes", plan::class_names(&plan.classes)),
        ],
    }
}

fn limit_text(limit: Option<u32>) -> String {
    limit.map_or_else(|| NO_LIMIT.to_owned(), |limit| limit.to_string())
}
