//! Help texts of `ferryctl` and its commands.

/// Command names, in the order of the help text.
pub(crate) const COMMAND_NAMES: &[&str] = &[
    "check", "apply", "show", "diff", "status", "drain", "wait", "tenants", "submit", "get",
    "cancel",
];

const GENERAL: &str = "\
ferryctl: manages a cluster's customers and plans lists, and submits tasks

Usage: ferryctl COMMAND [OPTIONS]

For operators:
  check    check lists and settings for errors, without connecting to the cluster
  apply    write lists unless they changed since they were fetched
  show     print the stored lists with their revisions
  diff     compare files with the stored lists
  status   print the status of instances
  drain    stop instances without interrupting requests
  wait     wait until a revision is in force on every live instance
  tenants  print the metrics of the tenants of ferry-platform

For callers:
  submit   submit a task
  get      print the status of a task
  cancel   cancel a task

Every command:
  --format table|json   output format (default: table)
  --help                print the help of the command

Exit codes:
  0  done
  1  refused, failed, or no connection; nothing was changed
  2  errors in a list or settings file, or a wrong command line
  3  revision conflict with another writer; nothing was changed
  4  outcome unknown, or not reached within the timeout
";

const CHECK: &str = "\
ferryctl check: checks lists and settings for errors, without connecting to the cluster

Usage: ferryctl check [--customers FILE] [--plans FILE] [--settings FILE]

  --customers FILE   list of customers
  --plans FILE       list of plans; with both, each customer's plan must be listed
  --settings FILE    settings of ferry-entry

Prints every error with file, line, section and key. Exit code 2 if there is one.
";

const APPLY: &str = "\
ferryctl apply: writes lists unless they changed since they were fetched

Usage: ferryctl apply --store ADDR,.. [--customers FILE] [--plans FILE] [OPTIONS]

  --store ADDR,..        addresses of the platform's key-value service
  --customers FILE       new list of customers
  --plans FILE           new list of plans
  --expect-revision N    stored revision the edit is based on, 0 for a new list; not needed for
                         files written by 'ferryctl show --out', which have it on the first line
  --wait                 wait until the lists are in force on every live instance; requires:
  --instances ADDR,..    callers_address of each instance
  --secret-file FILE     file with the cluster's secret
  --timeout-ms N         how long to wait (default: 30000)
  --poll-ms N            polling interval (default: 200)

Both lists are checked together, with the stored list in place of one that is not given, and are
written in one transaction. Exit code 3 if another writer changed a list first. If the reply to the
write is lost, the lists are read back; exit code 4 if that does not show the outcome: repeat the
same command.
";

const SHOW: &str = "\
ferryctl show: prints the stored lists with their revisions

Usage: ferryctl show [customers|plans] --store ADDR,.. [--out FILE]

  --store ADDR,..   addresses of the platform's key-value service
  --out FILE        write the list to a file for editing, with its revision on the first line
";

const DIFF: &str = "\
ferryctl diff: compares files with the stored lists

Usage: ferryctl diff --store ADDR,.. [--customers FILE] [--plans FILE]

  --store ADDR,..    addresses of the platform's key-value service
  --customers FILE   list of customers
  --plans FILE       list of plans
";

const STATUS: &str = "\
ferryctl status: prints the status of instances

Usage: ferryctl status --instances ADDR,.. --secret-file FILE [--counters]

  --instances ADDR,..   callers_address of each instance
  --secret-file FILE    file with the cluster's secret
  --counters            also print each counter, summed over the instances

Exit code 1 if an instance did not answer.
";

const DRAIN: &str = "\
ferryctl drain: stops instances without interrupting requests

Usage: ferryctl drain --instances ADDR,.. --secret-file FILE [OPTIONS]

  --instances ADDR,..   callers_address of each instance to stop
  --secret-file FILE    file with the cluster's secret
  --wait                wait until they have no task and no partition left, or have exited
  --timeout-ms N        how long to wait (default: 30000)
  --poll-ms N           polling interval (default: 200)
";

const WAIT: &str = "\
ferryctl wait: waits until a revision is in force on every live instance

Usage: ferryctl wait --revision N --instances ADDR,.. --secret-file FILE [OPTIONS]

  --revision N           revision to wait for, as printed by 'ferryctl apply'
  --list customers|plans wait for this list only (default: both)
  --instances ADDR,..    callers_address of instances; their live peers are included too
  --secret-file FILE     file with the cluster's secret
  --timeout-ms N         how long to wait (default: 30000)
  --poll-ms N            polling interval (default: 200)

Exit code 4 if the revision was not reached in time.
";

const TENANTS: &str = "\
ferryctl tenants: prints the metrics of tenants, summed over instances of ferry-platform

Usage: ferryctl tenants --instances ADDR,..

  --instances ADDR,..   metrics_address of each instance

Exit code 1 if an instance did not answer.
";

const SUBMIT: &str = "\
ferryctl submit: submits a task

Usage: ferryctl submit --instances ADDR,.. --token-file FILE --request FILE [OPTIONS]

  --instances ADDR,..   callers_address of instances, tried in turn until one accepts a connection
  --token-file FILE     file with the customer's API token
  --request FILE        request in JSON, - for standard input
  --no-wait             do not wait for the result
  --timeout-ms N        how long to wait for the answer (default: 120000)

Exit code 0 if the task is done and succeeded, or was accepted without waiting; 1 if it did not run
or did not succeed; 2 if the request is invalid; 4 if the outcome is unknown.
";

const GET: &str = "\
ferryctl get: prints the status of a task

Usage: ferryctl get TASK_ID --instances ADDR,.. --token-file FILE [--timeout-ms N]

  --instances ADDR,..   callers_address of instances, tried in turn until one accepts a connection
  --token-file FILE     file with the customer's API token
  --timeout-ms N        how long to wait for the answer (default: 10000)

Exit codes are the same as for submit.
";

const CANCEL: &str = "\
ferryctl cancel: cancels a task

Usage: ferryctl cancel TASK_ID --instances ADDR,.. --token-file FILE [--timeout-ms N]

  --instances ADDR,..   callers_address of instances, tried in turn until one accepts a connection
  --token-file FILE     file with the customer's API token
  --timeout-ms N        how long to wait for the answer (default: 10000)

Exit code 0 if the task is cancelled or is being stopped, 1 if it had already ended.
";

/// Returns the help text of the command `name`, or the general help if there is no such command.
pub(crate) fn text(name: Option<&str>) -> String {
    let text = match name {
        Some("check") => CHECK,
        Some("apply") => APPLY,
        Some("show") => SHOW,
        Some("diff") => DIFF,
        Some("status") => STATUS,
        Some("drain") => DRAIN,
        Some("wait") => WAIT,
        Some("tenants") => TENANTS,
        Some("submit") => SUBMIT,
        Some("get") => GET,
        Some("cancel") => CANCEL,
        _ => GENERAL,
    };
    text.to_owned()
}
