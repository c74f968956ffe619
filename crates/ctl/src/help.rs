//! Help texts.

/// Names of the commands, in the order in which help lists them.
pub(crate) const NAMES: &[&str] = &[
    "check", "apply", "show", "diff", "status", "drain", "wait", "submit", "get", "cancel",
];

const GENERAL: &str = "\
ferryctl: steers a cluster by its two lists, and submits tasks

Usage: ferryctl COMMAND [OPTIONS]

For operators:
  check    find the faults of lists and settings, without any connection
  apply    write lists if they are still those that were edited
  show     print the stored lists with their revisions
  diff     compare files with the stored lists
  status   print what the instances say of themselves
  drain    stop instances without cutting a request
  wait     wait until every live instance has a revision in force

For callers:
  submit   submit a task
  get      print the status of a task
  cancel   cancel a task

Every command:
  --format table|json   how output is written (default: table)
  --help                print the help of the command

Exit codes:
  0  done
  1  refused, failed, or not reached; nothing was changed
  2  faults found, or a wrong command line
  3  another writer was first; nothing was changed
  4  not known, or not reached in the time allowed
";

const CHECK: &str = "\
ferryctl check: finds the faults of lists and settings, without any connection

Usage: ferryctl check [--customers FILE] [--plans FILE] [--settings FILE]

  --customers FILE   list of customers
  --plans FILE       list of plans; with both, each customer's plan must be listed
  --settings FILE    settings of ferry-entry

Prints every fault with file, line, section and key. Exit code 2 if there is one.
";

const APPLY: &str = "\
ferryctl apply: writes lists if they are still those that were edited

Usage: ferryctl apply --store ADDR,.. [--customers FILE] [--plans FILE] [OPTIONS]

  --store ADDR,..        addresses of the platform's key-value service
  --customers FILE       new list of customers
  --plans FILE           new list of plans
  --expect-revision N    revision that the lists were edited from, 0 for new ones; not needed for
                         files written by 'ferryctl show --out', whose first line tells it
  --wait                 wait until every live instance has the lists in force; needs:
  --instances ADDR,..    callers' addresses of instances
  --secret-file FILE     file with the cluster's secret
  --timeout-ms N         how long to wait (default: 30000)
  --poll-ms N            time between two looks (default: 200)

Both lists are checked together, with the stored one in place of one that is not given, and are
written together or not at all. Exit code 3 if another writer was first. A lost reply is settled by
reading back; exit code 4 if that was not possible: repeat the same command.
";

const SHOW: &str = "\
ferryctl show: prints the stored lists with their revisions

Usage: ferryctl show [customers|plans] --store ADDR,.. [--out FILE]

  --store ADDR,..   addresses of the platform's key-value service
  --out FILE        write the list to a file for editing; its first line tells the revision
";

const DIFF: &str = "\
ferryctl diff: compares files with the stored lists

Usage: ferryctl diff --store ADDR,.. [--customers FILE] [--plans FILE]

  --store ADDR,..    addresses of the platform's key-value service
  --customers FILE   list of customers
  --plans FILE       list of plans
";

const STATUS: &str = "\
ferryctl status: prints what the instances say of themselves

Usage: ferryctl status --instances ADDR,.. --secret-file FILE [--counters]

  --instances ADDR,..   callers' addresses of instances
  --secret-file FILE    file with the cluster's secret
  --counters            also print each counter, summed over the instances

Exit code 1 if an instance did not answer.
";

const DRAIN: &str = "\
ferryctl drain: stops instances without cutting a request

Usage: ferryctl drain --instances ADDR,.. --secret-file FILE [OPTIONS]

  --instances ADDR,..   callers' addresses of the instances to stop
  --secret-file FILE    file with the cluster's secret
  --wait                wait until they have no task and no partition left, or have ended
  --timeout-ms N        how long to wait (default: 30000)
  --poll-ms N           time between two looks (default: 200)
";

const WAIT: &str = "\
ferryctl wait: waits until every live instance has a revision in force

Usage: ferryctl wait --revision N --instances ADDR,.. --secret-file FILE [OPTIONS]

  --revision N           revision to be reached, as 'ferryctl apply' printed it
  --list customers|plans only look at one list (default: both)
  --instances ADDR,..    callers' addresses of instances; further live ones are learnt from them
  --secret-file FILE     file with the cluster's secret
  --timeout-ms N         how long to wait (default: 30000)
  --poll-ms N            time between two looks (default: 200)

Exit code 4 if the revision was not reached in time.
";

const SUBMIT: &str = "\
ferryctl submit: submits a task

Usage: ferryctl submit --instances ADDR,.. --token-file FILE --request FILE [OPTIONS]

  --instances ADDR,..   callers' addresses of instances, tried until one can be reached
  --token-file FILE     file with the customer's API token
  --request FILE        request in JSON, - for standard input
  --no-wait             do not wait for the result
  --timeout-ms N        how long to wait for the answer (default: 120000)

Exit code 0 if the task is done and succeeded, or was accepted without waiting; 1 if it did not run
or did not succeed; 2 if the request is wrong; 4 if it is not known.
";

const GET: &str = "\
ferryctl get: prints the status of a task

Usage: ferryctl get TASK_ID --instances ADDR,.. --token-file FILE [--timeout-ms N]

  --instances ADDR,..   callers' addresses of instances, tried until one can be reached
  --token-file FILE     file with the customer's API token
  --timeout-ms N        how long to wait for the answer (default: 10000)

Exit codes are those of submit.
";

const CANCEL: &str = "\
ferryctl cancel: cancels a task

Usage: ferryctl cancel TASK_ID --instances ADDR,.. --token-file FILE [--timeout-ms N]

  --instances ADDR,..   callers' addresses of instances, tried until one can be reached
  --token-file FILE     file with the customer's API token
  --timeout-ms N        how long to wait for the answer (default: 10000)

Exit code 0 if the task is cancelled or being stopped, 1 if it had ended before.
";

/// Returns the help of the command `name`, or the general one.
pub(crate) fn text(name: Option<&str>) -> String {
    let text = match name {
        Some("check") => CHECK,
        Some("apply") => APPLY,
        Some("show") => SHOW,
        Some("diff") => DIFF,
        Some("status") => STATUS,
        Some("drain") => DRAIN,
        Some("wait") => WAIT,
        Some("submit") => SUBMIT,
        Some("get") => GET,
        Some("cancel") => CANCEL,
        _ => GENERAL,
    };
    text.to_owned()
}
