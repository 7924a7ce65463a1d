"""Configuration: every fault gives an error that names the key, and the program exits with status 2."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from gaphub.config import DEFAULT_FRONTS_PATH, ConfigError, from_text
from gaphub.interface import Effect

from .scenario import SETTINGS

ENV = {"LB_LISTEN": "127.0.0.1:3000", "LB_DISCOVERY": "127.0.0.1:8500"}


def read(fronts: str = "", env: dict[str, str] | None = None, **more: Any) -> Any:
    file = {"name": "n0", "settings": SETTINGS, **more}
    return from_text(json.dumps(file).encode(), ENV if env is None else env, fronts)


def test_defaults_and_the_deploy_file() -> None:
    config = read(DEFAULT_FRONTS_PATH.read_text())
    assert config.listen == ("127.0.0.1", 3000)
    assert config.fronts.gearman_address() is None  # off in deploy/fronts.toml
    assert config.fronts.metrics.graphite.address == "" == config.fronts.metrics.collectd.address
    assert config.limits.sockets == 1024
    assert config.settings.connect_timeout_ms == 150.0


# Guards against a default that permits what the settings do not mention.
def test_what_settings_do_not_name_is_not_allowed() -> None:
    bare = {"grades": [{"name": "one", "slo": 500.0, "deadline": 5000.0}]}
    settings = read(settings=bare).settings
    assert not (settings.second_copies or settings.may_tell_peers or settings.may_probe)
    assert settings.classes[0].effect == Effect.UNSAFE
    assert read(settings={**bare, "limits": {"secondCopies": True}}).settings.second_copies


@pytest.mark.parametrize(
    ("words", "more"),
    [
        ("seed", {"seed": "xyz"}),
        ("peers[1]", {"peers": ["127.0.0.1:1", "nowhere"]}),
        ("limits.sockets", {"limits": {"sockets": "many"}}),
        ("known.servers[0]", {"known": {"servers": [{"id": "a"}]}}),
        ("known.servers[0].state", {"known": {"servers": [{"id": "a", "addr": "b:1", "state": "odd"}]}}),
        ("known.servers[0].addr", {"known": {"servers": [{"id": "a", "addr": "b", "state": "left"}]}}),
        ("grades: missing", {"settings": {}}),
        ("grades[0].slo", {"settings": {"grades": [{"deadline": 5.0}]}}),
        ("grades[0].deadline", {"settings": {"grades": [{"slo": 5.0, "deadline": "x", "name": "a"}]}}),
        ("grades[0].idempotency", {"settings": {"grades": [{"slo": 5, "deadline": 5, "idempotency": "?"}]}}),
        ("limits.mostTries", {"settings": {**SETTINGS, "limits": {"mostTries": "four"}}}),
        ("limits: not an object", {"settings": {**SETTINGS, "limits": 4}}),
        ("limits.connIdle", {"settings": {**SETTINGS, "limits": {"connIdle": -1}}}),
        ("me: 7", {"settings": {**SETTINGS, "me": 7}}),
        ("unique name", {"settings": {**SETTINGS, "grades": SETTINGS["grades"] * 2}}),
        ("LB_LISTEN", {"env": {"LB_DISCOVERY": "127.0.0.1:1"}}),
        ("LB_DISCOVERY", {"env": {**ENV, "LB_DISCOVERY": "127.0.0.1:99999"}}),
        ("gearman.listen", {"fronts": "[gearman]\nlisten = 'x'"}),
        ("gearman.functions.f", {"fronts": "[gearman]\nlisten = 'a:1'\n[gearman.functions]\nf = 'render'"}),
        ("gearman.keep_s", {"fronts": "[gearman]\nkeep_s = 0.0"}),
        ("unknown field `gearmen`", {"fronts": "[gearmen]"}),
        ("metrics.graphite.address", {"fronts": "[metrics.graphite]\naddress = 'x'"}),
        ("metrics.collectd.prefix", {"fronts": "[metrics.collectd]\nprefix = 'a b'"}),
        ("metrics.collectd.every_s", {"fronts": "[metrics.collectd]\nevery_s = 0.0"}),
    ],
)
def test_a_fault_names_its_key(words: str, more: dict[str, Any]) -> None:
    with pytest.raises(ConfigError) as caught:
        read(**more)
    assert words in str(caught.value)


@pytest.mark.parametrize("text", [None, "{", "[]", '{"settings":{"grades":[]}}', '{"known":{"servers":7}}'])
def test_a_bad_configuration_ends_the_program(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run([sys.executable, "-m", "gaphub"], env={**os.environ, "LB_CONFIG": str(path), **ENV},
                          capture_output=True, text=True, check=False, timeout=60)
    assert done.returncode == 2
    assert done.stderr.startswith("gaphub: configuration: ") and done.stderr.count("\n") == 1
