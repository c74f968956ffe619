//! Applies lists in arbitrary order of revision; the highest valid revision stays in force.

const CUSTOMERS: &str = "\
[qazfair-print]
plan = manuals
region = almaty
token_sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
";

fn plans(tasks_at_once: u32) -> String {
    format!("[manuals]\nclasses = batch\ntasks_at_once = {tasks_at_once}\n")
}

fn offered(revision: model::Revision, plans: &str) -> model::ListsState {
    let text = |text: &str| model::ListText {
        revision,
        text: text.into(),
    };
    model::ListsState {
        customers: text(CUSTOMERS),
        plans: text(plans),
    }
}

fn main() {
    let mut in_force = lists::ListsInForce::new();
    let faulty = "[manuals]\nclasses = cron\n".to_owned();
    for (revision, plans) in [(5, plans(50)), (4, plans(40)), (6, faulty), (7, plans(70))] {
        let applied = in_force.apply(&offered(revision, &plans));
        println!(
            "offered {revision}: customers {}, plans {} in force",
            in_force.revision(lists::List::Customers),
            in_force.revision(lists::List::Plans),
        );
        if !applied.findings.is_empty() {
            println!("{}", applied.findings);
        }
    }
    let lists = in_force.lists();
    let limits = lists.plans()["manuals"].limits;
    println!("tasks at once: {:?}", limits.tasks);
}
