//! `ferryctl check`: checks lists and settings files for errors.

use crate::arguments;
use crate::error;
use crate::list_file;
use crate::report;

/// Findings in the checked files.
#[derive(Debug, serde::Serialize)]
pub(crate) struct CheckReport {
    files: Vec<String>,
    findings: Vec<report::Fault>,
    #[serde(skip)]
    text: String,
}

impl report::Report for CheckReport {
    fn table(&self) -> String {
        let summary = if self.findings.is_empty() {
            "no errors found".to_owned()
        } else {
            format!("{} found", error::count_findings(self.findings.len()))
        };
        format!("{}{summary} in {}\n", self.text, self.files.join(", "))
    }

    fn exit_code(&self) -> u8 {
        if self.findings.is_empty() {
            0
        } else {
            error::ErrorKind::Findings.exit_code()
        }
    }
}

pub(crate) fn run(mut args: arguments::Arguments) -> Result<CheckReport, error::Error> {
    let customers = args.path("--customers")?;
    let plans = args.path("--plans")?;
    let settings_file = args.path("--settings")?;
    args.finish()?;
    let read = |path: Option<std::path::PathBuf>| {
        path.map(|path| list_file::ListFile::read(&path))
            .transpose()
    };
    let customers = read(customers)?;
    let plans = read(plans)?;
    let settings_file = read(settings_file)?;
    let given = [&customers, &plans, &settings_file];
    let files: Vec<_> = given.into_iter().flatten().collect();
    if files.is_empty() {
        let message = "nothing to check, expected --customers, --plans or --settings";
        return Err(error::Error::usage(message));
    }
    let files = files.iter().map(|file| file.name.clone()).collect();
    let mut findings = check_lists(customers.as_ref(), plans.as_ref());
    if let Some(file) = &settings_file {
        let loaded = settings::Entry::load(&file.name, &file.text);
        findings.append(loaded.err().unwrap_or_default());
    }
    Ok(build_report(files, &findings))
}

fn check_lists(
    customers: Option<&list_file::ListFile>,
    plans: Option<&list_file::ListFile>,
) -> settings::Findings {
    let findings = match (customers, plans) {
        (Some(customers), Some(plans)) => {
            let customers = lists::Document::new(&customers.name, &customers.text);
            let plans = lists::Document::new(&plans.name, &plans.text);
            lists::Lists::parse_documents(customers, plans).err()
        }
        (Some(file), None) => lists::parse_customers(&file.name, &file.text).err(),
        (None, Some(file)) => lists::parse_plans(&file.name, &file.text).err(),
        (None, None) => None,
    };
    findings.unwrap_or_default()
}

fn build_report(files: Vec<String>, findings: &settings::Findings) -> CheckReport {
    CheckReport {
        files,
        findings: report::convert_findings(findings),
        text: if findings.is_empty() {
            String::new()
        } else {
            format!("{findings}\n")
        },
    }
}
