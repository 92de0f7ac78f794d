//! `sillpin-standin fault`

use super::{option, serve, value, with_listen};
use clap::{ArgMatches, Command};
use sillpin_standin::announce;
use sillpin_standin::fault::FaultProxy;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

pub fn cli() -> Command {
    let command = Command::new("fault").about("A TCP proxy that injects faults");
    with_listen(command)
        .arg(option::<SocketAddr>(
            "proxy",
            "127.0.0.1:0",
            "Address on which the proxy listens",
        ))
        .arg(option::<SocketAddr>(
            "target",
            "127.0.0.1:1",
            "Address to which connections are forwarded",
        ))
}

pub async fn run(args: &ArgMatches) -> io::Result<()> {
    let proxy = FaultProxy::new(value(args, "target")?);
    let listener = TcpListener::bind(value::<SocketAddr>(args, "proxy")?).await?;
    announce("proxy", listener.local_addr()?);
    tokio::spawn(proxy.clone().run(listener));
    serve("fault", args, move |req| proxy.clone().handle(req)).await
}
