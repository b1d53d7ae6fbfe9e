//! Prints the digests of the API keys given as arguments, as a configuration holds them.

fn main() {
    std::env::args()
        .skip(1)
        .for_each(|key| println!("{}", rules::key_digest(key)));
}
