//! Golden session of the commands that use the store, against the stand-in store.

mod common;

use std::fs;
use std::path;

use expect_test::expect_file;

const PLANS: &str = "[house]\nclasses = batch\n[guest]\nclasses = batch\n";
const CUSTOMERS: &str = "\
[a]
plan = house
region = almaty
token_sha256 = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
";

/// A session with its own store and directory, and the text printed so far.
struct Session {
    store: standin::StoreServer,
    directory: path::PathBuf,
    text: String,
}

impl Session {
    async fn start() -> Self {
        let any = "127.0.0.1:0".parse().expect("the address is valid");
        let store = standin::StoreServer::start(any).await;
        let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("stored");
        fs::create_dir_all(&directory).expect("the directory can be created");
        Self {
            store: store.expect("the stand-in starts"),
            directory,
            text: String::new(),
        }
    }

    /// Runs a command, in which `DIR` and `STORE` are replaced by the directory and the store's
    /// address.
    async fn run(&mut self, line: &str) {
        let directory = self.directory.display().to_string();
        let address = self.store.address().to_string();
        let line = line.replace("DIR", &directory).replace("STORE", &address);
        let text = common::session(&line).await;
        let text = text.replace(&directory, "DIR").replace(&address, "STORE");
        self.text.push_str(&text);
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.directory.join(name), text).expect("the file can be written");
    }

    /// Edits a file and records the edit in the session text.
    fn edit(&mut self, name: &str, from: &str, to: &str) {
        let path = self.directory.join(name);
        let text = fs::read_to_string(path).expect("the file can be read");
        self.write(name, &text.replace(from, to));
        self.text
            .push_str(&format!("# {name}: {from:?} edited to {to:?}\n"));
    }

    async fn set_faults(&mut self, faults: standin::StoreFaults, note: &str) {
        self.store.set_faults(faults).await;
        self.text.push_str(&format!("# {note}\n"));
    }
}

#[tokio::test]
async fn two_operators_edit_the_lists() {
    let mut session = Session::start().await;
    session.write("customers.ini", CUSTOMERS);
    session.write("plans.ini", PLANS);
    session.run("show --store STORE").await;
    let both = "--customers DIR/customers.ini --plans DIR/plans.ini";
    session
        .run(&format!("apply --store STORE {both} --expect-revision 0"))
        .await;
    session.run("show plans --store STORE").await;
    session
        .run("show plans --store STORE --out DIR/first.ini")
        .await;
    session
        .run("show plans --store STORE --out DIR/second.ini")
        .await;
    session.edit("first.ini", "[house]\n", "[house]\nweight = 2\n");
    session.edit("second.ini", "[house]\n", "[house]\nweight = 3\n");
    session
        .run("diff --store STORE --plans DIR/first.ini")
        .await;
    session
        .run("apply --store STORE --plans DIR/first.ini --format json")
        .await;
    session
        .run("apply --store STORE --plans DIR/second.ini")
        .await;
    session
        .run("apply --store STORE --plans DIR/first.ini")
        .await;
    session
        .run("show plans --store STORE --out DIR/second.ini")
        .await;
    session.edit("second.ini", "[house]", "[home]");
    session
        .run("diff --store STORE --plans DIR/second.ini")
        .await;
    session
        .run("apply --store STORE --plans DIR/second.ini --format json")
        .await;
    session.edit("second.ini", "[home]", "[house]");
    session.edit("second.ini", "weight = 2", "weight = 4");
    let lose_reply = standin::StoreFaults {
        lose_replies: 1,
        ..standin::StoreFaults::default()
    };
    session
        .set_faults(lose_reply, "the store loses the next reply")
        .await;
    session
        .run("apply --store STORE --plans DIR/second.ini")
        .await;
    let down = standin::StoreFaults {
        reachability: standin::Reachability::Down,
        ..standin::StoreFaults::default()
    };
    session.run("show plans --store STORE").await;
    session.set_faults(down, "the store is down").await;
    session
        .run("apply --store STORE --plans DIR/first.ini")
        .await;
    session.run("show --store STORE").await;
    expect_file!["golden/stored.txt"].assert_eq(&session.text);
}
