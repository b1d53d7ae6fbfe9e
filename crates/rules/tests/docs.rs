//! The operators' page says what the code does.

use rules::{Config, RuleSet};

const PAGE: &str = include_str!("../../../docs/RULES.md");

#[test]
fn every_option_is_on_the_page() {
    let rows: Vec<_> = PAGE.lines().collect();
    for field in Config::options() {
        let heading = rows
            .iter()
            .position(|l| *l == format!("### `[{}]`", field.table))
            .unwrap_or_else(|| panic!("no section on {}", field.table));
        let section = rows[heading + 1..]
            .iter()
            .take_while(|l| !l.starts_with('#'));
        let row = field.to_string();
        assert!(section.into_iter().any(|l| *l == row), "missing: {row}");
    }
}

#[test]
fn every_option_is_read() {
    // A date fits no option, so that each known key in its own table is a fault of type.
    for field in Config::options() {
        let line = format!("{} = 1979-05-27", field.key);
        let text = match field.table {
            "rule" => format!("[[rule]]\n{line}"),
            t => match t.strip_prefix("rule.") {
                Some(inner) => format!("[[rule]]\n[rule.{inner}]\n{line}"),
                None => format!("[{t}]\n{line}"),
            },
        };
        let faults = RuleSet::compile(&text).unwrap_err();
        let read = faults
            .0
            .iter()
            .any(|f| f.to_string().contains("found datetime"));
        assert!(read, "{text}: {faults}");
    }
}
