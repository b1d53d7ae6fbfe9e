//! Bad input to every port: an error, a counter, and the process lives on and serves.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use bytes::Bytes;
use common::child::FLEET_KEY;
use common::{completion, probe, quick, wait_for, words, Caller, Child, Fleet, Prompt, KEY, LIMIT};
use wire::{Ack, Head, Key, Keys, Offer, Packet, Probe, PACKET_MAX};

fn ours() -> Keys {
    Keys::new(Key::from_hex(FLEET_KEY).expect("key"), None)
}

fn strange() -> Keys {
    let key = Key::from_hex("11".repeat(32)).expect("key");
    Keys::new(key, None)
}

/// What a process has counted under a name, all labels together.
fn counted(child: &Child, name: &str) -> f64 {
    let text = Caller::new(child.address("admin"), "")
        .get("/metrics")
        .text();
    let lines = text.lines().filter(|l| l.starts_with(name));
    let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Everything still works.
fn serves(fleet: &mut Fleet, what: &str) {
    let prompt = format!("after {what}");
    let answer = fleet
        .caller(0)
        .post("/v1/completions", &completion(&prompt, 6, true));
    assert!(
        answer.whole(),
        "{prompt}: {} {}",
        answer.status,
        answer.text()
    );
    assert_eq!(answer.words(), words(&prompt, 6), "{prompt}");
    assert!(
        fleet.entries[0].runs() && fleet.replicas[0].sidecar.runs(),
        "{prompt}"
    );
}

/// Sends bytes and nothing after them, and takes what comes until the other side ends the
/// connection.
fn talk(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    converse(to, bytes, true)
}

/// The same; it may also leave its own half of the connection open.
fn converse(to: SocketAddr, bytes: &[u8], end: bool) -> Vec<u8> {
    let mut tcp = TcpStream::connect(to).expect("connect");
    tcp.set_read_timeout(Some(LIMIT)).expect("timeout");
    // The other side may close before it has read everything.
    let _ = tcp.write_all(bytes);
    if end {
        let _ = tcp.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    let _ = tcp.read_to_end(&mut answer);
    answer
}

fn framed(payload: &[u8]) -> Vec<u8> {
    [&(payload.len() as u32).to_be_bytes()[..], payload].concat()
}

/// Strangers find the peer port: scanners, a process of another fleet, one that dies within a
/// frame, somebody who recorded a handshake. The connection ends, is counted, and harms no other.
#[test]
fn peer_port_counts_and_drops_what_is_not_ours() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let hello = framed(&ours().seal(&[7; 16]));
    let cases = [
        ("another protocol", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("a huge length", u32::MAX.to_be_bytes().to_vec()),
        ("half a frame", framed(&[7; 32])[..20].to_vec()),
        ("an empty frame", framed(&[])),
        ("another fleet's key", framed(&strange().seal(&[7; 16]))),
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
            let before = counted(child, "clementinestep_peer_faults_total");
            talk(child.address("peer"), &bytes);
            wait_for(what, || {
                counted(child, "clementinestep_peer_faults_total") > before
            });
        }
        serves(&mut fleet, what);
    }
}

/// A peer with our key sends frames that don't belong where they come, as one of another release
/// might.
#[test]
fn unexpected_frames_end_their_connection_only() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let run = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    for child in [&fleet.entries[0], &fleet.replicas[0].sidecar] {
        let before = counted(child, "clementinestep_peer_faults_total");
        let to = child.address("peer");
        run.block_on(async {
            let tcp = tokio::net::TcpStream::connect(to).await.expect("connect");
            let (mut tx, mut rx) = wire::connect(tcp, &ours(), [3; 16]).await.expect("hello");
            // Late confirmations are usual and harmless.
            tx.send(Ack { next: 1 }).await.expect("send");
            tx.send(Head::default()).await.expect("send");
            let end = tokio::time::timeout(LIMIT, rx.next())
                .await
                .expect("an end");
            assert!(end.is_err(), "{end:?}");
        });
        wait_for("it to be counted", || {
            counted(child, "clementinestep_peer_faults_total") > before
        });
    }
    serves(&mut fleet, "unexpected frames");
}

