//! The callers of a proxy: [`Client`]s, and operators at its admin endpoint ([`call_admin`]).

use crate::recorder::Recorder;
use crate::WAIT_TIMEOUT;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// How long reads wait on a connection of [`Client::try_connect`].
const TRY_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Errors of a read when the connection has ended, or no data arrived in time.
const END_OF_INPUT: [ErrorKind; 2] = [ErrorKind::ConnectionReset, ErrorKind::WouldBlock];

/// A client's connection. Requests made by [`Client::get`] and [`Client::set`] are recorded for the
/// history checker.
pub struct Client {
    reader: BufReader<TcpStream>,
    recorder: Recorder,
}

impl Client {
    /// Connects; reads end after [`WAIT_TIMEOUT`].
    ///
    /// # Panics
    /// If no server listens there.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client { reader: BufReader::new(stream), recorder: Recorder::current() }
    }

    /// The same where possibly no server listens; reads on it end after one second.
    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(TRY_READ_TIMEOUT)).ok()?;
        Some(Client { reader: BufReader::new(stream), recorder: Recorder::current() })
    }

    /// Writes bytes.
    ///
    /// # Panics
    /// If the proxy has closed the connection.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Writes bytes as far as the proxy takes them; false if it does not take all.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Whether the proxy has closed it.
    pub fn is_closed(&self) -> bool {
        let stream = self.reader.get_ref();
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
        match self.reader.read_line(&mut line) {
            Ok(_) => line,
            Err(error) if END_OF_INPUT.contains(&error.kind()) => String::new(),
            Err(error) => panic!("{error}"),
        }
    }

    /// Writes a command and reads the first line of its response.
    pub fn request(&mut self, command: &str) -> String {
        self.send(command);
        self.read_line()
    }

    /// The reader of its responses, for responses that are not lines.
    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }

    /// Gets the key `id`; the value's line, or none if the connection ended first.
    pub fn try_get(&mut self, id: &str) -> Option<String> {
        if !self.try_send(&format!("mg {id} v O{id} Pc=read,t=acme,d=2000\r\n")) {
            return None;
        }
        let line = self.read_line();
        (!line.is_empty()).then(|| if line.starts_with("VA ") { self.read_line() } else { line })
    }

    /// Gets a key with a deadline in milliseconds; the response's line, and the value's line if
    /// there is one.
    pub fn get(&mut self, key: &str, id: &str, deadline_ms: u32) -> (String, String) {
        self.perform(&format!("mg {key} v O{id} Pc=read,t=acme,d={deadline_ms}\r\n"))
    }

    /// Sets a key with a deadline in milliseconds; the response's line.
    pub fn set(&mut self, class: &str, key: &str, id: &str, deadline_ms: u32) -> String {
        self.perform(&format!("ms {key} 5 O{id} Pc={class},t=acme,d={deadline_ms},k={id}\r\nhello\r\n")).0
    }

    fn perform(&mut self, command: &str) -> (String, String) {
        self.recorder.record_request(command);
        let line = self.request(command);
        let value = if line.starts_with("VA ") { self.read_line() } else { String::new() };
        self.recorder.record_response(command, &line, &value);
        (line, value)
    }

    /// Gets a key and closes the connection after a time, without reading a response.
    pub fn request_and_disconnect(mut self, key: &str, id: &str, after: Duration) {
        let command = format!("mg {key} v O{id} Pc=read,t=acme,d=2000\r\n");
        self.recorder.record_request(&command);
        self.send(&command);
        thread::sleep(after);
        self.recorder.record_client_gone(&command);
    }
}

/// One call at a proxy's admin endpoint: its status and its text.
pub fn call_admin(admin: SocketAddr, method: &str, path: &str) -> (u16, String) {
    send_to_admin(admin, &format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n"))
}

/// The response of a proxy's admin endpoint to these bytes: status and text.
pub fn send_to_admin(admin: SocketAddr, request: &str) -> (u16, String) {
    let mut client = Client::connect(admin);
    client.send(request);
    let status = client.read_line().split(' ').nth(1).map_or(0, |status| status.parse().unwrap());
    let mut rest = String::new();
    std::io::Read::read_to_string(&mut client.reader, &mut rest).unwrap();
    (status, rest.split_once("\r\n\r\n").map_or(String::new(), |(_, text)| text.to_owned()))
}
