//! Where messages end, however their bytes arrive.

use crate::inbound::framing::{Frames, Framing, Requests};
use std::io;

const MAX_HEAD: usize = 200;

/// A request, and what follows it on its connection.
const REQUESTS: [(&str, &str); 9] = [
    ("GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET /2 HTTP/1.1\r\n\r\n"),
    ("GET / HTTP/1.1\n\n", "GET"),
    ("\r\n\r\nGET / HTTP/1.1\r\n\r\n", "\r\n"),
    ("POST / HTTP/1.1\r\ncontent-LENGTH:  5 \r\n\r\nhello", "GET"),
    ("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n\r\n\r\n", "\r\n\r\n"),
    ("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "5"),
    (
        "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=\"y\"\r\n0\r\n\r\n0\r\n\r\n",
        "0\r\n",
    ),
    (
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nA\r\n0123456789\r\n0\r\nA: b\r\n\r\n",
        "G",
    ),
    (
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
    ),
];

// Guards against requests that are decoded ahead of the one that is being answered.
#[test]
fn a_request_ends_where_the_next_one_begins() {
    for (request, next) in REQUESTS {
        let bytes = format!("{request}{next}");
        for piece in 1..=bytes.len() {
            let mut framing = Requests::new(MAX_HEAD);
            let passed = pass(&mut framing, bytes.as_bytes(), piece).expect("a valid request");
            assert_eq!(passed, request.len(), "{request:?} in pieces of {piece}");
            assert!(framing.is_complete());
            framing.restart();
            assert!(!framing.is_complete());
            assert_eq!(framing.advance(b"GET").expect("a valid head"), 3);
        }
    }
}

// Guards against a request that is taken for complete before its last byte.
#[test]
fn a_request_without_its_last_byte_is_incomplete() {
    for (request, _) in REQUESTS {
        let mut framing = Requests::new(MAX_HEAD);
        let bytes = &request.as_bytes()[..request.len() - 1];
        assert_eq!(pass(&mut framing, bytes, 7).expect("a valid request"), bytes.len());
        assert!(!framing.is_complete(), "{request:?}");
    }
}

// Guards against parts of a request that nothing bounds.
#[test]
fn a_request_that_can_not_end_well_is_an_error() {
    let long = "x".repeat(5000);
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let requests = [
        format!("GET /{long}"),
        format!("GET / HTTP/1.1\r\n{}", "A: b\r\n".repeat(100)),
        "\r\n".repeat(200),
        "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n".to_owned(),
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n".to_owned(),
        "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n".to_owned(),
        format!("POST / HTTP/1.1\r\nTransfer-Encoding: {}chunked\r\n\r\n", " ".repeat(60)),
        format!("POST / HTTP/1.1\r\nContent-Length: {}5\r\n\r\n", "0".repeat(60)),
        format!("{chunked}xyz\r\n"),
        format!("{chunked}1;{long}"),
        format!("{chunked}0\r\n{}", "A: b\r\n".repeat(1000)),
    ];
    for request in requests {
        let mut framing = Requests::new(MAX_HEAD);
        let result = pass(&mut framing, request.as_bytes(), 64);
        assert!(result.is_err(), "{:?}", &request[..60.min(request.len())]);
    }
}

// Guards against bytes of complete messages that count as held for good.
#[test]
fn only_an_incomplete_frame_is_held() {
    let frames = [&[0, 0, 0, 3][..], b"abc", &[0, 0, 0, 0], &[0, 0, 1, 0], b"de"].concat();
    for piece in 1..=frames.len() {
        let mut framing = Frames::default();
        let mut boundaries = 0;
        for mut bytes in frames.chunks(piece) {
            while !bytes.is_empty() {
                bytes = &bytes[framing.advance(bytes).expect("frames")..];
                boundaries += usize::from(framing.is_between());
            }
        }
        assert_eq!((boundaries, framing.held_bytes()), (2, 2), "pieces of {piece}");
        assert_eq!(framing.advance(&[0; 300]).expect("frames"), 254);
        assert_eq!(framing.held_bytes(), 0);
    }
}

/// Passes bytes on in pieces until the framing takes no more; returns how many it took.
fn pass(framing: &mut impl Framing, bytes: &[u8], piece: usize) -> io::Result<usize> {
    let mut passed = 0;
    for bytes in bytes.chunks(piece) {
        let now = framing.advance(bytes)?;
        passed += now;
        if now < bytes.len() {
            break;
        }
    }
    Ok(passed)
}
