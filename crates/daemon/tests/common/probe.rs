//! Asks a sidecar what an entry would ask it: what of a prompt does its engine hold?

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use bytes::Bytes;
use prefix::{chain, Marks, Seed};
use wire::{Key, Keys, Message, Offer, Packet, Probe, PACKET_MAX};

use super::child::FLEET_KEY;

/// Pause before a probe is sent again: datagrams may be lost.
const AGAIN: Duration = Duration::from_millis(300);
/// Most probes that are sent.
const TRIES: usize = 30;

/// Whose prompt it is and for which weights.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    pub scope: &'a str,
    pub weights: &'a str,
    pub text: &'a str,
}

/// Sends a probe and waits for the offer.
pub fn probe(to: SocketAddr, prompt: Prompt<'_>) -> Offer {
    let keys = Keys::new(Key::from_hex(FLEET_KEY).expect("key"), None);
    let seed = Seed::new(prompt.scope, "lekha", prompt.weights);
    let marks = Marks::new(&chain(seed, prompt.text));
    let points = marks.points().iter().map(|m| wire::Mark {
        blocks: m.blocks,
        hash: m.hash.0,
    });
    let question = Probe {
        id: rand::random(),
        class: 1,
        marks: points.collect(),
        blocks: marks.blocks(),
        fingerprint: rand::random(),
        team: prompt.scope.to_owned(),
    };
    let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
    udp.set_read_timeout(Some(AGAIN)).expect("timeout");
    let bytes = Packet::seal(question, &keys).expect("packet");
    let mut buf = vec![0; PACKET_MAX];
    for _ in 0..TRIES {
        udp.send_to(&bytes, to).expect("probe");
        let Ok((n, _)) = udp.recv_from(&mut buf) else {
            continue;
        };
        let packet = Packet::open(&Bytes::copy_from_slice(&buf[..n]), &keys);
        if let Ok(Message::Offer(o)) = packet {
            return o;
        }
    }
    panic!("no offer from {to}");
}
