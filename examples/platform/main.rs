//! The platform's stand-ins alone, for daemons started by hand.
//!
//! Writes a settings file for each daemon into the directory given, then shows the platform's list
//! until it is stopped. The ports are fixed in the files, so that the list can name the daemons.

use eyre::{Result, eyre};
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;
use waxwingstall::ids::DomainId;
use waxwingstall::listing::DaemonEntry;
use waxwingstall::settings::Settings;
use waxwingstall_standin::platform::{Platform, PlatformSettings};

const ADVANCE: Duration = Duration::from_millis(200);

fn main() -> Result<()> {
    let dir = std::env::args().nth(1).map(PathBuf::from);
    let dir = dir.ok_or_else(|| eyre!("name a directory for the settings files"))?;
    let platform = Platform::start(PlatformSettings::default());
    for text in platform.settings_texts() {
        let text = with_ports(&text)?;
        let settings = Settings::parse("platform", &text).map_err(|f| eyre!("{f:?}"))?;
        let file = dir.join(format!("{}.toml", settings.name));
        std::fs::write(&file, text)?;
        println!("waxwingd --settings {}", file.display());
        list_daemon(&platform, &settings);
    }
    println!("balancer at {}", platform.balancer.addr());
    loop {
        platform.advance();
        std::thread::sleep(ADVANCE);
    }
}

/// Fills in free ports.
fn with_ports(text: &str) -> Result<String> {
    let free =
        || -> Result<String> { Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string()) };
    let text = text.replacen("127.0.0.1:0", &free()?, 1);
    Ok(text.replacen("127.0.0.1:0\"", &format!("{}\"", free()?), 1))
}

fn list_daemon(platform: &Platform, settings: &Settings) {
    let domain: &DomainId = &settings.domain;
    platform.list.update(|listing| {
        listing.daemons.push(DaemonEntry {
            domain: domain.clone(),
            peer_addr: settings.listen.peer.to_string(),
            front_addr: settings.listen.front.to_string(),
        });
    });
    platform.balancer.add(settings.listen.front);
}
