//! Invalid input to every port is refused and counted, and the process keeps running and serving.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use bytes::Bytes;
use common::child::FLEET_KEY;
use common::{
    completion, probe, quick, wait_for, words, Caller, Child, Fleet, Prompt, API_KEY, TIMEOUT,
};
use wire::{Ack, Head, Key, Keys, Offer, Packet, Probe, PACKET_MAX};

/// The keys of the fleet under test.
fn fleet_keys() -> Keys {
    Keys::new(Key::from_hex(FLEET_KEY).expect("key"), None)
}

/// The keys of another fleet.
fn foreign_keys() -> Keys {
    let key = Key::from_hex("11".repeat(32)).expect("key");
    Keys::new(key, None)
}

/// Value of one of a process's counters, summed over all labels.
fn counter(child: &Child, name: &str) -> f64 {
    let text = Caller::new(child.address("admin"), "")
        .get("/metrics")
        .text();
    let lines = text.lines().filter(|l| l.starts_with(name));
    let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Asserts that a completion is served and that both processes run.
fn assert_serves(fleet: &mut Fleet, what: &str) {
    let prompt = format!("after {what}");
    let answer = fleet
        .caller(0)
        .post("/v1/completions", &completion(&prompt, 6, true));
    assert!(
        answer.is_complete_stream(),
        "{prompt}: {} {}",
        answer.status,
        answer.text()
    );
    assert_eq!(answer.words(), words(&prompt, 6), "{prompt}");
    assert!(
        fleet.entries[0].is_running() && fleet.replicas[0].sidecar.is_running(),
        "{prompt}"
    );
}

/// Sends bytes, closes the sending half, and returns what arrives until the other side closes the
/// connection.
fn send_and_close(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    exchange_bytes(to, bytes, true)
}

/// Sends bytes, closes the sending half if asked to, and returns what arrives until the other side
/// closes the connection.
fn exchange_bytes(to: SocketAddr, bytes: &[u8], close: bool) -> Vec<u8> {
    let mut tcp = TcpStream::connect(to).expect("connect");
    tcp.set_read_timeout(Some(TIMEOUT)).expect("timeout");
    // The other side may close before it has read everything.
    let _ = tcp.write_all(bytes);
    if close {
        let _ = tcp.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    let _ = tcp.read_to_end(&mut answer);
    answer
}

/// Puts the length before a payload, as on a peer connection.
fn framed(payload: &[u8]) -> Vec<u8> {
    [&(payload.len() as u32).to_be_bytes()[..], payload].concat()
}

/// Guards against scanners, other fleets, partial frames and replayed handshakes at the peer port:
/// each such connection must be closed and counted without affecting others.
#[test]
fn peer_port_counts_and_closes_foreign_connections() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let hello = framed(&fleet_keys().seal(&[7; 16]));
    let cases = [
        ("another protocol", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("a huge length", u32::MAX.to_be_bytes().to_vec()),
        ("half a frame", framed(&[7; 32])[..20].to_vec()),
        ("an empty frame", framed(&[])),
        (
            "another fleet's key",
            framed(&foreign_keys().seal(&[7; 16])),
        ),
        (
            "a hello and a frame without its seal",
            [hello.clone(), framed(&[0; 40])].concat(),
        ),
        ("a recorded hello twice", [hello.clone(), hello].concat()),
    ];
    for (what, bytes) in cases {
        for entry in [true, false] {
            let child = if entry {
                &fleet.entries[0]
            } else {
                &fleet.replicas[0].sidecar
            };
            let before = counter(child, "clementinestep_peer_faults_total");
            send_and_close(child.address("peer"), &bytes);
            wait_for(what, || {
                counter(child, "clementinestep_peer_faults_total") > before
            });
        }
        assert_serves(&mut fleet, what);
    }
}

/// Guards against a crash by a peer with the right key that sends frames out of order, as a process
/// of another release might.
#[test]
fn unexpected_frames_end_their_connection_only() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let run = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    for child in [&fleet.entries[0], &fleet.replicas[0].sidecar] {
        let before = counter(child, "clementinestep_peer_faults_total");
        let to = child.address("peer");
        run.block_on(async {
            let tcp = tokio::net::TcpStream::connect(to).await.expect("connect");
            let (mut tx, mut rx) = wire::connect(tcp, &fleet_keys(), [3; 16])
                .await
                .expect("hello");
            // A late confirmation is normal and must be accepted.
            tx.send(Ack { next: 1 }).await.expect("send");
            tx.send(Head::default()).await.expect("send");
            let end = tokio::time::timeout(TIMEOUT, rx.next())
                .await
                .expect("an end");
            assert!(end.is_err(), "{end:?}");
        });
        wait_for("the unexpected frame to be counted", || {
            counter(child, "clementinestep_peer_faults_total") > before
        });
    }
    assert_serves(&mut fleet, "unexpected frames");
}

/// Address at which an entry receives offers: the one of its UDP sockets that isn't announced.
fn offer_address(entry: &Child) -> SocketAddr {
    let own = std::fs::read_dir(format!("/proc/{}/fd", entry.id())).expect("descriptors");
    let own = own.filter_map(|f| std::fs::read_link(f.ok()?.path()).ok());
    let own: Vec<_> = own.map(|l| l.display().to_string()).collect();
    let all = std::fs::read_to_string("/proc/net/udp").expect("sockets");
    let port = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let inode = format!("socket:[{}]", fields.get(9)?);
        let (_, port) = fields.get(1)?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let is_match = own.contains(&inode) && port != entry.address("gossip").port();
        is_match.then_some(port)
    };
    let port = all.lines().find_map(port).expect("a socket for probes");
    SocketAddr::new(entry.address("gossip").ip(), port)
}

