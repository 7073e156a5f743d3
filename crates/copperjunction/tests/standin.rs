//! Tests of the command line of `copperjunction-standin`.

use std::{
    io::{BufRead, BufReader},
    process::{Command, Stdio},
};

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_copperjunction-standin"));
    command.args(args).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Guards against wrong exit codes, unclear usage errors, and help without an example.
#[test]
fn exit_codes_and_help() {
    let table: [(&[&str], i32, &str); 5] = [
        (&["--help"], 0, "Example:"),
        (&["--version"], 0, "copperjunction-standin "),
        (&["--nonsense"], 2, "see --help"),
        (&["--minions", "p:s:x:1"], 2, "malformed pool `p:s:x:1`"),
        (&["--log-port", "70000"], 2, "see --help"),
    ];
    for (args, code, expected) in table {
        let output = command(args).output().expect("the daemon");
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: {text}");
    }
}

/// Guards against a failure exit code, or a missing summary, after SIGTERM.
#[test]
fn sigterm_stops_it() {
    let ports = ["--log-port", "0", "--vm-port", "0", "--control-port", "0"];
    let args = [&ports[..], &["--minions", "p:s:2:1", "--workers", "w:2:1:4000:4096"]].concat();
    let mut daemon = command(&args).spawn().expect("the daemon");
    let mut lines = BufReader::new(daemon.stdout.take().expect("its output")).lines();
    let started = lines.by_ref().map_while(Result::ok).any(|line| line.starts_with("4 VMs"));
    assert!(started);
    let pid = daemon.id().to_string();
    let killed = Command::new("kill").args(["-TERM", &pid]).status().expect("kill");
    assert!(killed.success());
    assert_eq!(daemon.wait().expect("its end").code(), Some(0));
    assert!(lines.map_while(Result::ok).any(|line| line.starts_with("stopped after 0 appends")));
}
