//! Prints the options tables of `docs/RULES.md`.

fn main() {
    let fields = rules::Config::options();
    for table in fields.chunk_by(|a, b| a.table == b.table) {
        println!("\n### `[{}]`\n", table[0].table);
        println!("| key | type | default | meaning |\n| --- | --- | --- | --- |");
        table.iter().for_each(|field| println!("{field}"));
    }
}