/// Where an entry takes offers: its datagram socket that isn't announced to anybody.
fn offers(entry: &Child) -> SocketAddr {
    let own = std::fs::read_dir(format!("/proc/{}/fd", entry.id())).expect("descriptors");
    let own = own.filter_map(|f| std::fs::read_link(f.ok()?.path()).ok());
    let own: Vec<_> = own.map(|l| l.display().to_string()).collect();
    let all = std::fs::read_to_string("/proc/net/udp").expect("sockets");
    let port = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let inode = format!("socket:[{}]", fields.get(9)?);
        let (_, port) = fields.get(1)?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let probes = own.contains(&inode) && port != entry.address("gossip").port();
        probes.then_some(port)
    };
    let port = all.lines().find_map(port).expect("a socket for probes");
    SocketAddr::new(entry.address("gossip").ip(), port)
}

/// Datagrams for the probe port that are no probes: noise, another fleet's, cut, too long, or of
/// the wrong kind.
#[test]
fn probe_ports_count_and_drop_what_is_not_ours() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let good = Packet::seal(Probe::default(), &ours()).expect("small enough");
    let offer = Packet::seal(Offer::default(), &ours()).expect("small enough");
    let noise: Vec<u8> = (0..200).map(|i| (i * 37 % 251) as u8).collect();
    let cases = [
        ("nothing", Vec::new()),
        ("noise", noise),
        (
            "another fleet's key",
            Packet::seal(Probe::default(), &strange())
                .expect("small")
                .to_vec(),
        ),
        ("a cut one", good[..good.len() - 1].to_vec()),
        ("one without a message", ours().seal(&[]).to_vec()),
        ("sealed noise", ours().seal(&[255; 64]).to_vec()),
        ("one too long", ours().seal(&vec![0; PACKET_MAX]).to_vec()),
        ("the longest there is", vec![0; 60_000]),
    ];
    let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
    for (what, bytes) in &cases {
        let (entry, sidecar) = (&fleet.entries[0], &fleet.replicas[0].sidecar);
        for (child, to, name) in [
            (entry, offers(entry), "clementinestep_offer_faults_total"),
            (
                sidecar,
                sidecar.address("peer"),
                "clementinestep_probe_faults_total",
            ),
        ] {
            let before = counted(child, name);
            udp.send_to(bytes, to).expect("send");
            wait_for(what, || counted(child, name) > before);
        }
    }
    // The right key, the wrong direction; and an offer that nobody asked for, sent again.
    let sidecar = &fleet.replicas[0].sidecar;
    let before = counted(sidecar, "clementinestep_probe_faults_total");
    udp.send_to(&offer, sidecar.address("peer")).expect("send");
    wait_for("an offer to a sidecar", || {
        counted(sidecar, "clementinestep_probe_faults_total") > before
    });
    let entry = &fleet.entries[0];
    let before = counted(entry, "clementinestep_offers_unasked_total");
    for _ in 0..2 {
        udp.send_to(&offer, offers(entry)).expect("send");
    }
    wait_for("offers without a probe", || {
        counted(entry, "clementinestep_offers_unasked_total") >= before + 2.0
    });
    serves(&mut fleet, "bad datagrams");
}

/// Somebody recorded a probe and sends it again and again. It is answered as before and takes
/// nothing from those who ask.
#[test]
fn replayed_probes_take_no_place_from_others() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let recorded = Probe {
        id: 7,
        class: 1,
        blocks: 100,
        team: "team-one".to_owned(),
        ..Probe::default()
    };
    let bytes = Packet::seal(recorded, &ours()).expect("small enough");
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
    serves(&mut fleet, "replayed probes");
}

