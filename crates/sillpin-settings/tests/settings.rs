//! Faults are reported with file, line, key and accepted values; sources override each other in order.

use sillpin_settings::{Faults, Key, Kind, Loaded, Schema, Section, Sources, load};

const SCHEMA: Schema = &[
    Section {
        name: "box",
        keys: &[
            Key::required("id", Kind::Name, "Name of this box"),
            Key::optional("listen", Kind::Addr, "127.0.0.1:0", "Listener"),
        ],
    },
    Section {
        name: "fleet",
        keys: &[
            Key::required("secret", Kind::Text, "Secret").secret(),
            Key::optional("lag", Kind::Number { min: 1, max: 9 }, "3", "Lag"),
        ],
    },
];

fn read(text: &str, flags: &[&str], env: &'static [(&str, &str)]) -> Result<Loaded, Faults> {
    let flags: Vec<String> = flags.iter().map(ToString::to_string).collect();
    let sources = Sources {
        file: "box.ini",
        text,
        flags: &flags,
        env: &|name| {
            let found = env.iter().find(|(key, _)| *key == name);
            found.map(|(_, value)| value.to_string())
        },
    };
    load(SCHEMA, &sources)
}

#[test]
fn every_fault_is_reported() {
    let text = "[box]\nid = Box One\nlisten = nowhere\ncolour = red\n[fleet]\nlag = 3\nlag = 10\n";
    let faults = read(text, &["box.size=1"], &[]).err().unwrap();
    assert_eq!(
        faults.to_string(),
        "settings have 6 fault(s)
  box.ini:4: unknown key colour in [box]; accepted: id, listen
  box.ini:7: [fleet] lag is set twice
  --set box.size=1: unknown; accepted: section.key=value of a known key
  box.ini:2: [box] id: \"Box One\" is not accepted; accepted: a name of a-z, 0-9, '.', '_' and '-'
  box.ini:3: [box] listen: \"nowhere\" is not accepted; accepted: an IP address and port, such as 127.0.0.1:8080
  box.ini: [fleet] secret must be given: text"
    );
}

#[test]
fn flag_overrides_environment_overrides_file_overrides_default() {
    let text = "[box]\nid = a\n[fleet]\nsecret = s3\nlag = 4\n";
    let env = &[("SILLPIN_BOX_ID", "b"), ("SILLPIN_FLEET_LAG", "5")];
    let loaded = read(text, &["fleet.lag=6"], env).ok().unwrap();
    assert_eq!(
        loaded.render(),
        "[box]
id = b  ; environment
listen = 127.0.0.1:0  ; default
[fleet]
lag = 6  ; flag
secret = ********  ; file, line 4
"
    );
    assert_eq!(loaded.get::<u64>("fleet", "lag").ok(), Some(6));
}
