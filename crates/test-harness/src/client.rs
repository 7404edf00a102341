//! Who talks to a proxy: consumers, and operators at the door.

use crate::recorder::Recorder;
use crate::WAIT;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Nothing more comes, or not in time.
const GONE: [ErrorKind; 2] = [ErrorKind::ConnectionReset, ErrorKind::WouldBlock];

/// A consumer's connection.
pub struct Client(BufReader<TcpStream>, Recorder);

impl Client {
    pub fn connect(place: SocketAddr) -> Client {
        let stream = TcpStream::connect(place).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        Client(BufReader::new(stream), Recorder::own())
    }

    /// The same where nobody may listen, or nobody answer within a second.
    pub fn try_connect(place: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(place).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        Some(Client(BufReader::new(stream), Recorder::own()))
    }

    pub fn send(&mut self, words: &str) {
        self.0.get_mut().write_all(words.as_bytes()).unwrap();
    }

    /// Says it as far as the proxy lets it.
    pub fn try_send(&mut self, words: &str) -> bool {
        self.0.get_mut().write_all(words.as_bytes()).is_ok()
    }

    /// Whether the proxy has closed it.
    pub fn is_closed(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).unwrap();
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        match seen {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// The next line; empty at the end of the connection.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(_) => line,
            Err(error) if GONE.contains(&error.kind()) => String::new(),
            Err(error) => panic!("{error}"),
        }
    }

    pub fn request(&mut self, words: &str) -> String {
        self.send(words);
        self.read_line()
    }

    /// Where its answers are read.
    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.0
    }

    /// Reads a key; the value's line, or none if the connection ended first.
    pub fn try_get(&mut self, id: &str) -> Option<String> {
        if !self.try_send(&format!("mg {id} v O{id} Pc=read,t=acme,d=2000\r\n")) {
            return None;
        }
        let line = self.read_line();
        (!line.is_empty()).then(|| if line.starts_with("VA ") { self.read_line() } else { line })
    }

    /// Reads a key; the line of the answer, and the value's line if there is one.
    pub fn get(&mut self, key: &str, id: &str, ms: u32) -> (String, String) {
        self.invoke(&format!("mg {key} v O{id} Pc=read,t=acme,d={ms}\r\n"))
    }

    /// Writes to a key; the line of the answer.
    pub fn set(&mut self, class: &str, key: &str, id: &str, ms: u32) -> String {
        self.invoke(&format!("ms {key} 5 O{id} Pc={class},t=acme,d={ms},k={id}\r\nhello\r\n")).0
    }

    fn invoke(&mut self, command: &str) -> (String, String) {
        self.1.record_request(command);
        let line = self.request(command);
        let value = if line.starts_with("VA ") { self.read_line() } else { String::new() };
        self.1.record_response(command, &line, &value);
        (line, value)
    }

    /// Asks for a key and leaves after a time, with no answer.
    pub fn request_and_disconnect(mut self, key: &str, id: &str, after: Duration) {
        let command = format!("mg {key} v O{id} Pc=read,t=acme,d=2000\r\n");
        self.1.record_request(&command);
        self.send(&command);
        thread::sleep(after);
        self.1.record_client_gone(&command);
    }
}

/// One call at the operators' door: its status and its text.
pub fn call_admin(door: SocketAddr, method: &str, path: &str) -> (u16, String) {
    send_to_admin(door, &format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n"))
}

/// What the door answers to these bytes.
pub fn send_to_admin(door: SocketAddr, words: &str) -> (u16, String) {
    let mut client = Client::connect(door);
    client.send(words);
    let status = client.read_line().split(' ').nth(1).map_or(0, |status| status.parse().unwrap());
    let mut rest = String::new();
    std::io::Read::read_to_string(&mut client.0, &mut rest).unwrap();
    (status, rest.split_once("\r\n\r\n").map_or(String::new(), |(_, text)| text.to_owned()))
}