/// Guards against a crash, or a datagram that isn't counted, when the probe ports receive noise or
/// datagrams of another fleet, truncated, too long, or of the wrong kind.
#[test]
fn probe_ports_count_and_drop_invalid_datagrams() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let valid = Packet::seal(Probe::default(), &fleet_keys()).expect("small enough");
    let offer = Packet::seal(Offer::default(), &fleet_keys()).expect("small enough");
    let noise: Vec<u8> = (0..200).map(|i| (i * 37 % 251) as u8).collect();
    let cases = [
        ("nothing", Vec::new()),
        ("noise", noise),
        (
            "another fleet's key",
            Packet::seal(Probe::default(), &foreign_keys())
                .expect("small")
                .to_vec(),
        ),
        ("a cut one", valid[..valid.len() - 1].to_vec()),
        ("one without a message", fleet_keys().seal(&[]).to_vec()),
        ("sealed noise", fleet_keys().seal(&[255; 64]).to_vec()),
        (
            "one too long",
            fleet_keys().seal(&vec![0; PACKET_MAX]).to_vec(),
        ),
        ("the longest there is", vec![0; 60_000]),
    ];
    let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
    for (what, bytes) in &cases {
        let (entry, sidecar) = (&fleet.entries[0], &fleet.replicas[0].sidecar);
        for (child, to, name) in [
            (
                entry,
                offer_address(entry),
                "clementinestep_offer_faults_total",
            ),
            (
                sidecar,
                sidecar.address("peer"),
                "clementinestep_probe_faults_total",
            ),
        ] {
            let before = counter(child, name);
            udp.send_to(bytes, to).expect("send");
            wait_for(what, || counter(child, name) > before);
        }
    }
    // An offer with the right key, sent to a sidecar, which must not receive any; then an offer
    // without a probe, sent twice to an entry.
    let sidecar = &fleet.replicas[0].sidecar;
    let before = counter(sidecar, "clementinestep_probe_faults_total");
    udp.send_to(&offer, sidecar.address("peer")).expect("send");
    wait_for("an offer to a sidecar", || {
        counter(sidecar, "clementinestep_probe_faults_total") > before
    });
    let entry = &fleet.entries[0];
    let before = counter(entry, "clementinestep_offers_unasked_total");
    for _ in 0..2 {
        udp.send_to(&offer, offer_address(entry)).expect("send");
    }
    wait_for("offers without a probe", || {
        counter(entry, "clementinestep_offers_unasked_total") >= before + 2.0
    });
    assert_serves(&mut fleet, "bad datagrams");
}

