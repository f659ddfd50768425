use super::*;

fn connections() -> Connections {
    Connections::new(Client::default)
}

fn servers(connections: &Connections) -> Vec<String> {
    let pools = connections.shared.pools.borrow();
    pools.by_server.keys().map(|server| server.to_string()).collect()
}

// Guards against pools that pile up as VMs come and go.
#[actix_rt::test]
async fn pools_of_servers_that_are_no_longer_called_are_dropped() {
    let (connections, start) = (connections(), Instant::now());
    connections.server_at("a", start);
    connections.server_at("b", start);
    connections.server_at("b", start + Duration::from_millis(1));
    connections.server_at("c", start + IDLE_TIME);
    assert_eq!(servers(&connections), ["b", "c"]);
}

// Guards against a look at all servers for each one that is new or whose connections were discarded.
#[actix_rt::test]
async fn unused_pools_are_looked_for_once_in_a_while() {
    let (connections, start) = (connections(), Instant::now());
    let is_swept_at = |time| connections.shared.pools.borrow().swept_at == Some(time);
    connections.server_at("a", start);
    connections.server_at("b", start + IDLE_TIME / 2);
    assert!(is_swept_at(start));
    connections.server_at("c", start + IDLE_TIME);
    connections.server_at("d", start + IDLE_TIME * 3 / 2);
    assert!(is_swept_at(start + IDLE_TIME));
    assert_eq!(servers(&connections), ["b", "c", "d"]);
}

// Guards against a late failure that discards the connections opened since.
#[actix_rt::test]
async fn a_discarded_pool_is_replaced_once() {
    let connections = connections();
    let (first, other) = (connections.server("a"), connections.server("b"));
    first.discard();
    assert_eq!(servers(&connections), ["b"]);
    let second = connections.server("a");
    assert_ne!(second.number, first.number);
    first.discard();
    assert_eq!(connections.server("a").number, second.number);
    assert_eq!(connections.server("b").number, other.number);
}
