//! `ferryctl apply`: writes lists by compare-and-swap on the revision that the edit is based on.

mod commit;
pub(crate) mod settle_timing;

use crate::arguments;
use crate::commands;
use crate::commands::wait;
use crate::connect;
use crate::error;
use crate::list_file;
use crate::report;
use crate::report::Report as _;
use crate::status;

/// The lists to write, and how.
#[derive(Clone, Debug, Default)]
pub struct Apply {
    /// New customers list, if any.
    pub customers: Option<list_file::ListFile>,
    /// New plans list, if any.
    pub plans: Option<list_file::ListFile>,
    /// Revision that the edits are based on, for files without a revision line; 0 if the lists must
    /// not exist yet.
    pub expect_revision: Option<store::Revision>,
    /// Retries after a lost reply.
    pub settle: settle_timing::SettleTiming,
}

/// One list whose new text is in the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct AppliedList {
    /// Name of the list.
    pub list: String,
    /// Revision of the list.
    pub revision: store::Revision,
    /// Whether this command wrote the list; false if the store already had the same text.
    pub written: bool,
}

/// Result of an apply.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ApplyReport {
    /// The lists that were given.
    pub lists: Vec<AppliedList>,
    /// Whether the lists are in force on every live instance; `None` if the command did not wait.
    pub in_force: Option<bool>,
}

impl report::Report for ApplyReport {
    fn table(&self) -> String {
        let lines = self.lists.iter().map(|applied| {
            let (list, revision) = (&applied.list, applied.revision);
            if applied.written {
                format!("{list} written at revision {revision}\n")
            } else {
                format!("{list} unchanged, stored at revision {revision}\n")
            }
        });
        let mut text: String = lines.collect();
        if self.in_force == Some(true) {
            text.push_str("in force on every live instance\n");
        }
        text
    }
}

pub(crate) async fn run(mut args: arguments::Arguments) -> Result<ApplyReport, error::Error> {
    let store = connect::store(&mut args)?;
    let read = |path: Option<std::path::PathBuf>| {
        path.map(|path| list_file::ListFile::read(&path))
            .transpose()
    };
    let order = Apply {
        customers: read(args.path("--customers")?)?,
        plans: read(args.path("--plans")?)?,
        expect_revision: args.optional("--expect-revision")?,
        settle: settle_timing::SettleTiming::default(),
    };
    let waiting = if args.flag("--wait") {
        let operator = status::Operator::from_arguments(&mut args)?;
        Some((operator, wait::Timing::from_arguments(&mut args)?))
    } else {
        None
    };
    args.finish()?;
    let mut applied = apply(&store, &order).await?;
    if let Some((operator, timing)) = waiting {
        let goal = goal_of(&applied);
        let waited = wait::until_in_force(&operator, goal, timing).await;
        waited.map_err(|reason| not_in_force(&applied, &reason))?;
        applied.in_force = Some(true);
    }
    Ok(applied)
}

/// Returns an error that also says which lists were written.
fn not_in_force(applied: &ApplyReport, reason: &error::Error) -> error::Error {
    let written = applied.table();
    error::Error::new(reason.kind(), format!("{written}{reason}"))
}

fn goal_of(applied: &ApplyReport) -> wait::Goal {
    let revision_of = |list: lists::List| {
        let mut found = applied.lists.iter();
        let found = found.find(|applied| applied.list == list.as_str());
        found.map_or(0, |applied| applied.revision)
    };
    wait::Goal {
        customers: revision_of(lists::List::Customers),
        plans: revision_of(lists::List::Plans),
    }
}

