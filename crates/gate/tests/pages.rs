//! Checks that the operators' page documents the log events and metrics in the code.

/// The operators' page.
const PAGE: &str = include_str!("../../../docs/LOGS.md");
/// Source file that declares the events.
const EVENTS: &str = include_str!("../src/log.rs");
/// Source files that declare the metrics.
const METRICS: [&str; 3] = [
    include_str!("../src/meter.rs"),
    include_str!("../../overload/src/meter.rs"),
    include_str!("../../tcp/src/meter.rs"),
];

/// Converts a name to snake case, as in the log.
fn snake(name: &str) -> String {
    let mut out = String::new();
    for c in name.chars() {
        if c.is_uppercase() && !out.is_empty() {
            out.push('_');
        }
        out.extend(c.to_lowercase());
    }
    out
}

/// Names of the events and their fields, as declared in the code.
fn declared_names() -> Vec<String> {
    let start = EVENTS.find("pub enum Event").expect("the enum of events");
    let end = EVENTS[start..].find("\n}\n").expect("the end of the enum") + start;
    let lines = EVENTS[start..end].lines().map(str::trim);
    let code = lines.filter(|l| !l.starts_with("//"));
    code.skip(1)
        .filter_map(|l| l.split([' ', ':']).next())
        .filter(|w| w.chars().next().is_some_and(char::is_alphabetic))
        .map(snake)
        .collect()
}

#[test]
fn every_event_and_field_is_on_the_page() {
    // Guards against events and fields that the page doesn't explain.
    let names = declared_names();
    assert!(names.len() > 40, "{names:?}");
    for name in names {
        assert!(
            PAGE.contains(&format!("`{name}`")),
            "`{name}` isn't on the page"
        );
    }
}

#[test]
fn every_metric_in_the_code_is_on_the_page_and_vice_versa() {
    let metrics = |text: &str| -> Vec<String> {
        let parts = text.split("clementinestep_").skip(1);
        let names = parts.map(|p| {
            let end = p.find(|c: char| !c.is_ascii_lowercase() && c != '_');
            p[..end.unwrap_or(p.len())].to_owned()
        });
        names.filter(|n| !n.is_empty()).collect()
    };
    let (page, code) = (metrics(PAGE), metrics(&METRICS.concat()));
    assert!(code.len() > 10, "{code:?}");
    for name in &code {
        assert!(page.contains(name), "{name} isn't on the page");
    }
    for name in &page {
        assert!(code.contains(name), "{name} isn't in the code");
    }
}
