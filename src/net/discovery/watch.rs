//! One watch: from its connection to its end.

use super::lists::Lists;
use super::timing::{call_within, SILENCE};
use super::{Discovery, Ended};
use crate::interface::ListForm;
use crate::net::codec::http::{self, Body, Head};
use crate::net::codec::Parsed;
use crate::net::config::Catalog;
use crate::net::deadline_stream::DeadlineStream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The longest list of a watch.
const MAX_LIST: usize = 1 << 20;

impl Discovery {
    /// Watches until that fails or ends.
    pub(super) fn watch(
        &mut self,
        address: &SocketAddr,
        moves: u64,
    ) -> Result<std::convert::Infallible, Ended> {
        let silent_for = self.heard.map_or(Duration::MAX, |heard| heard.elapsed());
        let (call, connect) = call_within(silent_for);
        let begins_by = Instant::now() + call;
        let link = DeadlineStream::connect(address, connect).map_err(|error| match error.kind() {
            ErrorKind::TimedOut => Ended::TimedOut("no connection in time"),
            _ => Ended::Broke("no connection"),
        })?;
        let current = self.target.with(|watched| {
            watched.link = Some(link.clone());
            watched.moves == moves
        });
        if !current {
            return Err("moved".into());
        }
        let path = format!("/catalog/members?watch=1&after={}", self.generation);
        let words = http::request(&path, &address.to_string(), &[], None);
        link.write(&words, begins_by).map_err(|_| "the request was not written")?;
        let mut bytes = Vec::new();
        let head = head(&link, &mut bytes, begins_by)?;
        if head.status != 200 || head.body != Body::Chunked {
            return Err("turned away".into());
        }
        self.heard = Some(Instant::now());
        let mut lists = Lists::new(MAX_LIST);
        // When what lies there, not whole, began to come.
        let mut begun = None;
        loop {
            loop {
                let used = match http::chunk(&bytes, MAX_LIST) {
                    Parsed::Incomplete => break,
                    Parsed::Malformed(why, _) => return Err(why.into()),
                    Parsed::Whole([], _) => return Err("ended".into()),
                    Parsed::Whole(part, used) => {
                        lists.push(part)?;
                        used
                    }
                };
                bytes.drain(..used);
            }
            while let Some(list) = lists.next()? {
                begun = None;
                self.hear(list)?;
            }
            if bytes.len() > 2 * MAX_LIST {
                return Err("a list too long".into());
            }
            // Danger: a list that trickles in keeps the watch from silence, and is never told.
            if lists.is_empty() && bytes.is_empty() {
                begun = None;
            } else {
                begun.get_or_insert_with(Instant::now);
            }
            read(&link, &mut bytes, begun.unwrap_or_else(Instant::now) + SILENCE)?;
            self.heard = Some(Instant::now());
        }
    }

    fn hear(&mut self, catalog: Catalog) -> Result<(), Ended> {
        // Danger: changes that are older than what is known would undo it, and a discovery that has begun again
        // counts from below: all its news would go unheard. It is asked for the whole list.
        if !catalog.reset && catalog.generation < self.generation {
            self.generation = 0;
            return Err("its generation is older than the one known".into());
        }
        let form = if catalog.reset { ListForm::Full } else { ListForm::Delta };
        self.generation = catalog.generation;
        self.counters.lists.add();
        self.tell(form, catalog.instances);
        Ok(())
    }
}

/// The head of discovery's answer, which has to be whole in time.
fn head(link: &DeadlineStream, bytes: &mut Vec<u8>, until: Instant) -> Result<Head, Ended> {
    loop {
        read(link, bytes, until)?;
        match http::head(bytes) {
            Parsed::Incomplete => {}
            Parsed::Malformed(why, _) => return Err(why.into()),
            Parsed::Whole(head, used) => {
                bytes.drain(..used);
                return Ok(head);
            }
        }
    }
}

fn read(link: &DeadlineStream, bytes: &mut Vec<u8>, until: Instant) -> Result<(), Ended> {
    match link.read(bytes, until) {
        Ok(0) => Err(Ended::Broke("the connection ended")),
        Ok(_) => Ok(()),
        Err(error) if error.kind() == ErrorKind::TimedOut => Err(Ended::TimedOut("silent for too long")),
        Err(_) => Err(Ended::Broke("the connection broke")),
    }
}
