"""Where discovery is asked: a 503 to a call that waited too long is taken for news that nothing changed."""

from __future__ import annotations

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import crowd  # noqa: E402
import peers  # noqa: E402
import sites  # noqa: E402

sys.exit(peers.run_case(HERE, lambda folder, record: crowd.crowded(
    folder, record, sites.targ_krakow(1), "503")))
