"""Tests of the settings file of a host."""

import pytest

from bramleybeam.platform import load_host_settings

WHOLE = """
node = "front-1"
zone = "zone-a"
ip-address = "10.0.0.1"
port-range = [7000, 7015]
unknown = [1, { deep = "ignored" }]
[listen-addrs]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
[limits]
max-fds = 4096
link-mbps = 10.0
[platform]
address = "10.0.0.9:90"
[bounds]
drain-ms = 2500
grace-period-s = 8
config-apply-ms = 2000
lease-ms = 3000
ceiling-window-s = 5
ceiling-over = 1.1
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 50
require-fence = true
"""


def load(tmp_path, text):
    file = tmp_path / 'settings.toml'
    file.write_text(text)
    return load_host_settings(str(file))


def test_decodes_a_complete_file(tmp_path):
    settings = load(tmp_path, WHOLE).ok
    assert (settings.name, settings.peer_port) == ('front-1', 7000)
    assert settings.bounds.drain_s == 2.5
    assert settings.link_bytes_per_s == 1_250_000
    assert settings.replicas_check_epochs


def test_optional_fields_may_be_missing(tmp_path):
    text = WHOLE.replace('link-mbps = 10.0', '')
    settings = load(tmp_path, text.replace('require-fence = true', '')).ok
    assert settings.link_bytes_per_s == 0
    assert not settings.replicas_check_epochs


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('node = "front-1"', '', 'node'),
        ('[7000, 7015]', '[]', 'port-range'),
        ('[7000, 7015]', '"odd"', 'port-range'),
        ('front = "10.0.0.1:80"', '', 'listen-addrs.front'),
        ('[platform]', '[elsewhere]', 'platform.address'),
        ('2500', '"soon"', 'bounds.drain-ms'),
        ('2500', '-1', 'bounds.drain-ms'),
        ('ceiling-over = 1.1', 'ceiling-over = nan', 'bounds.ceiling-over'),
        ('lease-ms = 3000', 'lease-ms = inf', 'bounds.lease-ms'),
        ('lease-ms = 3000', '', 'bounds.lease-ms'),
        ('max-fds = 4096', 'max-fds = inf', 'limits.max-fds'),
        ('10.0\n[pl', '"fast"\n[pl', 'limits.link-mbps'),
        ('[bounds]', '[bounds', 'TOML'),
    ],
)
def test_problem_names_the_invalid_field(tmp_path, old, new, named):
    problem = load(tmp_path, WHOLE.replace(old, new)).error
    assert named in str(problem)
    assert 'BRAMLEYBEAM_NODE_FILE' in str(problem)
