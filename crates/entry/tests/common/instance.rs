//! An instance that runs in its own process.

use std::io;
use std::io::BufRead as _;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

/// A running `ferry-entry`; killed when dropped.
pub(crate) struct InstanceProcess {
    child: process::Child,
    log_thread: Option<thread::JoinHandle<()>>,
    pub(crate) name: String,
    pub(crate) callers: net::SocketAddr,
    pub(crate) peers: net::SocketAddr,
}

impl InstanceProcess {
    /// Starts an instance and waits until it logs its addresses.
    pub(crate) fn start(name: &str, settings: &path::Path) -> Self {
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_ferry-entry"))
            .arg("--settings")
            .arg(settings)
            .stderr(process::Stdio::piped())
            .spawn()
            .expect("ferry-entry starts");
        let stderr = child.stderr.take().expect("stderr is a pipe");
        let mut lines = io::BufReader::new(stderr).lines();
        let (callers, peers) = lines
            .by_ref()
            .map_while(Result::ok)
            .find_map(|line| parse_addresses(&line))
            .expect("ferry-entry logs its addresses");
        let echo = std::env::var_os("FERRY_TEST_LOGS").is_some();
        let prefix = name.to_owned();
        let log_thread = thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if echo {
                    eprintln!("{prefix}: {line}");
                }
            }
        });
        Self {
            child,
            log_thread: Some(log_thread),
            name: name.to_owned(),
            callers,
            peers,
        }
    }

    /// Returns the id of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        self.wait();
    }

    /// Requests a planned stop with SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Suspends the process with SIGSTOP.
    pub(crate) fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a suspended process.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// Returns whether the process has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process exits; returns whether its exit status is success.
    ///
    /// Panics after a minute.
    pub(crate) async fn wait_for_exit(&mut self) -> bool {
        let wait = async {
            loop {
                if let Ok(Some(status)) = self.child.try_wait() {
                    return status.success();
                }
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        };
        let timeout = time::Duration::from_secs(60);
        let ended = tokio::time::timeout(timeout, wait).await;
        ended.unwrap_or_else(|_| panic!("{} did not exit within a minute", self.name))
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = process::Command::new("kill").args([signal, &pid]).status();
    }

    fn wait(&mut self) {
        let _ = self.child.wait();
        if let Some(log_thread) = self.log_thread.take() {
            let _ = log_thread.join();
        }
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn parse_addresses(line: &str) -> Option<(net::SocketAddr, net::SocketAddr)> {
    let field = |name: &str| {
        let (_, rest) = line.split_once(name)?;
        rest.split([' ', '"']).next()?.parse().ok()
    };
    Some((field("callers=")?, field("peers=")?))
}
