//! Tests of the command `copperjunction where` against a scripted node.

use std::{
    io::{Read, Write},
    net::TcpListener,
    process::{Command, Output},
    thread,
};

/// Answers the next call with this status line and body. Returns the address, and the head of the call.
fn serve_once(status: &'static str, body: &'static str) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address").to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut request = Vec::new();
        let mut chunk = [0; 4_096];
        while !request.ends_with(b"{\"steps\":[{\"count\":1}]}") {
            let length = stream.read(&mut chunk).expect("the call");
            request.extend_from_slice(&chunk[..length]);
        }
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(format!("{head}{body}").as_bytes()).expect("the answer");
        String::from_utf8_lossy(&request).lines().next().unwrap_or_default().to_owned()
    });
    (address, server)
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_copperjunction"));
    command.arg("where").args(args).output().expect("the command")
}

fn job_file(name: &str, body: &[u8]) -> String {
    let path = format!("{}/where-{}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, body).expect("a temporary file");
    path
}

/// Guards against wrong exit codes, and errors without a help text.
#[test]
fn errors_have_a_help_text_and_an_exit_code() {
    let job = job_file("job.json", b"{\"steps\":[{\"count\":1}]}");
    let large = job_file("large.json", &vec![b' '; (1 << 20) + 1]);
    // A port that was free a moment ago.
    let closed = TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr();
    let closed = closed.expect("its address").to_string();
    let (refusing, refused) =
        serve_once("404 Not Found", r#"{"error":"no such queue","help":"use a name"}"#);
    let (odd, _odd_server) = serve_once("200 OK", "# metrics");
    let node = |address: &str, file: &str| -> Vec<String> {
        ["--node", address, "--queue", "red", "--job", file].map(str::to_owned).to_vec()
    };
    let words = |text: &str| text.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
    let table: [(Vec<String>, i32, &str); 10] = [
        (words("--help"), 0, "Example:"),
        (words("--queue q --job f"), 2, "no node given"),
        (words("--node 127.0.0.1:1 --job f"), 2, "no queue given"),
        (words("--node 127.0.0.1:1 --queue q"), 2, "no job given"),
        (words("--node nowhere --queue q --job f"), 2, "use IP:PORT"),
        (words("--nonsense"), 2, "help:"),
        (node(&closed, "/nonexistent/job.json"), 1, "check the file name"),
        (node(&closed, &large), 1, "may not be larger"),
        (node(&closed, &job), 1, "--metrics-port"),
        (node(&odd, &job), 1, "--metrics-port"),
    ];
    for (args, code, expected) in table {
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let output = run(&args);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: {text}");
    }
    let args = ["--node", &refusing, "--queue", "a&b c", "--job", &job, "--account", "red"];
    let output = run(&args);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("no such queue") && text.contains("help: use a name"), "{text}");
    let head = refused.join().expect("the call");
    assert_eq!(head, "POST /v1/placement?queue=a%26b+c&account=red HTTP/1.1");
}

/// Guards against a text report that fails on an answer of another release, or passes control characters to the terminal,
/// and against JSON that differs from the answer.
#[test]
fn prints_answers_as_text_and_json() {
    const ANSWER: &str = r#"{"node":"n1","cells":[{"cell":0,"admission":{"accepted":false,"reason":"overload","retry_after_ms":2000},"placement":{"steps":[{"step":0,"starting":1,"tasks":2,"workers":[{"worker":"w\u001b[2J1","tasks":1}],"chosen_workers":3,"others":{"no_room":4}}]}}]}"#;
    let job = job_file("job-2.json", b"{\"steps\":[{\"count\":1}]}");
    let (text_node, _text_server) = serve_once("200 OK", ANSWER);
    let output = run(&["--node", &text_node, "--queue", "red", "--job", &job]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text}");
    for expected in ["refused: overload; retry after 2000 ms", "w?[2J1 x1 and 2 more", "4 no room"]
    {
        assert!(text.contains(expected), "{text}");
    }
    let (json_node, _json_server) = serve_once("200 OK", ANSWER);
    let output = run(&["--node", &json_node, "--queue", "red", "--job", &job, "--json"]);
    assert_eq!(output.status.code(), Some(0));
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(printed, serde_json::from_str::<serde_json::Value>(ANSWER).expect("JSON"));
}