/// Noise, another fleet's datagrams and cut ones reach the membership port; then one that was
/// recorded from a real member comes again and again.
#[test]
fn gossip_port_counts_and_drops_what_is_not_ours() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let name = "clementinestep_gossip_faults_total";
    let sealed = |body: &[u8], key: &[u8]| fleet::Keyring::new(key).seal(body).to_vec();
    let key = *ours().first().bytes();
    let cases = [
        ("nothing", Vec::new()),
        ("noise", vec![9; 300]),
        (
            "another fleet's key",
            sealed(&[8, 1], strange().first().bytes()),
        ),
        ("sealed noise", sealed(&[255; 64], &key)),
        ("the longest there is", vec![0; 60_000]),
    ];
    let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
    for (what, bytes) in &cases {
        for child in [&fleet.entries[0], &fleet.replicas[0].sidecar] {
            let before = counted(child, name);
            udp.send_to(bytes, child.address("gossip")).expect("send");
            wait_for(what, || counted(child, name) > before);
        }
    }
    let members = fleet.live(0);
    // A member that was there once and told of itself is replayed.
    let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
    let recorded = recorded(&udp, fleet.fieldops.address("gossip"), &key);
    drop(udp);
    let again = UdpSocket::bind("127.0.0.1:0").expect("socket");
    for _ in 0..200 {
        again
            .send_to(&recorded, fleet.entries[0].address("gossip"))
            .expect("send");
    }
    serves(&mut fleet, "replayed datagrams");
    wait_for("a member that isn't there to be forgotten", || {
        fleet.live(0) == members
    });
}

/// The first datagram of a process that joins.
fn recorded(udp: &UdpSocket, seed: SocketAddr, key: &[u8]) -> Bytes {
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
    let mut ghost = fleet::Fleet::new(set, me, 1);
    let mut out = Vec::new();
    ghost.step(Micros(1), Event::Seeds(vec![seed]), &mut out);
    ghost.step(Micros(2), Event::Tick, &mut out);
    let sent = out.into_iter().find_map(|a| match a {
        Action::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    sent.expect("a datagram")
}

/// Callers send what is no HTTP, too much of it, or only a part.
#[test]
fn callers_port_survives_what_is_no_request() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let to = fleet.entries[0].address("callers");
    let head =
        format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {KEY}\r\n");
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
        // A whole request is answered if its caller stays for the answer.
        let answer = converse(to, &bytes, status.is_empty());
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
        serves(&mut fleet, what);
    }
    let long = "a".repeat(5 << 20);
    let answer = fleet.caller(0).post("/v1/completions", &long);
    // The answer may be lost with what is still being sent.
    assert!([0, 413].contains(&answer.status), "{}", answer.status);
    serves(&mut fleet, "too much");
    let refused = "clementinestep_requests_total{code=\"too_large\"}";
    assert_eq!(counted(&fleet.entries[0], refused), 1.0);
    let refused = "clementinestep_requests_total{code=\"bad_request\"}";
    assert!(counted(&fleet.entries[0], refused) >= 2.0);
    assert!(fleet.replicas[0].engine.run_log().iter().all(|r| r.whole));
}

/// Operators' ports get the same, and calls without the key.
#[test]
fn admin_ports_survive_what_is_no_request() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let long = format!(
        "PUT /admin/configuration HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 400000000\r\n\r\n",
        common::OPERATOR
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
            let answer = talk(child.address("admin"), bytes);
            let answer = String::from_utf8_lossy(&answer);
            assert!(!answer.starts_with("HTTP/1.1 2"), "{what}: {answer}");
            let health = Caller::new(child.address("admin"), "").get("/health/live");
            assert_eq!(health.status, 200, "{what}");
        }
    }
    let version = fleet.operator(0).get("/admin/configuration").json()["version"].clone();
    for key in ["", "sample-operator-ke", KEY] {
        let stranger = Caller::new(fleet.entries[0].address("admin"), key);
        for (method, path) in [
            ("PUT", "/admin/configuration"),
            ("GET", "/admin/configuration"),
            ("GET", "/admin/history"),
            ("GET", "/admin/status"),
        ] {
            let answer = stranger.send(method, path, &[], "{}");
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
    serves(&mut fleet, "bad operators' calls");
}
