//! Prints the digest of each API key given as an argument, in the form used in configurations.

fn main() {
    std::env::args()
        .skip(1)
        .for_each(|key| println!("{}", rules::key_digest(key)));
}
