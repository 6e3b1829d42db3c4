//! A client of the search front that works on the bytes of its connection, so that a test can stop at any of them.

#![allow(dead_code)] // Each test file uses only some of the functions.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What a client got for a request that it has sent completely.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    /// A complete response: its status and body.
    Answered(u16, String),
    /// The connection was closed or reset without a complete response.
    Closed,
    /// Nothing in time.
    TimedOut,
}

impl Outcome {
    pub fn status(&self) -> Option<u16> {
        match self {
            Outcome::Answered(status, _) => Some(*status),
            Outcome::Closed | Outcome::TimedOut => None,
        }
    }
}

/// The bytes of a request.
pub fn request_text(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nHost: mixer\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// A search of one class that matches all documents.
pub fn search_text(class: &str) -> String {
    request_text(
        &format!("/{class}/_search"),
        r#"{"query":{"match_all":{}}}"#,
    )
}

/// A multi-search of `count` searches of one class with up to `size` hits each.
pub fn multi_search_text(class: &str, count: usize, size: usize) -> String {
    let search = format!("{{}}\n{{\"query\":{{\"match_all\":{{}}}},\"size\":{size}}}\n");
    request_text(&format!("/{class}/_msearch"), &search.repeat(count))
}

/// Reads one response with a Content-Length.
pub async fn read_response(stream: &mut TcpStream) -> io::Result<(u16, String)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let invalid = || io::Error::other(format!("not a response with a length: {head}"));
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.ok_or_else(invalid)?];
    stream.read_exact(&mut body).await?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok((status.ok_or_else(invalid)?, body))
}

/// Sends a request on an open connection and waits for the response.
pub async fn exchange(stream: &mut TcpStream, request: &str, limit: Duration) -> Outcome {
    let exchange = async {
        stream.write_all(request.as_bytes()).await?;
        read_response(stream).await
    };
    match timeout(limit, exchange).await {
        Ok(Ok((status, body))) => Outcome::Answered(status, body),
        Ok(Err(_)) => Outcome::Closed,
        Err(_) => Outcome::TimedOut,
    }
}

/// Sends a request on a new connection. As usual clients do, it is sent once more if that connection is closed.
pub async fn send(address: SocketAddr, request: &str, limit: Duration) -> Outcome {
    let mut outcome = Outcome::Closed;
    for _ in 0..2 {
        if outcome == Outcome::Closed {
            if let Ok(mut stream) = TcpStream::connect(address).await {
                outcome = exchange(&mut stream, request, limit).await;
            }
        }
    }
    outcome
}