/// Checks the lists together with the stored ones and writes them if the stored revisions are still
/// those that the edits are based on.
///
/// Both lists are written in one transaction. If only one list is given, the transaction also
/// requires the other to be unchanged since the given one was checked against it.
///
/// # Errors
///
/// - [`error::ErrorKind::Findings`] if the lists have findings: nothing was changed.
/// - [`error::ErrorKind::LostRace`] if another writer changed a list first: nothing was
///   changed.
/// - [`error::ErrorKind::Refused`] if the store could not be reached: nothing was changed.
/// - [`error::ErrorKind::Unknown`] if a reply was lost and reading back did not show the
///   outcome.
pub async fn apply<S: store::Store>(store: &S, order: &Apply) -> Result<ApplyReport, error::Error> {
    let wanted = wanted_revisions(order)?;
    let customers = connect::read_list(store, lists::List::Customers).await?;
    let plans = connect::read_list(store, lists::List::Plans).await?;
    check(order, &customers, &plans)?;
    let sides = [
        Side::new(lists::List::Customers, order.customers.as_ref(), customers),
        Side::new(lists::List::Plans, order.plans.as_ref(), plans),
    ];
    if sides.iter().all(Side::is_settled) {
        return Ok(report_of(&sides, None));
    }
    for (side, revision) in sides.iter().zip(wanted) {
        side.check_revision(revision)?;
    }
    let revision = commit::commit(store, &sides, order.settle).await?;
    Ok(report_of(&sides, Some(revision)))
}

/// One list in the transaction, either written or only compared.
struct Side<'a> {
    list: lists::List,
    /// Text to write; `None` if the list is only compared.
    new_text: Option<&'a str>,
    stored: connect::StoredList,
}

impl<'a> Side<'a> {
    fn new(
        list: lists::List,
        file: Option<&'a list_file::ListFile>,
        stored: connect::StoredList,
    ) -> Self {
        Self {
            list,
            new_text: file.map(list_file::ListFile::stored_text),
            stored,
        }
    }

    /// Returns whether the list needs no write.
    fn is_settled(&self) -> bool {
        let stored = self.stored.revision > 0;
        self.new_text
            .is_none_or(|text| stored && text == self.stored.text)
    }

    fn check_revision(&self, wanted: Option<store::Revision>) -> Result<(), error::Error> {
        match wanted {
            Some(wanted) if wanted != self.stored.revision => {
                Err(lost_race(self.list, wanted, self.stored.revision))
            }
            _ => Ok(()),
        }
    }
}

fn lost_race(list: lists::List, wanted: store::Revision, found: store::Revision) -> error::Error {
    let message = format!(
        "the {list} list is at revision {found}, expected {wanted}: another writer changed it and \
         nothing was written; fetch it with 'ferryctl show {list} --out FILE' and repeat the edit"
    );
    error::Error::new(error::ErrorKind::LostRace, message)
}

/// Returns the stored revision that the edit of each given list is based on.
fn wanted_revisions(order: &Apply) -> Result<[Option<store::Revision>; 2], error::Error> {
    if order.customers.is_none() && order.plans.is_none() {
        let message = "nothing to apply, expected --customers or --plans";
        return Err(error::Error::usage(message));
    }
    let wanted = |file: &Option<list_file::ListFile>| {
        let file = file.as_ref();
        file.map(|file| wanted_revision(file, order.expect_revision))
            .transpose()
    };
    Ok([wanted(&order.customers)?, wanted(&order.plans)?])
}

fn wanted_revision(
    file: &list_file::ListFile,
    expect_revision: Option<store::Revision>,
) -> Result<store::Revision, error::Error> {
    match (file.revision, expect_revision) {
        (Some(told), Some(given)) if told != given => Err(error::Error::usage(format!(
            "{}:1: revision {told} given, but --expect-revision is {given}",
            file.name
        ))),
        (Some(revision), _) | (None, Some(revision)) => Ok(revision),
        (None, None) => Err(error::Error::usage(format!(
            "{}: no revision given, expected '{}N' on the first line or \
             --expect-revision N, 0 for a new list",
            file.name,
            list_file::REVISION_HEADER
        ))),
    }
}

fn check(
    order: &Apply,
    customers: &connect::StoredList,
    plans: &connect::StoredList,
) -> Result<(), error::Error> {
    let customers = commands::diff::document_of(order.customers.as_ref(), "customers", customers);
    let plans = commands::diff::document_of(order.plans.as_ref(), "plans", plans);
    lists::Lists::parse_documents(customers, plans)?;
    Ok(())
}

fn report_of(sides: &[Side<'_>], written: Option<store::Revision>) -> ApplyReport {
    let given = sides.iter().filter(|side| side.new_text.is_some());
    let applied = given.map(|side| AppliedList {
        list: side.list.to_string(),
        revision: written.unwrap_or(side.stored.revision),
        written: written.is_some(),
    });
    ApplyReport {
        lists: applied.collect(),
        in_force: None,
    }
}
