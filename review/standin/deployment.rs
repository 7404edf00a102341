//! The settings of a small deployment, and the deployment: stand-ins of discovery and of the backends, and one proxy.

use crate::standin::*;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
}

/// What every case has.
pub struct Case {
    /// The repository's root, in which the deploy file's commands run.
    pub root: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// The settings of the deployment `gdynia-bookings`, in the form of the simulator's first message.
pub const GDYNIA: &str = r#"{"Callers":{"MarksRetry":false},"Discovery":"ask","Family":"cache",
"FamilyInfo":{"Mode":"aside","OriginFall":3000.0,"OriginFallMultiple":0.0,"OriginKind":3},
"Grades":[
{"Aim":750.0,"DedupScope":"all","GiveUp":1500.0,"LateWorth":0.0,"Name":"lookup","RepeatWindow":5000.0,"Semantics":"safe","Stream":false,"Worth":1.0},
{"Aim":750.0,"DedupScope":"all","GiveUp":2500.0,"LateWorth":0.0,"Name":"hold","RepeatWindow":5000.0,"Semantics":"keyed","Stream":false,"Worth":8.0},
{"Aim":600.0,"DedupScope":"all","GiveUp":1200.0,"LateWorth":0.0,"Name":"confirm","RepeatWindow":1200.0,"Semantics":"keyed","Stream":false,"Worth":8.0}],
"GroupSize":1,"Kinds":["c6-fast","c6-std","c6-slow","origin"],"MyNumber":0,
"Orgs":[{"AllowancePerS":88.0,"Name":"hel-gdynia","Share":0.29},{"AllowancePerS":79.0,"Name":"swinoujscie-bornholm","Share":0.26}],
"OverShareWorth":0.05,
"Permissions":{"Cancel":true,"ConnIdle":15000.0,"ConnectTimeout":250.0,"CpuUsPerRequest":0.0,"CpuUsPerS":15000,"MaxAttempts":3,"MaxOpen":20000,"MaxRetryAfter":2000.0,"PeerMessages":false,"Probing":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":32},
"Report":{"Columns":[],"How":"silent"},
"Safety":{"AnswerSlack":20.0,"Cold":24000.0,"FallMultiple":3.0,"MustAskIn":10000.0,"StartCapacity":0.13,"StopSendingWithin":2000.0,"TipAfter":3000.0},
"Stage":0,"Stages":["fare-cache"],"Tick":5.0,"ValueBy":"work","Weights":"rough","Zone":0,"Zones":["gdynia-port"]}"#;

/// A running deployment.
pub struct Deployment {
    pub discovery: Discovery,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub proxy: Proxy,
    /// The proxy's configuration file.
    pub config: PathBuf,
    entries: Vec<String>,
}

impl Case {
    /// Starts discovery with a cache node and the origin in its list, and a proxy with these settings; waits until
    /// the proxy takes clients.
    pub fn deploy(&self, settings: &str, node: &Backend, origin: &Backend) -> Result<Deployment, String> {
        let entries = vec![
            entry("s-5be2a07c", node.address, "c6-fast", "gdynia-port"),
            entry("s-00000001", origin.address, "origin", "gdynia-port"),
        ];
        let discovery = Discovery::start(&self.record, list(41, &entries));
        let (listen, admin) = (free_address(), free_address());
        let config = self.folder.join("config.json");
        let text = config_text(listen, admin, discovery.address, &list(41, &entries), settings);
        std::fs::write(&config, text).map_err(|error| error.to_string())?;
        let proxy = Proxy::start(&self.root, &self.folder, &config, listen, admin, discovery.address);
        if !wait_until_ready(listen, ms(10_000)) {
            self.keep_log(&proxy);
            return Err("the proxy was not ready within 10 s".to_owned());
        }
        self.record.line("the proxy is ready");
        Ok(Deployment { discovery, listen, admin, proxy, config, entries })
    }

    /// Adds the proxy's log to the record.
    pub fn keep_log(&self, proxy: &Proxy) {
        for line in std::fs::read_to_string(&proxy.log).unwrap_or_default().lines() {
            self.record.line(&format!("the proxy's log: {line}"));
        }
    }
}

impl Deployment {
    /// Replaces the configuration file by one with these settings, in one step, and sends SIGHUP.
    pub fn reload(&self, settings: &str) -> Result<(), String> {
        let known = list(41, &self.entries);
        let text = config_text(self.listen, self.admin, self.discovery.address, &known, settings);
        let next = self.config.with_extension("next");
        std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, &self.config)).map_err(|error| error.to_string())?;
        self.proxy.signal("HUP");
        Ok(())
    }
}

/// Returns the configuration of a small proxy.
fn config_text(listen: SocketAddr, admin: SocketAddr, discovery: SocketAddr, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","admin":"{admin}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":48,"sockets":384}},
"known":{known},
"settings":{settings}}}"#
    )
}
