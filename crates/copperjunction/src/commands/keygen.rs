//! `keygen`: generates the key pair of an office.

use ed25519_dalek::SigningKey;
use lexopt::{Arg, Parser};

use cj_types::{Error, ErrorKind, Result};

use crate::output::{Exit, usage_error};

use super::{
    check::next_value,
    command::{Command, argument_error},
};

pub(super) const COMMAND: Command = Command { name: "keygen", help: HELP, run };

const HELP: &str = "\
Generates the key pair of an office. The secret key is written to a new file; the public key is printed for the
`[offices]` section of the nodes' settings.

Usage: copperjunction keygen --out FILE

Options:
  --out FILE  file for the secret key; must not exist yet
  -h, --help  show this help

Example:
  copperjunction keygen --out capacity.key
";

fn run(parser: &mut Parser) -> Result<Exit> {
    let mut out = None;
    while let Some(arg) = parser.next().map_err(|e| argument_error(&e))? {
        match arg {
            Arg::Long("out") => out = Some(next_value(parser)?),
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Ok);
            }
            other => return Err(argument_error(&other.unexpected())),
        }
    }
    let out = out.ok_or_else(|| usage_error("no file given", "name it with `--out`"))?;
    let secret: [u8; 32] = rand::random();
    let key = SigningKey::from_bytes(&secret);
    write_new(&out, &hex(&secret))?;
    println!("{}", hex(key.verifying_key().as_bytes()));
    Ok(Exit::Ok)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn write_new(file: &str, content: &str) -> Result<()> {
    use std::{fs::OpenOptions, io::Write, os::unix::fs::OpenOptionsExt};
    let opened = OpenOptions::new().write(true).create_new(true).mode(0o600).open(file);
    opened.and_then(|mut f| writeln!(f, "{content}")).map_err(|e| {
        let problem = format!("cannot create {file}: {e}");
        Error::new(
            ErrorKind::Io(problem.into()),
            "choose a file that doesn't exist yet, in a writable directory",
        )
    })
}