/// Guards against replayed probes that reserve slots and thereby displace real requests; a replay
/// is answered like the first one.
#[test]
fn replayed_probes_displace_no_requests() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let recorded = Probe {
        id: 7,
        class: 1,
        blocks: 100,
        team: "team-one".to_owned(),
        ..Probe::default()
    };
    let bytes = Packet::seal(recorded, &fleet_keys()).expect("small enough");
    let sidecar = fleet.replicas[0].sidecar.address("peer");
    let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
    udp.set_read_timeout(Some(Duration::from_secs(1)))
        .expect("timeout");
    let mut buf = [0; PACKET_MAX];
    let mut answered = 0;
    wait_for("many replays to be answered", || {
        udp.send_to(&bytes, sidecar).expect("send");
        answered += usize::from(udp.recv_from(&mut buf).is_ok());
        answered >= 500
    });
    let prompt = Prompt {
        scope: "team-one",
        weights: "1",
        text: "anything",
    };
    let offer = probe(sidecar, prompt);
    assert_eq!(offer.state(), wire::State::Serving);
    assert_serves(&mut fleet, "replayed probes");
}

/// Guards against a crash by invalid datagrams at the membership port, and against a departed
/// member that stays listed because its recorded datagram is replayed.
#[test]
fn gossip_port_counts_invalid_datagrams_and_removes_replayed_members() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let name = "clementinestep_gossip_faults_total";
    let sealed = |body: &[u8], key: &[u8]| fleet::Keyring::new(key).seal(body).to_vec();
    let key = *fleet_keys().first().bytes();
    let cases = [
        ("nothing", Vec::new()),
        ("noise", vec![9; 300]),
        (
            "another fleet's key",
            sealed(&[8, 1], foreign_keys().first().bytes()),
        ),
        ("sealed noise", sealed(&[255; 64], &key)),
        ("the longest there is", vec![0; 60_000]),
    ];
    let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
    for (what, bytes) in &cases {
        for child in [&fleet.entries[0], &fleet.replicas[0].sidecar] {
            let before = counter(child, name);
            udp.send_to(bytes, child.address("gossip")).expect("send");
            wait_for(what, || counter(child, name) > before);
        }
    }
    let members = fleet.live_members(0);
    // Replay the recorded datagram of a member that has joined once and then exited.
    let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
    let recorded = first_datagram(&udp, fleet.fieldops.address("gossip"), &key);
    drop(udp);
    let replay = UdpSocket::bind("127.0.0.1:0").expect("socket");
    for _ in 0..200 {
        replay
            .send_to(&recorded, fleet.entries[0].address("gossip"))
            .expect("send");
    }
    assert_serves(&mut fleet, "replayed datagrams");
    wait_for("the replayed member to be removed", || {
        fleet.live_members(0) == members
    });
}

