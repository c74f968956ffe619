//! Plans and their limits.

use std::sync;

use indexmap::IndexMap;

const MAX_WEIGHT: u64 = 10_000;
const MAX_AMOUNT: u64 = u32::MAX as u64;
const CLASSES: &[(&str, model::Class)] = &[
    ("service", model::Class::Service),
    ("batch", model::Class::Batch),
    ("gang", model::Class::Gang),
];

/// Limits on what the tasks of one plan use at the same time in the whole cluster; `None` means no
/// limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Processor time in thousandths of a core.
    pub processors_milli: Option<u32>,
    /// Memory in MiB.
    pub memory_mb: Option<u32>,
    /// Whole accelerators.
    pub accelerators: Option<u32>,
    /// Tasks that run at the same time.
    pub tasks: Option<u32>,
    /// Task starts per second, in thousandths; never `Some(0)`.
    pub rate_milli: Option<u32>,
}

/// One plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The plan; the name of its section.
    pub plan_id: model::PlanId,
    /// Weight of its share relative to other plans; at least 1.
    pub weight: u32,
    /// Limits on what its tasks use.
    pub limits: Limits,
    /// Classes that its tasks may have; not empty.
    pub classes: Vec<model::Class>,
}

impl Plan {
    /// Returns whether tasks of `class` are allowed.
    #[must_use]
    pub fn allows(&self, class: model::Class) -> bool {
        self.classes.contains(&class)
    }
}

/// Parses a list of plans; findings refer to it as `file`.
///
/// # Errors
///
/// Returns every finding.
pub fn parse_plans(
    file: &str,
    text: &str,
) -> Result<IndexMap<model::PlanId, Plan>, settings::Findings> {
    let mut loader = settings::Loader::new(file, text);
    let plans = read_plans(&mut loader);
    loader.finish(plans)
}

pub(crate) fn read_plans(loader: &mut settings::Loader) -> IndexMap<model::PlanId, Plan> {
    let mut plans = IndexMap::new();
    for name in loader.section_names() {
        let plan = read_plan(&name, loader.section(&name));
        plans.insert(plan.plan_id.clone(), plan);
    }
    plans
}

fn read_plan(name: &str, mut section: settings::Section<'_>) -> Plan {
    Plan {
        plan_id: sync::Arc::from(name),
        weight: section.count("weight", 1, 1..=MAX_WEIGHT),
        limits: Limits {
            processors_milli: read_limit(&mut section, "processors_milli", 1),
            memory_mb: read_limit(&mut section, "memory_mb", 1),
            accelerators: read_limit(&mut section, "accelerators", 0),
            tasks: read_limit(&mut section, "tasks_at_once", 1),
            rate_milli: read_limit(&mut section, "tasks_per_second_milli", 0)
                .filter(|rate_milli| *rate_milli > 0),
        },
        classes: read_classes(&mut section),
    }
}

fn read_limit(section: &mut settings::Section<'_>, key: &str, min: u64) -> Option<u32> {
    let limit = section.optional_integer(key, min..=MAX_AMOUNT)?;
    u32::try_from(limit).ok()
}

fn read_classes(section: &mut settings::Section<'_>) -> Vec<model::Class> {
    let mut classes = Vec::new();
    for name in section.required_list("classes") {
        let known = CLASSES.iter().find(|(text, _)| *text == name);
        if let Some((_, class)) = known {
            classes.push(*class);
        } else if !name.is_empty() {
            let message = format!("'{name}' given, expected service, batch or gang");
            section.reject("classes", message);
        }
    }
    classes
}

/// Returns the names of `classes` as they are written in a list.
pub(crate) fn class_names(classes: &[model::Class]) -> String {
    let name_of = |class: &model::Class| CLASSES.iter().find(|(_, known)| known == class);
    let names: Vec<_> = classes.iter().filter_map(name_of).collect();
    let names: Vec<_> = names.iter().map(|(name, _)| *name).collect();
    names.join(", ")
}
