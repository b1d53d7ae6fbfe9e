//! Prints the tables of options in `docs/RULES.md`.

fn main() {
    let options = rules::Config::options();
    for table in options.chunk_by(|a, b| a.table == b.table) {
        println!("\n### `[{}]`\n", table[0].table);
        println!("| key | type | default | meaning |\n| --- | --- | --- | --- |");
        table.iter().for_each(|option| println!("{option}"));
    }
}