/// The first datagram of a process that joins the fleet.
fn first_datagram(udp: &UdpSocket, seed: SocketAddr, key: &[u8]) -> Bytes {
    use fleet::{Action, Event, Member, MemberState, Role};
    use model::{Incarnation, MemberId, Micros};
    let at = udp.local_addr().expect("address");
    let me = Member {
        id: MemberId(77),
        role: Role::Sidecar,
        host: "gone".to_owned(),
        domain: "local".to_owned(),
        region: "local".to_owned(),
        udp: at,
        tcp: at,
        http: None,
        pool: Some("lekha-llm".to_owned()),
        tags: String::new(),
        incarnation: Incarnation(1),
        state: MemberState::Alive,
    };
    let set = fleet::Settings::new(fleet::Keyring::new(key));
    let mut member = fleet::Fleet::new(set, me, 1);
    let mut out = Vec::new();
    member.step(Micros(1), Event::Seeds(vec![seed]), &mut out);
    member.step(Micros(2), Event::Tick, &mut out);
    let sent = out.into_iter().find_map(|a| match a {
        Action::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    sent.expect("a datagram")
}

/// Guards against a crash by input at the callers' port that isn't HTTP, is too large or
/// incomplete.
#[test]
fn callers_port_survives_invalid_requests() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let to = fleet.entries[0].address("callers");
    let head =
        format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {API_KEY}\r\n");
    let cases = [
        ("no HTTP", b"\x16\x03\x01\x00\x00\r\n\r\n".to_vec(), ""),
        (
            "an endless header",
            [head.as_bytes(), b"x: ", &vec![b'a'; 1 << 20][..]].concat(),
            "",
        ),
        (
            "two lengths",
            format!("{head}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd").into(),
            "",
        ),
        (
            "a bad chunk",
            format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n").into(),
            "",
        ),
        (
            "half a body",
            format!("{head}content-length: 100\r\n\r\n{{").into(),
            "",
        ),
        (
            "no JSON",
            format!("{head}content-length: 1\r\n\r\n{{").into(),
            "400",
        ),
        (
            "no UTF-8",
            [head.as_bytes(), b"content-length: 2\r\n\r\n\xff\xfe"].concat(),
            "400",
        ),
    ];
    for (what, bytes, status) in cases {
        // A complete request is answered only if its caller keeps the connection open.
        let answer = exchange_bytes(to, &bytes, status.is_empty());
        let answer = String::from_utf8_lossy(&answer);
        let line = answer.lines().next().unwrap_or_default();
        assert!(
            !line.contains(" 2") && !line.contains(" 500"),
            "{what}: {answer}"
        );
        assert!(line.contains(status), "{what}: {answer}");
        if !status.is_empty() {
            assert!(answer.contains("x-outcome: not-run"), "{what}: {answer}");
        }
        assert_serves(&mut fleet, what);
    }
    let long = "a".repeat(5 << 20);
    let answer = fleet.caller(0).post("/v1/completions", &long);
    // The answer may be lost because the connection is reset while the body is still being sent.
    assert!([0, 413].contains(&answer.status), "{}", answer.status);
    assert_serves(&mut fleet, "too much");
    let refused = "clementinestep_requests_total{code=\"too_large\"}";
    assert_eq!(counter(&fleet.entries[0], refused), 1.0);
    let refused = "clementinestep_requests_total{code=\"bad_request\"}";
    assert!(counter(&fleet.entries[0], refused) >= 2.0);
    assert!(fleet.replicas[0].engine.run_log().iter().all(|r| r.whole));
}

/// Guards against a crash by invalid input at the admin ports, and against a call without the
/// operator key that is accepted.
#[test]
fn admin_ports_survive_invalid_requests_and_refuse_wrong_keys() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let long = format!(
        "PUT /admin/configuration HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 400000000\r\n\r\n",
        common::OPERATOR_KEY
    );
    let cases = [
        ("no HTTP", b"\x16\x03\x01\x00\x00\r\n\r\n".to_vec()),
        (
            "an endless header",
            [b"GET /metrics HTTP/1.1\r\nx: ", &vec![b'a'; 1 << 20][..]].concat(),
        ),
        ("half a body", long.into_bytes()),
    ];
    for (what, bytes) in &cases {
        for child in [&fleet.entries[0], &fleet.replicas[0].sidecar] {
            let answer = send_and_close(child.address("admin"), bytes);
            let answer = String::from_utf8_lossy(&answer);
            assert!(!answer.starts_with("HTTP/1.1 2"), "{what}: {answer}");
            let health = Caller::new(child.address("admin"), "").get("/health/live");
            assert_eq!(health.status, 200, "{what}");
        }
    }
    let version = fleet.operator(0).get("/admin/configuration").json()["version"].clone();
    for key in ["", "sample-operator-ke", API_KEY] {
        let unauthorized = Caller::new(fleet.entries[0].address("admin"), key);
        for (method, path) in [
            ("PUT", "/admin/configuration"),
            ("GET", "/admin/configuration"),
            ("GET", "/admin/history"),
            ("GET", "/admin/status"),
        ] {
            let answer = unauthorized.send(method, path, &[], "{}");
            assert_eq!(
                (answer.status, answer.code().as_str()),
                (401, "unauthorized"),
                "{key} {path}"
            );
        }
    }
    for body in [
        "",
        "{",
        "[]",
        "{\"text\":1}",
        "{\"text\":\"\",\"operation\":1}",
    ] {
        let answer = fleet.operator(0).put("/admin/configuration", body);
        assert_eq!(
            (answer.status, answer.code().as_str()),
            (400, "bad_request"),
            "{body}"
        );
    }
    let now = fleet.operator(0).get("/admin/configuration").json()["version"].clone();
    assert_eq!(now, version);
    assert_serves(&mut fleet, "bad operators' calls");
}
