//! The operators' documentation lists the options that the code has.

use rules::{Config, RuleSet};

const PAGE: &str = include_str!("../../../docs/RULES.md");

#[test]
fn every_option_is_documented() {
    let lines: Vec<_> = PAGE.lines().collect();
    for option in Config::options() {
        let heading = lines
            .iter()
            .position(|l| *l == format!("### `[{}]`", option.table))
            .unwrap_or_else(|| panic!("no section on {}", option.table));
        let section = lines[heading + 1..]
            .iter()
            .take_while(|l| !l.starts_with('#'));
        let row = option.to_string();
        assert!(section.into_iter().any(|l| *l == row), "missing: {row}");
    }
}

#[test]
fn every_option_is_read() {
    // No option takes a date, so each key that is read is reported as a fault of type.
    for option in Config::options() {
        let line = format!("{} = 1979-05-27", option.key);
        let text = match option.table {
            "rule" => format!("[[rule]]\n{line}"),
            t => match t.strip_prefix("rule.") {
                Some(inner) => format!("[[rule]]\n[rule.{inner}]\n{line}"),
                None => format!("[{t}]\n{line}"),
            },
        };
        let faults = RuleSet::compile(&text).unwrap_err();
        let type_fault = faults
            .0
            .iter()
            .any(|f| f.to_string().contains("found datetime"));
        assert!(type_fault, "{text}: {faults}");
    }
}
