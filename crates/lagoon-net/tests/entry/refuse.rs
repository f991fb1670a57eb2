//! Refusals of calls whose long bodies are still arriving.

use std::io::Write as _;

use super::host;

/// Length of a million-token prompt's body, in bytes.
const BODY: usize = 4 << 20;

/// A caller with a wrong key sends a million-token prompt and is refused because of its head while
/// the body is still arriving. If the host closed the connection at once, the kernel would reset
/// it, and the caller would see a broken pipe instead of the refusal.
#[test]
fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let host = host::Host::start(vec![host::quick()]);
    for _ in 0..8 {
        let mut stream = host.connect();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer wrong\r\n\
             Connection: close\r\nContent-Length: {BODY}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![b' '; BODY]).unwrap();
        let answer = host::read_all(&mut stream);
        assert_eq!(host::status(&answer), "401", "{answer}");
        assert!(answer.contains("not-run"), "{answer}");
    }
    host.finish();
}
