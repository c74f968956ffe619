//! `ferryctl show`: prints the stored lists.

use std::fs;
use std::path;

use crate::arguments;
use crate::error;
use crate::list_file;
use crate::report;
use crate::stored_list;

/// One stored list.
#[derive(Debug, serde::Serialize)]
struct Shown {
    list: String,
    revision: store::Revision,
    text: String,
}

/// The stored lists.
#[derive(Debug, serde::Serialize)]
pub(crate) struct ShowReport {
    lists: Vec<Shown>,
    /// File that the list was written to instead of standard output.
    out: Option<String>,
}

impl report::Report for ShowReport {
    fn table(&self) -> String {
        let texts = self.lists.iter().map(|shown| {
            if let Some(out) = &self.out {
                let (list, revision) = (&shown.list, shown.revision);
                return format!("{list} at revision {revision} written to {out}\n");
            }
            let text = list_file::with_revision_line(shown.revision, &shown.text);
            if self.lists.len() == 1 {
                return text;
            }
            format!("==> {} <==\n{text}\n", shown.list)
        });
        texts.collect()
    }
}

pub(crate) async fn run(mut args: arguments::Arguments) -> Result<ShowReport, error::Error> {
    let store = stored_list::connect(&mut args)?;
    let out = args.path("--out")?;
    let list = args.optional_positional()?;
    args.finish()?;
    let selected = list.as_deref().map(parse_list).transpose()?;
    show(&store, selected, out).await
}

/// Parses the name of a list.
pub(crate) fn parse_list(name: &str) -> Result<lists::List, error::Error> {
    let found = lists::List::ALL.iter().find(|list| list.as_str() == name);
    found.copied().ok_or_else(|| {
        error::Error::usage(format!("list '{name}' given, expected customers or plans"))
    })
}

async fn show<S: store::Store>(
    store: &S,
    selected: Option<lists::List>,
    out: Option<path::PathBuf>,
) -> Result<ShowReport, error::Error> {
    if out.is_some() && selected.is_none() {
        let message = "--out given without a list, expected customers or plans";
        return Err(error::Error::usage(message));
    }
    let mut shown = Vec::new();
    for list in lists::List::ALL {
        if selected.is_some_and(|selected| selected != *list) {
            continue;
        }
        let stored = stored_list::read_list(store, *list).await?;
        if let Some(path) = &out {
            write_file(path, &stored)?;
        }
        shown.push(Shown {
            list: list.to_string(),
            revision: stored.revision,
            text: stored.text,
        });
    }
    let out = out.map(|path| path.display().to_string());
    Ok(ShowReport { lists: shown, out })
}

fn write_file(path: &path::Path, stored: &stored_list::StoredList) -> Result<(), error::Error> {
    let text = list_file::with_revision_line(stored.revision, &stored.text);
    fs::write(path, text).map_err(|reason| {
        error::Error::usage(format!("{}: cannot be written: {reason}", path.display()))
    })
}
