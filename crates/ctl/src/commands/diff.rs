//! `ferryctl diff`: compares files with the stored lists.

use crate::arguments;
use crate::error;
use crate::list_file;
use crate::report;
use crate::stored_list;

/// One section that differs from the stored list.
#[derive(Debug, serde::Serialize)]
struct Difference {
    list: String,
    section: String,
    change: &'static str,
    fields: Vec<Field>,
    #[serde(skip)]
    text: String,
}

/// One key whose value differs.
#[derive(Debug, serde::Serialize)]
struct Field {
    key: &'static str,
    old: String,
    new: String,
}

/// Every section that differs.
#[derive(Debug, serde::Serialize)]
pub(crate) struct DiffReport {
    customers_revision: store::Revision,
    plans_revision: store::Revision,
    differences: Vec<Difference>,
}

impl report::Report for DiffReport {
    fn table(&self) -> String {
        if self.differences.is_empty() {
            return "no differences\n".to_owned();
        }
        let lines = self.differences.iter();
        lines.map(|line| format!("{}\n", line.text)).collect()
    }
}

pub(crate) async fn run(mut args: arguments::Arguments) -> Result<DiffReport, error::Error> {
    let store = stored_list::connect(&mut args)?;
    let customers = args.path("--customers")?;
    let plans = args.path("--plans")?;
    args.finish()?;
    if customers.is_none() && plans.is_none() {
        let message = "nothing to compare, expected --customers or --plans";
        return Err(error::Error::usage(message));
    }
    let read = |path: Option<std::path::PathBuf>| {
        path.map(|path| list_file::ListFile::read(&path))
            .transpose()
    };
    diff(&store, read(customers)?, read(plans)?).await
}

async fn diff<S: store::Store>(
    store: &S,
    customers: Option<list_file::ListFile>,
    plans: Option<list_file::ListFile>,
) -> Result<DiffReport, error::Error> {
    let old_customers = stored_list::read_list(store, lists::List::Customers).await?;
    let old_plans = stored_list::read_list(store, lists::List::Plans).await?;
    let old = lists::Lists::parse(&old_customers.text, &old_plans.text)?;
    let customers = new_or_stored_document(customers.as_ref(), "customers", &old_customers);
    let plans = new_or_stored_document(plans.as_ref(), "plans", &old_plans);
    let new = lists::Lists::parse_documents(customers, plans)?;
    let differences = lists::diff(&old, &new);
    Ok(DiffReport {
        customers_revision: old_customers.revision,
        plans_revision: old_plans.revision,
        differences: differences.into_iter().map(difference).collect(),
    })
}

/// Returns the document in `file`, or the stored one if no file was given.
pub(crate) fn new_or_stored_document<'a>(
    file: Option<&'a list_file::ListFile>,
    stored_name: &'a str,
    stored: &'a stored_list::StoredList,
) -> lists::Document<'a> {
    match file {
        Some(file) => lists::Document::new(&file.name, &file.text),
        None => lists::Document::new(stored_name, &stored.text),
    }
}

fn difference(change: lists::Change) -> Difference {
    let text = change.to_string();
    let (name, fields) = match change.kind {
        lists::ChangeKind::Added => ("added", Vec::new()),
        lists::ChangeKind::Removed => ("removed", Vec::new()),
        lists::ChangeKind::Changed(fields) => ("changed", fields),
    };
    let fields = fields.into_iter().map(|field| Field {
        key: field.key,
        old: field.old,
        new: field.new,
    });
    Difference {
        list: change.list.to_string(),
        section: change.section,
        change: name,
        fields: fields.collect(),
        text,
    }
}
