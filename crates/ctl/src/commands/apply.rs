//! `ferryctl apply`: writes lists by compare-and-swap on the revision that the edit is based on.

mod commit;
pub(crate) mod retry_policy;

use crate::arguments;
use crate::commands;
use crate::commands::wait;
use crate::error;
use crate::list_file;
use crate::report;
use crate::report::Report as _;
use crate::status;
use crate::stored_list;

/// The lists to write, and how.
#[derive(Clone, Debug, Default)]
pub struct ApplyOptions {
    /// New customers list, if any.
    pub customers: Option<list_file::ListFile>,
    /// New plans list, if any.
    pub plans: Option<list_file::ListFile>,
    /// Revision that the edits are based on, for files without a revision line; 0 if the lists must
    /// not exist yet.
    pub expect_revision: Option<store::Revision>,
    /// Retries after a lost reply.
    pub retry: retry_policy::RetryPolicy,
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
    let store = stored_list::connect(&mut args)?;
    let read = |path: Option<std::path::PathBuf>| {
        path.map(|path| list_file::ListFile::read(&path))
            .transpose()
    };
    let options = ApplyOptions {
        customers: read(args.path("--customers")?)?,
        plans: read(args.path("--plans")?)?,
        expect_revision: args.optional("--expect-revision")?,
        retry: retry_policy::RetryPolicy::default(),
    };
    let wait = if args.flag("--wait") {
        let client = status::OperatorClient::from_arguments(&mut args)?;
        Some((client, wait::PollTiming::from_arguments(&mut args)?))
    } else {
        None
    };
    args.finish()?;
    let mut report = apply(&store, &options).await?;
    if let Some((client, timing)) = wait {
        let target = target_revisions(&report);
        let result = wait::wait_until_in_force(&client, target, timing).await;
        result.map_err(|reason| add_written_lists(&report, &reason))?;
        report.in_force = Some(true);
    }
    Ok(report)
}

/// Returns an error that also says which lists were written.
fn add_written_lists(report: &ApplyReport, reason: &error::Error) -> error::Error {
    let written = report.table();
    error::Error::new(reason.kind(), format!("{written}{reason}"))
}

fn target_revisions(report: &ApplyReport) -> wait::TargetRevisions {
    let revision_of = |list: lists::List| {
        let mut found = report.lists.iter();
        let found = found.find(|applied| applied.list == list.as_str());
        found.map_or(0, |applied| applied.revision)
    };
    wait::TargetRevisions {
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
pub async fn apply<S: store::Store>(
    store: &S,
    options: &ApplyOptions,
) -> Result<ApplyReport, error::Error> {
    let expected = expected_revisions(options)?;
    let customers = stored_list::read_list(store, lists::List::Customers).await?;
    let plans = stored_list::read_list(store, lists::List::Plans).await?;
    check_lists(options, &customers, &plans)?;
    let updates = [
        ListUpdate::new(
            lists::List::Customers,
            options.customers.as_ref(),
            customers,
        ),
        ListUpdate::new(lists::List::Plans, options.plans.as_ref(), plans),
    ];
    if updates.iter().all(ListUpdate::is_unchanged) {
        return Ok(build_report(&updates, None));
    }
    for (update, revision) in updates.iter().zip(expected) {
        update.check_revision(revision)?;
    }
    let revision = commit::commit(store, &updates, options.retry).await?;
    Ok(build_report(&updates, Some(revision)))
}

/// One list in the transaction, either written or only compared.
struct ListUpdate<'a> {
    list: lists::List,
    /// Text to write; `None` if the list is only compared.
    new_text: Option<&'a str>,
    stored: stored_list::StoredList,
}

impl<'a> ListUpdate<'a> {
    fn new(
        list: lists::List,
        file: Option<&'a list_file::ListFile>,
        stored: stored_list::StoredList,
    ) -> Self {
        Self {
            list,
            new_text: file.map(list_file::ListFile::stored_text),
            stored,
        }
    }

    /// Returns whether the list needs no write.
    fn is_unchanged(&self) -> bool {
        let stored = self.stored.revision > 0;
        self.new_text
            .is_none_or(|text| stored && text == self.stored.text)
    }

    fn check_revision(&self, expected: Option<store::Revision>) -> Result<(), error::Error> {
        match expected {
            Some(expected) if expected != self.stored.revision => {
                Err(revision_conflict(self.list, expected, self.stored.revision))
            }
            _ => Ok(()),
        }
    }
}

fn revision_conflict(
    list: lists::List,
    expected: store::Revision,
    found: store::Revision,
) -> error::Error {
    let message = format!(
        "the {list} list is at revision {found}, expected {expected}: another writer changed it and \
         nothing was written; fetch it with 'ferryctl show {list} --out FILE' and repeat the edit"
    );
    error::Error::new(error::ErrorKind::LostRace, message)
}

/// Returns the stored revision that the edit of each given list is based on.
fn expected_revisions(
    options: &ApplyOptions,
) -> Result<[Option<store::Revision>; 2], error::Error> {
    if options.customers.is_none() && options.plans.is_none() {
        let message = "nothing to apply, expected --customers or --plans";
        return Err(error::Error::usage(message));
    }
    let expected = |file: &Option<list_file::ListFile>| {
        let file = file.as_ref();
        file.map(|file| expected_revision(file, options.expect_revision))
            .transpose()
    };
    Ok([expected(&options.customers)?, expected(&options.plans)?])
}

fn expected_revision(
    file: &list_file::ListFile,
    expect_revision: Option<store::Revision>,
) -> Result<store::Revision, error::Error> {
    match (file.revision, expect_revision) {
        (Some(in_file), Some(given)) if in_file != given => Err(error::Error::usage(format!(
            "{}:1: revision {in_file} given, but --expect-revision is {given}",
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

fn check_lists(
    options: &ApplyOptions,
    customers: &stored_list::StoredList,
    plans: &stored_list::StoredList,
) -> Result<(), error::Error> {
    let customers =
        commands::diff::new_or_stored_document(options.customers.as_ref(), "customers", customers);
    let plans = commands::diff::new_or_stored_document(options.plans.as_ref(), "plans", plans);
    lists::Lists::parse_documents(customers, plans)?;
    Ok(())
}

fn build_report(updates: &[ListUpdate<'_>], written: Option<store::Revision>) -> ApplyReport {
    let given = updates.iter().filter(|update| update.new_text.is_some());
    let applied = given.map(|update| AppliedList {
        list: update.list.to_string(),
        revision: written.unwrap_or(update.stored.revision),
        written: written.is_some(),
    });
    ApplyReport {
        lists: applied.collect(),
        in_force: None,
    }
}
